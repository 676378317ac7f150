#ifndef POLLENRING_RETRY_RETRY_RANK_H_
#define POLLENRING_RETRY_RETRY_RANK_H_

#include <array>
#include <cstddef>

#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/**
 * @brief Priority from which failed calls to a service are retried, so that
 * the retries earned suffice for all calls of the roots above it.
 *
 * All calls of a root have the same priority and nodes see alike mixes of
 * roots, so they choose the same roots without coordination. Spread evenly, the
 * same retries would complete hardly any root that makes several calls.
 */
class RetryRank {
 public:
  /**
   * @brief Counts a failed call for which a retry is asked.
   * @param priority Its priority.
   * @param granted Whether it is retried.
   * @param now Time.
   */
  void RecordAsked(double priority, bool granted, Time now);

  /**
   * @brief Counts earned retries.
   * @param retries Their number.
   * @param now Time.
   */
  void RecordEarned(double retries, Time now);

  /**
   * @brief Retries earned per second.
   * @param now Time.
   * @return The rate, exponentially smoothed.
   */
  [[nodiscard]] double EarnedPerSecond(Time now);

  /**
   * @brief Priority from which calls are retried.
   * @param saved Retries saved up.
   * @param now Time.
   * @return The priority; 0 while the retries suffice for all.
   */
  [[nodiscard]] double Level(double saved, Time now);

 private:
  static constexpr std::size_t kBinsPerImportance = 20;
  static constexpr std::size_t kBins = kImportanceLevels * kBinsPerImportance;

  void Decay(Time now);
  [[nodiscard]] double FittingLevel(double available) const;

  std::array<double, kBins> asked{}; /*!< Exponentially decayed. */
  double earned{};                   /*!< Exponentially decayed. */
  Time as_of{};
  Time updated{};
  double level{};
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_RETRY_RANK_H_
