#include "pollenring/retry/retry_rank.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenring {
namespace {

/*! @brief Time constant of the decay of all counts. */
constexpr Duration kDecayTime = std::chrono::seconds{2};
/*! @brief Interval of updates of the level. */
constexpr Duration kUpdateInterval = std::chrono::milliseconds{50};
/*! @brief Fraction of the wanted change that one update applies. */
constexpr double kStep = 0.2;
/*! @brief Retries that a call whose first one is not granted would have asked
 * for: 1 / (1 - p) at p = 0.5. Granted ones ask for all of them. */
constexpr double kRepeats = 2;
/*! @brief Fraction of the earned retries that the level uses. The rest is a
 * reserve for calls above it: one that is not retried spoils its root. */
constexpr double kUsedFraction = 0.8;

}  // namespace

void RetryRank::Decay(Time now) {
  const double kept = std::exp(-static_cast<double>((now - as_of).count()) /
                               static_cast<double>(kDecayTime.count()));
  this->as_of = now;
  this->earned *= kept;
  for (double &count : this->asked) count *= kept;
}

void RetryRank::RecordAsked(double priority, bool granted, Time now) {
  this->Decay(now);
  const double place = std::max(0.0, priority * kBinsPerImportance);
  const std::size_t bin = std::min(static_cast<std::size_t>(place), kBins - 1);
  this->asked[bin] += granted ? 1 : kRepeats;
}

void RetryRank::RecordEarned(double retries, Time now) {
  // The counts decay when a retry is asked for; until then `earned` is a sum.
  if (now - this->as_of > kUpdateInterval) this->Decay(now);
  this->earned += retries;
}

double RetryRank::EarnedPerSecond(Time now) {
  if (now - this->as_of > kUpdateInterval) this->Decay(now);
  return this->earned / std::chrono::duration<double>{kDecayTime}.count();
}

double RetryRank::FittingLevel(double available) const {
  double left = available;
  for (std::size_t bin = kBins; bin-- > 0;) {
    if (this->asked[bin] <= left) {
      left -= this->asked[bin];
      continue;
    }
    const double kept = left / this->asked[bin];
    return (static_cast<double>(bin) + 1 - kept) / kBinsPerImportance;
  }
  return 0;
}

double RetryRank::Level(double saved, Time now) {
  if (now - this->updated < kUpdateInterval) return this->level;
  this->updated = now;
  this->Decay(now);
  const double fitting =
      this->FittingLevel(kUsedFraction * this->earned + saved);
  this->level += kStep * (fitting - this->level);
  if (fitting <= 0 && this->level < 1.0 / kBinsPerImportance) this->level = 0;
  return this->level;
}

}  // namespace pollenring
