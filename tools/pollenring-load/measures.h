#ifndef POLLENRING_TOOLS_LOAD_MEASURES_H_
#define POLLENRING_TOOLS_LOAD_MEASURES_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "scenario.h"

namespace load {

/*! @brief Result of one attempt of a request, as seen by its caller. */
enum class TryResult { kWhole, kRefusedRate, kRefusedOther, kFailed };

/*! @brief Goodput, fairness and latency as seen by callers. */
class Measures {
 public:
  /**
   * @brief Constructs empty metrics.
   * @param scenario The experiment; must outlive the metrics.
   */
  explicit Measures(const Scenario &scenario);

  /*! @brief Records a new request. @param caller Index of its caller. */
  void Wanted(std::size_t caller, pollenring::Time at);

  /*! @brief Records an attempt. @return True if within the workspace's rate. */
  [[nodiscard]] bool TryLeaves(std::size_t caller, pollenring::Time at);

  /*! @brief Records the end of an attempt, in the second in which it was sent,
   * with the return value of the call that recorded its start. */
  void TryEnded(std::size_t caller, pollenring::Time left, bool within,
                TryResult result, const std::string &reason);

  /*! @brief Records a success. @param took Time since the first attempt. */
  void Whole(std::size_t caller, pollenring::Time at,
             pollenring::Duration took);

  /*! @brief Sums up the experiment. @return The report as JSON. */
  [[nodiscard]] nlohmann::json Report() const;

 private:
  static constexpr pollenring::Duration kBin = std::chrono::milliseconds{100};

  struct Reference {
    double level{};
    pollenring::Time at{};
  };
  /*! @brief Attempts sent within one second. */
  struct Window {
    std::uint64_t within{};
    std::uint64_t not_refused{};
    std::uint64_t refused_within{};
  };
  struct Workspace {
    double rate{};
    double burst{};
    double demand{};
    Reference reference;
    std::uint64_t wanted{};
    std::uint64_t whole{};
    std::uint64_t whole_in_trigger{};
    std::uint64_t wanted_in_trigger{};
    std::uint64_t tries{};
    std::uint64_t within{};
    std::uint64_t refused_within{};
    std::map<std::int64_t, Window> windows; /*!< Keyed by second. */
  };

  [[nodiscard]] static std::uint64_t RefusedForRate(const Workspace &workspace);
  [[nodiscard]] double Recovery() const;
  [[nodiscard]] double GoodputBetween(pollenring::Time from,
                                      pollenring::Time to) const;
  [[nodiscard]] double WorstServed() const;
  [[nodiscard]] static double Quantile(std::vector<double> values,
                                       double quantile);
  [[nodiscard]] bool InTrigger(pollenring::Time at) const noexcept;

  const Scenario &scenario;
  std::map<std::string, Workspace> workspaces;
  std::vector<std::uint64_t> wanted_bins;
  std::vector<std::uint64_t> whole_bins;
  std::vector<double> latencies_ms;
  std::map<std::string, std::uint64_t> reasons;
};

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_MEASURES_H_
