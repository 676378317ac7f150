#ifndef POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_
#define POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Limits of the concurrency limit. */
struct ConcurrencyLimitOptions {
  Duration shortest_window{std::chrono::milliseconds{200}};
  Duration longest_window{std::chrono::seconds{2}};
  int enough_samples{100};
  int lower_trial_samples{30}; /*!< A lower limit costs capacity meanwhile. */
  int fewest_samples{8};
  double decrease{0.7};
  double increase{1.3};
  double most_over_announced{4};
  int windows_before_lower{16};
  int windows_before_higher{4};
  bool fixed{
      false}; /*!< Keeps to the announced slots; only times are learned. */
};

/**
 * @brief How many requests a target runs at once, from measured times.
 *
 * Announced slots are only the start. While the limit is used up, it is tried
 * lower and higher in turn. A lower limit is kept when requests then take less
 * time than before and after it, since they had waited for each other inside
 * the target; a higher one is kept when they take no longer.
 */
class ConcurrencyLimit {
 public:
  /**
   * @brief Starts from what the target announces.
   * @param slots Announced slots.
   * @param options Limits.
   * @param clock Clock.
   */
  ConcurrencyLimit(std::uint32_t slots, const ConcurrencyLimitOptions &options,
                   const Clock &clock);

  [[nodiscard]] int Current() const noexcept {
    return std::max(1, static_cast<int>(std::lround(this->limit)));
  }

  /*! @brief Typical time of one request at the target. @return The time. */
  [[nodiscard]] Duration TypicalTime() const noexcept { return this->typical; }

  /**
   * @brief Takes in one finished request.
   * @param own_time Time at the target less time in its sub-calls.
   * @param whole_time Time at the target.
   * @param running Requests that ran when it started.
   * @param refused_by_target Whether the target shed it.
   */
  void Sample(Duration own_time, Duration whole_time, int running,
              bool refused_by_target);

 private:
  enum class Trial {
    kNone,
    kLower,
    kBack, /*!< The limit before a lower one that seems to help, once more. */
    kHigher,
  };

  [[nodiscard]] int EnoughSamples() const noexcept;
  /*! @brief Mean time of requests that started at one degree of use. */
  struct MeanTime {
    double sum_us{};
    int count{};

    [[nodiscard]] double Mean() const noexcept {
      return this->sum_us / std::max(1, this->count);
    }
  };

  void LearnCrowding(Duration own_time, int running);
  void CloseWindow();
  void LearnBaseline(double own_us_each);
  [[nodiscard]] bool MayTryLower(double own_us_each) const noexcept;
  void Judge(double own_us_each);
  void JudgeLower(double own_us_each);
  void JudgeBack(double own_us_each);
  void JudgeHigher(double own_us_each);
  void RejectLower(double own_us_each);
  void StartTrial(double own_us_each);
  void SetLimit(double wanted);

  ConcurrencyLimitOptions options;
  const Clock &clock;
  double announced;
  double limit;
  Trial trial{Trial::kNone};
  Trial next_trial{Trial::kLower};
  double limit_before{};
  double own_us_before{};
  double lower_limit{};
  double own_us_lower{};
  double baseline_us{};
  bool tried_lower{};
  bool lower_helped{};
  int pause{};
  Time window_start;
  Time changed_at{};
  double own_us{};
  double whole_us{};
  int samples{};
  int full_samples{};
  int refused{};
  Duration typical{};
  MeanTime crowded; /*!< The last slots were in use. */
  MeanTime busy;    /*!< Most were, but not the last. */
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_
