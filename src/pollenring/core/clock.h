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
 * @brief Source of time for every decision.
 *
 * The steady clock goes on counting while a process is stopped or its VM is
 * suspended, so that a lease seen after a pause is judged by its true age.
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

/*! @brief The machine's clocks: boot time and real time. */
class SystemClock final : public Clock {
 public:
  [[nodiscard]] Time Now() const noexcept override;
  [[nodiscard]] WallTime WallNow() const noexcept override;
};

/*! @brief A clock that moves only when told to. */
class ManualClock final : public Clock {
 public:
  /**
   * @brief Starts at the given readings.
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
   * @brief Moves both clocks forward.
   * @param by How far.
   */
  void Advance(Duration by) noexcept { this->now += by; }

 private:
  Time now;
  WallTime wall_start;
  Time start;
};

}  // namespace pollenring

#endif  // POLLENRING_CORE_CLOCK_H_
