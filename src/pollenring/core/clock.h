#ifndef POLLENRING_CORE_CLOCK_H_
#define POLLENRING_CORE_CLOCK_H_

#include <chrono>

namespace pollenring {

/*! @brief A length of time, in microseconds. */
using Duration = std::chrono::microseconds;

/*! @brief A point on one process's steady clock, as the time since its epoch.
 */
using Time = std::chrono::microseconds;

/*! @brief Milliseconds since the Unix epoch, as read by a wall clock. */
using WallTime = std::chrono::milliseconds;

/**
 * @brief Time source of all decisions.
 *
 * The steady clock keeps counting while the process is stopped or its VM is
 * suspended, so that the age of a lease is correct after a pause.
 */
class Clock {
 public:
  Clock() = default;
  Clock(const Clock &) = delete;
  Clock &operator=(const Clock &) = delete;
  virtual ~Clock() = default;

  /**
   * @brief Reads the steady clock.
   * @return Time since an epoch that is fixed for this process.
   */
  [[nodiscard]] virtual Time Now() const noexcept = 0;

  /**
   * @brief Reads the wall clock.
   * @return Milliseconds since the Unix epoch.
   */
  [[nodiscard]] virtual WallTime WallNow() const noexcept = 0;
};

/*! @brief The system clocks CLOCK_BOOTTIME and CLOCK_REALTIME. */
class SystemClock final : public Clock {
 public:
  [[nodiscard]] Time Now() const noexcept override;
  [[nodiscard]] WallTime WallNow() const noexcept override;
};

/*! @brief A clock that advances only through `Advance`, for tests. */
class ManualClock final : public Clock {
 public:
  /**
   * @brief Sets the initial readings.
   * @param start First reading of the steady clock.
   * @param wall First reading of the wall clock.
   */
  explicit ManualClock(Time start = Time{0},
                       WallTime wall = WallTime{1'700'000'000'000}) noexcept
      : now{start}, wall_start{wall}, start{start} {}

  [[nodiscard]] Time Now() const noexcept override { return this->now; }

  [[nodiscard]] WallTime WallNow() const noexcept override {
    return this->wall_start +
           std::chrono::duration_cast<WallTime>(this->now - this->start);
  }

  /**
   * @brief Advances both clocks.
   * @param by Duration to add.
   */
  void Advance(Duration by) noexcept { this->now += by; }

 private:
  Time now;
  WallTime wall_start;
  Time start;
};

}  // namespace pollenring

#endif  // POLLENRING_CORE_CLOCK_H_
