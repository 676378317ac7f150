#ifndef POLLENRING_NODE_CALLS_PER_RUN_H_
#define POLLENRING_NODE_CALLS_PER_RUN_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/completion_chance.h"
#include "pollenring/core/clock.h"
#include "pollenring/node/call_attribution.h"

namespace pollenring {

/**
 * @brief Mean number of calls that a run of each kind makes to each callee.
 *
 * Single calls have no certain parent, so the calls to a callee are divided by
 * the fractions that `CallAttribution` estimates.
 */
class CallsPerRun {
 public:
  /*! @brief Starts without data. @param now Time. */
  explicit CallsPerRun(Time now) noexcept : started{now}, window_start{now} {}

  /*! @brief Counts a completed run. @param kind Its kind. */
  void RecordRun(const std::string &kind);

  /*! @brief Counts a call. @param callee Called route. @param now Time. */
  void RecordCall(const std::string &callee, Time now);

  /**
   * @brief Ends the window when it is due.
   * @param attribution Which kinds make the calls.
   * @param failing Whether a service fails: runs then end before they have made
   * all their calls, and the window is discarded.
   * @param now Time.
   * @return Whether the means have changed.
   */
  bool Tick(const CallAttribution &attribution, bool failing, Time now);

  /*! @brief Kinds with known means. @return Their names. */
  [[nodiscard]] std::vector<std::string> Kinds() const;

  /**
   * @brief Mean calls of a kind.
   * @param kind The kind.
   * @return By callee; callees that it hardly calls are left out.
   */
  [[nodiscard]] std::vector<CalleeCalls> Of(const std::string &kind) const;

  /**
   * @brief Whether the target makes no calls to other services.
   * @param now Time.
   * @return False until enough runs were seen.
   */
  [[nodiscard]] bool MakesNoCalls(Time now) const noexcept;

 private:
  struct Kind {
    double runs{};
    std::unordered_map<std::string, double> calls; /*!< By callee. */
  };

  Time started{};
  Time window_start{};
  Time last_call{};
  bool called{};
  bool failed{}; /*!< A service failed in this window. */
  double all_runs{};
  std::unordered_map<std::string, double> runs_now;
  std::unordered_map<std::string, double> calls_now;
  std::unordered_map<std::string, Kind> kinds;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_CALLS_PER_RUN_H_
