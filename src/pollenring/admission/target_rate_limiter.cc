#include "pollenring/admission/target_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace pollenring {
namespace {

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>{duration}.count();
}

}  // namespace

TargetRateLimiter::TargetRateLimiter(const TargetRateLimiterOptions &options,
                                     const Clock &clock)
    : options{options}, clock{clock}, refilled{clock.Now()} {
  if (options.initial_rate <= 0) return;
  this->rate = options.initial_rate;
  this->tokens = this->MaxTokens();
}

void TargetRateLimiter::Record(const std::optional<double> &per_second,
                               Time sent) {
  if (per_second) {
    this->Refill();
    // Requests sent without a limit have used up what could be saved.
    if (!this->stated) this->tokens = 0;
    this->rate = std::max(this->options.min_rate, *per_second);
    this->tokens = std::min(this->tokens, this->MaxTokens());
    this->stated = true;
    this->last_stated = this->clock.Now();
    return;
  }
  if (!this->rate) return;
  const bool outdated = this->stated && sent <= this->last_stated;
  if (outdated) return;
  this->rate.reset();
  this->stated = false;
}

bool TargetRateLimiter::HasToken() {
  const bool unconfirmed = this->rate && !this->stated;
  const bool expired =
      unconfirmed && this->first_sent != Time{} &&
      this->clock.Now() - this->first_sent > this->options.initial_period;
  if (expired) this->rate.reset();
  if (!this->rate) return true;
  this->Refill();
  return this->tokens >= 1;
}

void TargetRateLimiter::Spend() {
  if (this->first_sent == Time{}) this->first_sent = this->clock.Now();
  if (!this->rate) return;
  this->Refill();
  this->tokens -= 1;
}

double TargetRateLimiter::MaxTokens() const noexcept {
  return std::max(2.0, *this->rate * Seconds(this->options.burst));
}

void TargetRateLimiter::Refill() {
  const Time now = this->clock.Now();
  const Duration elapsed = now - std::exchange(this->refilled, now);
  if (!this->rate) return;
  this->tokens = std::min(this->MaxTokens(),
                          this->tokens + *this->rate * Seconds(elapsed));
}

}  // namespace pollenring
