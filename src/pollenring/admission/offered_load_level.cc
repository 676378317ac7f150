#include "pollenring/admission/offered_load_level.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "pollenring/admission/shed_levels.h"

namespace pollenring {
namespace {

/*! @brief Decayed count from which critical requests count as present. */
constexpr double kMinCritical = 1;

[[nodiscard]] double Seconds(Duration span) noexcept {
  return std::chrono::duration<double>{span}.count();
}

}  // namespace

OfferedLoadLevel::OfferedLoadLevel(const OfferedLoadLevelOptions &options,
                                   const Clock &clock)
    : options{options}, clock{clock}, window_start{clock.Now()} {}

double OfferedLoadLevel::AdmissionLevelOf(
    const std::string & /*workspace*/) const {
  return this->level;
}

void OfferedLoadLevel::Offered(const AdmissionRequest &request) {
  const double place =
      PriorityOf(request.importance, request.sub_priority) * kBinsPerImportance;
  const auto bin = std::min(static_cast<std::size_t>(place), kBins - 1);
  this->offered[bin] += 1;
}

double OfferedLoadLevel::LevelFor(double allowed, double per_second) const {
  double left = allowed;
  for (std::size_t bin = kBins; bin-- > 0;) {
    const double rate = this->offered[bin] * per_second;
    if (rate <= left) {
      left -= rate;
      continue;
    }
    const double kept = left / rate;
    return (static_cast<double>(bin) + 1 - kept) / kBinsPerImportance;
  }
  return 0;
}

double OfferedLoadLevel::MaxLevel() const {
  // Without critical requests the level stays below their range; it would have
  // to fall through it first and refuse all others for longer than needed.
  constexpr int kCriticalStart = kImportanceLevels - 1;
  const auto first =
      this->offered.begin() + kCriticalStart * kBinsPerImportance;
  const double critical = std::accumulate(first, this->offered.end(), 0.0);
  return critical < kMinCritical ? kCriticalStart : kImportanceLevels;
}

void OfferedLoadLevel::Tick(const QueueState &queue) {
  const Time now = this->clock.Now();
  const Duration elapsed = now - this->window_start;
  if (elapsed < this->options.window) return;
  this->window_start = now;
  const double seconds = std::min(1.0, Seconds(elapsed));
  const double kept = std::exp(-seconds / Seconds(this->options.decay_time));
  const double per_second = (1 - kept) / seconds;
  const double total =
      std::accumulate(this->offered.begin(), this->offered.end(), 0.0) *
      per_second;
  if (queue.capacity > 0) {
    const double backlog =
        std::min(1.0, Seconds(queue.delay) / Seconds(this->options.max_delay));
    const double allowed =
        queue.capacity *
        (this->options.target_load - this->options.drain_reserve * backlog);
    const double fit = this->LevelFor(allowed, per_second);
    const bool overloaded = queue.delay > this->options.tolerated_delay;
    if (overloaded && fit > this->level) {
      this->level += this->options.rise_fraction * (fit - this->level);
    } else if (overloaded) {
      this->level += this->options.backlog_rise * backlog * seconds;
    } else {
      const double spare = std::max(0.0, 1 - total / allowed);
      this->level -=
          seconds * (this->options.min_fall + this->options.idle_fall * spare);
    }
    this->level = std::clamp(this->level, 0.0, this->MaxLevel());
  }
  for (double &count : this->offered) count *= kept;
}

}  // namespace pollenring
