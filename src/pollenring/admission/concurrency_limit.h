#ifndef POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_
#define POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Settings of the concurrency limit. */
struct ConcurrencyLimitOptions {
  Duration min_window{std::chrono::milliseconds{200}};
  Duration max_window{std::chrono::seconds{2}};
  int enough_samples{100};
  int lower_trial_samples{30}; /*!< Few, as the trial costs capacity. */
  int min_samples{8};
  double decrease{0.7};         /*!< Factor of a lower trial or a cut. */
  double increase{1.3};         /*!< Factor of a higher trial. */
  double max_over_announced{4}; /*!< Maximum, as a multiple of the slots. */
  int windows_before_lower{16};
  int windows_before_higher{4};
  bool fixed{false}; /*!< No trials; may only leave the last slots free. */
};

/**
 * @brief Adapts the number of concurrent requests to measured times.
 *
 * The announced slots are only the initial value. While the limit is reached,
 * lower and higher limits are tried in turn. A lower one is kept if requests
 * take less time than before and after the trial, which shows that they contend
 * inside the target; a higher one is kept if they take no longer.
 */
class ConcurrencyLimit {
 public:
  /**
   * @brief Starts from the announced slots.
   * @param slots Slots announced by the target.
   * @param options Settings.
   * @param clock Clock.
   */
  ConcurrencyLimit(std::uint32_t slots, const ConcurrencyLimitOptions &options,
                   const Clock &clock);

  /*! @brief Requests that may run at once. @return The limit. */
  [[nodiscard]] int Current() const noexcept {
    return std::max(1, static_cast<int>(std::lround(this->limit)));
  }

  /*! @brief Mean time of a request at the target. @return The time. */
  [[nodiscard]] Duration TypicalTime() const noexcept {
    return this->typical_time;
  }

  /**
   * @brief Records a finished request.
   * @param own_time Time at the target, without sub-calls.
   * @param total_time Time at the target.
   * @param running Requests in progress when it started.
   * @param refused_by_target True if the target shed it.
   */
  void Sample(Duration own_time, Duration total_time, int running,
              bool refused_by_target);

 private:
  enum class Trial {
    kNone,
    kLower,
    kRecheck, /*!< Repeats the limit before a lower one that seems to help. */
    kHigher,
  };

  [[nodiscard]] int EnoughSamples() const noexcept;
  /*! @brief Mean time of requests started at one degree of utilization. */
  struct MeanTime {
    double sum_us{};
    int count{};

    [[nodiscard]] double Mean() const noexcept {
      return this->sum_us / std::max(1, this->count);
    }
  };

  void LearnContention(Duration own_time, int running);
  void CloseWindow();
  void LearnBaseline(double own_us_per_request);
  [[nodiscard]] bool MayTryLower(double own_us_per_request) const noexcept;
  void Evaluate(double own_us_per_request);
  void EvaluateLower(double own_us_per_request);
  void EvaluateRecheck(double own_us_per_request);
  void EvaluateHigher(double own_us_per_request);
  void RejectLower(double own_us_per_request);
  void StartTrial(double own_us_per_request);
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
  int windows_to_wait{};
  Time window_start;
  Time changed_at{};
  double own_us{};
  double total_us{};
  int samples{};
  int full_samples{};
  int refused{};
  Duration typical_time{};
  MeanTime nearly_full; /*!< With the last slots in use. */
  MeanTime busy;        /*!< With most slots in use, but not the last. */
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_CONCURRENCY_LIMIT_H_
