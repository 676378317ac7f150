#ifndef POLLENRING_ADMISSION_COMPLETION_CHANCE_H_
#define POLLENRING_ADMISSION_COMPLETION_CHANCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/failure_fraction.h"
#include "pollenring/admission/service_failure.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"

namespace pollenring {

/*! @brief Calls that a run of a route makes to one other route. */
struct CalleeCalls {
  std::string callee; /*!< Called route. */
  double calls{};     /*!< Mean per run. */
};

/*! @brief Chance that a root request completes. */
struct RootChance {
  double chance{1};
  std::string service; /*!< Service that lowers it most; may be empty. */
  Duration age{};      /*!< Age of what is known of that service. */
};

/*! @brief Whether to refuse a root request. */
struct ChanceDecision {
  bool refuse{};
  bool trial{}; /*!< Admitted in spite of its chance. */
  RootChance root;
  Duration refused_for{}; /*!< How long roots of its route were refused. */
};

/*! @brief Roots of a route begin or cease to be refused. */
struct ChanceChange {
  std::string route;
  std::string service;
  bool refusing{};
  double chance{};
  std::uint64_t refused{}; /*!< Roots refused since it began. */
};

/**
 * @brief Estimates which root requests can complete while targets of a service
 * reject or fail a large fraction of their calls.
 *
 * The node local to a target measures the fraction and reports it with replies.
 * Nodes forward it, together with the number of calls that a run of the replied
 * request's route makes at the service. A root completes only if all its calls
 * succeed; work on one that does not is lost.
 */
class CompletionChance {
 public:
  /**
   * @brief Starts without data.
   * @param clock Clock.
   * @param reports Whether replies report failures; without reports no root is
   * refused.
   */
  explicit CompletionChance(const Clock &clock, bool reports = true)
      : clock{clock}, reports{reports} {}

  /**
   * @brief Counts the result of a call to the local target.
   * @param service The target's service.
   * @param failed Whether the target rejected or failed it.
   */
  void RecordResult(const std::string &service, bool failed);

  /**
   * @brief Records whether the local target makes calls.
   * @param makes_no_calls Whether it has made none for long.
   */
  void SetMakesNoCalls(bool makes_no_calls) noexcept {
    this->makes_no_calls = makes_no_calls;
  }

  /**
   * @brief Records the calls that the local target makes for a route.
   * @param route The route.
   * @param callees Routes that its runs call.
   */
  void SetCallees(const std::string &route, std::vector<CalleeCalls> callees);

  /**
   * @brief Records the priority from which this node retries calls.
   * @param service The called service.
   * @param priority The priority.
   */
  void SetRetriedFrom(const std::string &service, double priority);

  /**
   * @brief Records the reports in a reply.
   * @param route Route of the replied request.
   * @param service Service that it was sent to.
   * @param reports The reports.
   */
  void Learn(const std::string &route, const std::string &service,
             const std::vector<ServiceFailure> &reports);

  /**
   * @brief Lists what the reply to a request reports.
   * @param service Service of the local target.
   * @param route Route of the request.
   * @param max_count Maximum number of reports.
   * @return Reports; those of failing services come first.
   */
  [[nodiscard]] std::vector<ServiceFailure> Reports(const std::string &service,
                                                    const std::string &route,
                                                    std::size_t max_count);

  /*! @brief Whether any service is known to fail. @return True if so. */
  [[nodiscard]] bool AnyFailing() const;

  /**
   * @brief Estimates the chance that a root completes.
   * @param route Its route.
   * @param priority Its priority.
   * @return The chance; 1 where nothing is known.
   */
  [[nodiscard]] RootChance ChanceOf(const std::string &route,
                                    double priority) const;

  /**
   * @brief Decides whether to admit a root.
   * @param route Its route.
   * @param priority Its priority.
   * @param random Selects trial requests.
   * @return The decision.
   */
  [[nodiscard]] ChanceDecision Decide(const std::string &route, double priority,
                                      Random &random);

  /*! @brief Returns and clears the changes since the last call. @return Routes
   * that begin or cease to be refused. */
  [[nodiscard]] std::vector<ChanceChange> TakeChanges();

  /**
   * @brief Calls that a run of a route makes at a service.
   * @param route The route.
   * @param service The service.
   * @return The mean, or nothing if it is unknown.
   */
  [[nodiscard]] std::optional<double> CallsOf(const std::string &route,
                                              const std::string &service) const;

 private:
  /*! @brief What is known of the calls to a service, or to one target. */
  struct Measured {
    double fraction{};
    double samples{};
    Time at{};
  };
  struct Service {
    std::unordered_map<std::uint64_t, Measured> targets; /*!< By own calls. */
    Measured forwarded; /*!< Latest report that another node made. */
    double retried_from{-1};
    Time retried_from_at{};
    bool makes_no_calls{};
  };
  /*! @brief Calls of a route's runs, by service. */
  struct Path {
    std::map<std::string, double> calls;
    Time last_used{};
  };
  /*! @brief State of the refusal of a route's roots. */
  struct Refusing {
    Time since{};
    Time last{};
    Time last_trial{};
    std::uint64_t refused{};
    RootChance root;
    bool active{};
  };

  void LearnCalls(const std::string &route, const std::string &service,
                  const ServiceFailure &report);
  void LearnService(const ServiceFailure &report, Time now);
  [[nodiscard]] Measured Combine(const Service &service) const;
  [[nodiscard]] bool Fails(const Measured &measured) const noexcept;
  [[nodiscard]] double SuccessOf(const Service &service,
                                 const Measured &measured,
                                 double priority) const noexcept;
  void EndRefusal(const std::string &route, Refusing &refusing);
  void RemoveUnused(Time now);

  const Clock &clock;
  bool reports;
  std::unordered_map<std::string, FailureFraction> local;
  std::unordered_map<std::string, std::vector<CalleeCalls>> callees;
  std::unordered_map<std::string, Service> services;
  std::unordered_map<std::string, Path> paths;
  std::unordered_map<std::string, Refusing> refusing;
  std::vector<ChanceChange> changes;
  Time last_sweep{};
  unsigned replies{};
  bool makes_no_calls{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_COMPLETION_CHANCE_H_
