#include "pollenring/core/clock.h"

#include <ctime>

namespace pollenring {
namespace {

[[nodiscard]] std::chrono::nanoseconds ReadClock(clockid_t id) noexcept {
  timespec reading{};
  clock_gettime(id, &reading);
  return std::chrono::seconds{reading.tv_sec} +
         std::chrono::nanoseconds{reading.tv_nsec};
}

}  // namespace

Time SystemClock::Now() const noexcept {
  return std::chrono::duration_cast<Time>(ReadClock(CLOCK_BOOTTIME));
}

WallTime SystemClock::WallNow() const noexcept {
  return std::chrono::duration_cast<WallTime>(ReadClock(CLOCK_REALTIME));
}

}  // namespace pollenring
