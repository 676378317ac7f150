#ifndef POLLENRING_ROUTING_ROUTER_H_
#define POLLENRING_ROUTING_ROUTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/member.h"
#include "pollenring/routing/load_report.h"

namespace pollenring {

/*! @brief How a call to a target's node ended, as far as routing cares. */
enum class CallVerdict {
  kAnswered,
  kShed,   /*!< By its node; the target is full. */
  kFaulty, /*!< The target answers, but with an error or a rejection. */
  kFailed  /*!< No answer that can be used. */
};

/*! @brief Which target is chosen while several have room. */
enum class LoadBalancingPolicy {
  kZoneAware,   /*!< One of the nearest availability zone. */
  kLeastLatency /*!< The one that is likely to answer first. */
};

/*! @brief A target that is set aside, or used again. */
struct EjectionChange {
  std::string service;
  NodeId node{};
  bool set_aside{};
  int failures{};   /*!< In a row. */
  Duration pause{}; /*!< Until it is tried again; 0 when it is used again. */
};

/*! @brief Limits of routing. */
struct RouterOptions {
  Duration first_ejection{std::chrono::milliseconds{500}};
  Duration longest_ejection{std::chrono::seconds{8}};
  int failures_to_eject{3};
  Duration ramp{std::chrono::seconds{3}};
  double ramp_floor{0.1};
  std::size_t choices{2};
  LoadBalancingPolicy order{LoadBalancingPolicy::kZoneAware};
  /*! @brief What another zone must be sooner by, for the bytes between them. */
  Duration zone_cost{std::chrono::milliseconds{3}};
};

/**
 * @brief Chooses the target of a call.
 *
 * The nearest availability zone goes first while a target there has room; among
 * a few random targets the least loaded one is taken. A target that fails is
 * set aside, tried again by one call at a time, and ramped up once it answers.
 */
class Router {
 public:
  /**
   * @brief Creates a router that knows no target.
   * @param zone Own availability zone.
   * @param region Own region.
   * @param options Limits.
   * @param clock Clock.
   * @param random Randomness.
   */
  Router(std::string zone, std::string region, const RouterOptions &options,
         const Clock &clock, Random &random);

  /**
   * @brief Takes in a member's record.
   * @param member The record.
   */
  void Update(const Member &member);

  /**
   * @brief Sets which zones' targets get nothing; update all members after.
   * @param given The zones.
   * @return Whether they are others than before.
   */
  bool Withdraw(std::vector<std::string> given);

  /**
   * @brief Chooses a target; call `Started` when it is used.
   * @param service The service.
   * @param avoid Nodes that this request has tried already.
   * @param regions Where it may run; empty for anywhere.
   * @return The node beside the target, or nothing when none is left.
   */
  [[nodiscard]] std::optional<NodeId> Choose(
      const std::string &service, const std::vector<NodeId> &avoid,
      const std::vector<std::string> &regions = {});

  /**
   * @brief Tells whether a target is known that is not cold.
   * @param service The service.
   * @return So; one that is set aside does not count.
   */
  [[nodiscard]] bool HasWarm(const std::string &service) const;

  /**
   * @brief Counts a call as in progress.
   * @param service The service.
   * @param node The node.
   */
  void Started(const std::string &service, NodeId node);

  /**
   * @brief Ends a call.
   * @param service The service.
   * @param node The node.
   * @param verdict How it ended.
   * @param report Load that came with the answer, if one came.
   * @param took Time to the target's answer; 0 when it gave none.
   */
  void Finished(const std::string &service, NodeId node, CallVerdict verdict,
                const std::optional<LoadReport> &report,
                Duration took = Duration{0});

  /*! @brief Takes what has changed since the last time. @return Changes. */
  [[nodiscard]] std::vector<EjectionChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }

  /**
   * @brief Counts a service's targets that take new work.
   * @param service The service.
   * @return The count, targets set aside included.
   */
  [[nodiscard]] std::size_t Count(const std::string &service) const;

 private:
  enum class Locality { kSameZone = 0, kSameRegion = 1, kOther = 2 };
  static constexpr std::size_t kLocalityLevels = 3;

  struct Endpoint {
    NodeId node{};
    Locality nearness{Locality::kOther};
    double limit{1};
    double reported{};
    int in_progress{};
    int in_progress_at_report{};
    int failures{};
    Duration ejection{};
    Time ejected_until{};
    bool ejected{};
    Time cold_until{};
    std::string region;
    Time ramp_from{};
    double time_us{};     /*!< Smoothed time to an answer; 0 while unknown. */
    double fault_share{}; /*!< Smoothed part of its calls that fail. */
    Time fault_seen{};    /*!< When it last changed. */
    std::size_t position{};
  };

  /*! @brief What a request leaves out. */
  struct Choice {
    const std::vector<NodeId> &avoid;
    const std::vector<std::string> &regions;

    [[nodiscard]] bool Allows(const Endpoint &endpoint) const;
  };

  struct Service {
    std::unordered_map<NodeId, std::unique_ptr<Endpoint>> endpoints;
    std::array<std::vector<Endpoint *>, kLocalityLevels> usable;
    std::multimap<Time, NodeId> ejected;
  };

  [[nodiscard]] Locality LocalityOf(const Member &member) const noexcept;
  [[nodiscard]] double Utilisation(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] double FaultShare(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] double Cost(const Endpoint &endpoint,
                            double unknown_us) const noexcept;
  [[nodiscard]] const Endpoint *Soonest(const Service &service,
                                        const Choice &choice);
  [[nodiscard]] double RampFraction(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] Endpoint *Sample(const std::vector<Endpoint *> &from,
                                 const Choice &choice);
  /*! @brief When every target is set aside, the one due next. */
  [[nodiscard]] static std::optional<NodeId> SetAsideLongest(
      const Service &service, const Choice &choice);
  [[nodiscard]] Endpoint *DueTrial(Service &service, const Choice &choice);
  [[nodiscard]] bool Cold(const Endpoint &endpoint) const noexcept;
  void Add(Service &service, const Member &member, const Target &target);
  void Remove(const std::string &name, NodeId node);
  void Eject(const std::string &name, Service &service, Endpoint &endpoint);
  void Restore(const std::string &name, Service &service, Endpoint &endpoint);
  static void Link(Service &service, Endpoint &endpoint);
  static void Unlink(Service &service, Endpoint &endpoint);
  static void DropTrials(Service &service, NodeId node);

  std::string zone;
  std::string region;
  RouterOptions options;
  const Clock &clock;
  Random &random;
  std::vector<std::string> withdrawn;
  std::unordered_map<std::string, Service> services;
  std::unordered_map<NodeId, std::vector<std::string>> served_by;
  std::vector<EjectionChange> changes;
};

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_ROUTER_H_
