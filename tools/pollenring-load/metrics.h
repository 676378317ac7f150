#ifndef POLLENRING_TOOLS_LOAD_METRICS_H_
#define POLLENRING_TOOLS_LOAD_METRICS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "scenario.h"

namespace load {

/*! @brief Result of one attempt of a request, as seen by its caller. */
enum class AttemptResult { kSucceeded, kRateLimited, kRejected, kFailed };

/*! @brief Goodput, fairness and latency as seen by callers. */
class Metrics {
 public:
  /**
   * @brief Constructs empty metrics.
   * @param scenario The experiment; must outlive the metrics.
   */
  explicit Metrics(const Scenario &scenario);

  /*! @brief Records a new request. @param caller Index of its caller. */
  void RecordRequest(std::size_t caller, pollenring::Time at);

  /*! @brief Records an attempt. @return True if within the workspace's rate. */
  [[nodiscard]] bool RecordAttemptStart(std::size_t caller,
                                        pollenring::Time at);

  /*! @brief Records the end of an attempt, in the second in which it was sent,
   * with the return value of the call that recorded its start. */
  void RecordAttemptEnd(std::size_t caller, pollenring::Time sent_at,
                        bool within_rate, AttemptResult result,
                        const std::string &reason);

  /*! @brief Records a success. @param latency Time since the first attempt. */
  void RecordSuccess(std::size_t caller, pollenring::Time at,
                     pollenring::Duration latency);

  /*! @brief Sums up the experiment. @return The report as JSON. */
  [[nodiscard]] nlohmann::json Report() const;

 private:
  static constexpr pollenring::Duration kBin = std::chrono::milliseconds{100};

  struct TokenBucket {
    double tokens{};
    pollenring::Time at{};
  };
  /*! @brief Attempts sent within one second. */
  struct Window {
    std::uint64_t within_rate{};
    std::uint64_t not_refused{};
    std::uint64_t refused_within_rate{};
  };
  struct Workspace {
    double rate{};
    double burst{};
    double demand{};
    TokenBucket bucket;
    std::uint64_t requested{};
    std::uint64_t succeeded{};
    std::uint64_t succeeded_in_trigger{};
    std::uint64_t requested_in_trigger{};
    std::uint64_t attempts{};
    std::uint64_t within_rate{};
    std::uint64_t refused_within_rate{};
    std::map<std::int64_t, Window> windows; /*!< Keyed by second. */
  };

  [[nodiscard]] static std::uint64_t WrongfulRateRefusals(
      const Workspace &workspace);
  [[nodiscard]] double RecoverySeconds() const;
  [[nodiscard]] double GoodputBetween(pollenring::Time from,
                                      pollenring::Time to) const;
  [[nodiscard]] double WorstServedFraction() const;
  [[nodiscard]] static double Quantile(std::vector<double> values,
                                       double quantile);
  [[nodiscard]] bool InTrigger(pollenring::Time at) const noexcept;

  const Scenario &scenario;
  std::map<std::string, Workspace> workspaces;
  std::vector<std::uint64_t> requested_bins;
  std::vector<std::uint64_t> succeeded_bins;
  std::vector<double> latencies_ms;
  std::map<std::string, std::uint64_t> reasons;
};

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_METRICS_H_
