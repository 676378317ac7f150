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

/*! @brief What one try of a request came to, as its caller saw it. */
enum class TryResult { kWhole, kRefusedRate, kRefusedOther, kFailed };

/*! @brief The brief's measures, from what callers saw. */
class Measures {
 public:
  /**
   * @brief Starts empty.
   * @param scenario The experiment.
   */
  explicit Measures(const Scenario &scenario);

  /*! @brief A request is wanted. @param caller Its index. @param at When. */
  void Wanted(std::size_t caller, pollenring::Time at);

  /*! @brief A try leaves. @return Whether it is within its workspace's rate. */
  [[nodiscard]] bool TryLeaves(std::size_t caller, pollenring::Time at);

  /*! @brief A try has ended. @param left When it left. @param within What
   * `TryLeaves` said. */
  void TryEnded(std::size_t caller, pollenring::Time left, bool within,
                TryResult result, const std::string &reason);

  /*! @brief A request was answered whole. @param took Since it was wanted. */
  void Whole(std::size_t caller, pollenring::Time at,
             pollenring::Duration took);

  /*! @brief Sums up. @return The measures. */
  [[nodiscard]] nlohmann::json Report() const;

 private:
  static constexpr pollenring::Duration kBin = std::chrono::milliseconds{100};

  struct Reference {
    double level{};
    pollenring::Time at{};
  };
  /*! @brief Tries of one second. */
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
    std::map<std::int64_t, Window> windows; /*!< By second. */
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
