#include "pollenring/admission/offered_load_level.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "pollenring/admission/shed_levels.h"

namespace pollenring {
namespace {

/*! @brief Faded count of critical requests from which there are any. */
constexpr double kAnyCritical = 1;

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

void OfferedLoadLevel::Offered(const AdmissionRequest &ticket) {
  const double place =
      PriorityOf(ticket.importance, ticket.sub_priority) * kBinsPerImportance;
  const auto bin = std::min(static_cast<std::size_t>(place), kBins - 1);
  this->offered[bin] += 1;
}

double OfferedLoadLevel::Fit(double allowed, double per_second) const {
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

double OfferedLoadLevel::HighestLevel() const {
  // Where few workspaces go before all others, a level that must come down to
  // them first would refuse these for longer than needed.
  constexpr int kBelow = kImportanceLevels - 1;
  const auto first = this->offered.begin() + kBelow * kBinsPerImportance;
  const double critical = std::accumulate(first, this->offered.end(), 0.0);
  return critical < kAnyCritical ? kBelow : kImportanceLevels;
}

void OfferedLoadLevel::Tick(const QueueState &queue) {
  const Time now = this->clock.Now();
  const Duration elapsed = now - this->window_start;
  if (elapsed < this->options.window) return;
  this->window_start = now;
  const double seconds = std::min(1.0, Seconds(elapsed));
  const double kept = std::exp(-seconds / Seconds(this->options.memory));
  const double per_second = (1 - kept) / seconds;
  const double total =
      std::accumulate(this->offered.begin(), this->offered.end(), 0.0) *
      per_second;
  if (queue.capacity > 0) {
    const double backlog =
        std::min(1.0, Seconds(queue.delay) / Seconds(this->options.longest));
    const double allowed =
        queue.capacity * (this->options.load - this->options.reserve * backlog);
    const double fit = this->Fit(allowed, per_second);
    const bool waits = queue.delay > this->options.tolerated;
    if (waits && fit > this->level) {
      this->level += this->options.rise * (fit - this->level);
    } else if (waits) {
      this->level += this->options.push * backlog * seconds;
    } else {
      const double spare = std::max(0.0, 1 - total / allowed);
      this->level -=
          seconds * (this->options.fall + this->options.fall_spare * spare);
    }
    this->level = std::clamp(this->level, 0.0, this->HighestLevel());
  }
  for (double &count : this->offered) count *= kept;
}

}  // namespace pollenring
