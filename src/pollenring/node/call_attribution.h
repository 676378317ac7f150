#ifndef POLLENRING_NODE_CALL_ATTRIBUTION_H_
#define POLLENRING_NODE_CALL_ATTRIBUTION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"

namespace pollenring {

/**
 * @brief Estimates which kinds of requests make a target's calls, without
 * knowing the parent of any single call.
 *
 * When a request makes a call, that request itself is running: if requests
 * arrive independently, one more of its kind runs than on average. The mean
 * number of running requests of a kind sampled at calls, minus its mean over
 * time, is therefore the fraction of the calls that this kind makes. For kinds
 * that make none, both means are equal.
 */
class CallAttribution {
 public:
  /**
   * @brief Creates an estimator without data.
   * @param now Time.
   */
  explicit CallAttribution(Time now) noexcept;

  /*! @brief Records the start of a request. @param kind Its kind. @param now
   * Time. */
  void Begin(const std::string &kind, Time now);

  /*! @brief Records the end of a request. @param kind Its kind. @param now
   * Time. */
  void End(const std::string &kind, Time now);

  /*! @brief Records a call. @param callee What is called. @param now Time. */
  void RecordCall(const std::string &callee, Time now);

  /**
   * @brief Estimates the fraction of calls to a callee that a kind makes.
   * @param kind The kind.
   * @param callee What is called.
   * @return From 0 to 1, or nothing while too few calls were recorded.
   */
  [[nodiscard]] std::optional<double> FractionOf(
      const std::string &kind, const std::string &callee) const;

  /**
   * @brief Lists the kinds that make calls to a callee.
   *
   * While too few calls were recorded to separate kinds, lists those that run
   * during most of the calls, provided that the callee is called often.
   * @param callee What is called.
   * @param min_fraction Minimum fraction of the calls.
   * @return Their names; empty if nothing is known.
   */
  [[nodiscard]] std::vector<std::string> CallersOf(const std::string &callee,
                                                   double min_fraction) const;

  /**
   * @brief Mean number of running requests of a kind.
   * @param kind The kind.
   * @return The number, always above 0.
   */
  [[nodiscard]] double MeanRunning(const std::string &kind) const;

 private:
  struct Kind {
    int running{};
    Time since{};             /*!< Last change of `running`. */
    double running_seconds{}; /*!< Request-seconds in this window. */
    double mean{};            /*!< Running requests, smoothed over windows. */
    Time last_used{};
  };
  /*! @brief Samples taken at the calls to one callee, by kind. */
  struct Callee {
    double calls{};        /*!< In this window. */
    double all_calls{};    /*!< In all windows, exponentially decayed. */
    double recent_calls{}; /*!< Exponentially decayed over a second. */
    double early_calls{};  /*!< Until enough were recorded. */
    Time last_used{};
    /*! @brief Sums of running requests in this window. */
    std::unordered_map<std::string, double> running_at_calls;
    /*! @brief Sums above the mean, exponentially decayed. */
    std::unordered_map<std::string, double> excess;
    /*! @brief Early calls during which the kind was running. */
    std::unordered_map<std::string, double> present_at_calls;
  };

  /*! @brief Finds a callee with enough recorded calls, or null. */
  [[nodiscard]] const Callee *FindMeasured(const std::string &callee) const;
  [[nodiscard]] std::vector<std::string> EarlyCallersOf(
      const std::string &callee) const;
  [[nodiscard]] static double TotalExcess(const Callee &callee) noexcept;
  void CloseWindow(Time now);
  static void AddRunning(Kind &kind, int change, Time now);

  std::unordered_map<std::string, Kind> kinds;
  std::unordered_map<std::string, Callee> callees;
  Time window_start{};
  Duration window{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_CALL_ATTRIBUTION_H_
