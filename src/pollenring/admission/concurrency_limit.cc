#include "pollenring/admission/concurrency_limit.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief A lower limit is kept if times fall below this fraction. */
constexpr double kLowerKeepRatio = 0.85;
/*! @brief A higher limit is kept if times stay below this multiple. */
constexpr double kHigherKeepRatio = 1.12;
/*! @brief Ratio of refusals by the target above which the limit is cut. */
constexpr double kMaxRefusedRatio = 0.1;
/*! @brief Fraction of samples at the full limit that a trial requires. */
constexpr double kMinFullFraction = 0.5;
/*! @brief Growth of the baseline per window, so that it is relearned. */
constexpr double kBaselineDrift = 1.01;
/*! @brief Multiple of the baseline time that indicates contention. */
constexpr double kContentionRatio = 1.3;
/*! @brief Limit up to which a lower one would cost much capacity. */
constexpr double kSmallLimit = 8;

/*! @brief Fraction of the slots above which a target is nearly full. */
constexpr double kNearlyFullFraction = 0.95;
/*! @brief Fraction of the slots from which a target is busy. */
constexpr double kBusyFraction = 0.7;
/*! @brief Samples needed of each kind; with a deviation of half the mean, the
 * mean is then known to within 5 %. */
constexpr int kContentionSamples = 150;
/*! @brief Slots below which keeping the last ones free costs too much. */
constexpr double kMinSlotsToSpare = 10;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots,
                                   const ConcurrencyLimitOptions &options,
                                   const Clock &clock)
    : options{options},
      clock{clock},
      announced{std::max(1.0, static_cast<double>(slots))},
      limit{this->announced},
      window_start{clock.Now()} {}

void ConcurrencyLimit::Sample(Duration own_time, Duration total_time,
                              int running, bool refused_by_target) {
  // Requests started under another limit say nothing about this one.
  if (this->clock.Now() - total_time < this->changed_at) return;
  if (refused_by_target) {
    ++this->refused;
  } else {
    this->own_us += static_cast<double>(own_time.count());
    this->total_us += static_cast<double>(total_time.count());
    ++this->samples;
    if (this->options.fixed) this->LearnContention(own_time, running);
    if (running >= this->Current()) ++this->full_samples;
  }
  const Duration age = this->clock.Now() - this->window_start;
  const int count = this->samples + this->refused;
  const bool enough =
      count >= this->EnoughSamples() && age >= this->options.min_window;
  const bool over =
      count >= this->options.min_samples && age >= this->options.max_window;
  if (enough || over) this->CloseWindow();
}

int ConcurrencyLimit::EnoughSamples() const noexcept {
  const bool short_trial =
      this->trial == Trial::kLower || this->trial == Trial::kRecheck;
  return short_trial ? this->options.lower_trial_samples
                     : this->options.enough_samples;
}

void ConcurrencyLimit::LearnContention(Duration own_time, int running) {
  const double used = running / this->announced;
  if (used < kBusyFraction || this->announced < kMinSlotsToSpare) return;
  MeanTime &mean = used > kNearlyFullFraction ? this->nearly_full : this->busy;
  mean.sum_us += static_cast<double>(own_time.count());
  ++mean.count;
  const bool known = this->nearly_full.count >= kContentionSamples &&
                     this->busy.count >= kContentionSamples;
  if (!known) return;
  const double reduced = std::floor(this->announced * kNearlyFullFraction);
  // Throughput is higher with the last slots left free.
  const double slowdown = this->nearly_full.Mean() / this->busy.Mean();
  if (slowdown > this->announced / reduced) {
    this->limit = reduced;
  }
  this->nearly_full = {};
  this->busy = {};
}

void ConcurrencyLimit::CloseWindow() {
  const bool many = this->samples >= this->EnoughSamples();
  const bool full = this->full_samples > this->samples * kMinFullFraction;
  const double own_us_per_request = this->own_us / std::max(1, this->samples);
  if (this->samples > 0) {
    this->typical_time =
        Duration{static_cast<std::int64_t>(this->total_us / this->samples)};
  }
  if (this->options.fixed) {
    // The limit is derived from the announced slots only.
  } else if (this->refused > this->samples * kMaxRefusedRatio) {
    this->trial = Trial::kNone;
    this->SetLimit(this->limit * this->options.decrease);
  } else if (this->trial != Trial::kNone) {
    this->Evaluate(own_us_per_request);
  } else if (many && full) {
    if (this->windows_to_wait > 0) --this->windows_to_wait;
    if (this->windows_to_wait == 0) this->StartTrial(own_us_per_request);
  }
  if (many) this->LearnBaseline(own_us_per_request);
  this->window_start = this->clock.Now();
  this->own_us = 0;
  this->total_us = 0;
  this->samples = 0;
  this->full_samples = 0;
  this->refused = 0;
}

void ConcurrencyLimit::LearnBaseline(double own_us_per_request) {
  const bool first = this->baseline_us == 0;
  this->baseline_us =
      first ? own_us_per_request
            : std::min(own_us_per_request, this->baseline_us * kBaselineDrift);
}

bool ConcurrencyLimit::MayTryLower(double own_us_per_request) const noexcept {
  // A trial costs capacity; without signs of contention it is made only once.
  const bool unknown = !this->tried_lower && this->limit > kSmallLimit;
  return unknown || this->lower_helped ||
         own_us_per_request > this->baseline_us * kContentionRatio;
}

void ConcurrencyLimit::StartTrial(double own_us_per_request) {
  const bool lower = this->next_trial == Trial::kLower;
  if (lower && !this->MayTryLower(own_us_per_request)) {
    this->next_trial = Trial::kHigher;
  }
  this->trial = this->next_trial;
  this->tried_lower = this->tried_lower || this->trial == Trial::kLower;
  this->limit_before = this->limit;
  this->own_us_before = own_us_per_request;
  if (this->trial == Trial::kLower) {
    this->SetLimit(this->limit * this->options.decrease);
    return;
  }
  this->SetLimit(
      std::max(this->limit * this->options.increase, this->limit + 1));
}

void ConcurrencyLimit::Evaluate(double own_us_per_request) {
  switch (this->trial) {
    case Trial::kLower:
      this->EvaluateLower(own_us_per_request);
      return;
    case Trial::kRecheck:
      this->EvaluateRecheck(own_us_per_request);
      return;
    case Trial::kHigher:
      this->EvaluateHigher(own_us_per_request);
      return;
    case Trial::kNone:
      return;
  }
}

void ConcurrencyLimit::EvaluateLower(double own_us_per_request) {
  this->lower_limit = this->limit;
  this->own_us_lower = own_us_per_request;
  this->SetLimit(this->limit_before);
  if (own_us_per_request >= this->own_us_before * kLowerKeepRatio) {
    this->RejectLower(own_us_per_request);
    return;
  }
  // The earlier slowness may have had a temporary cause; measure it again.
  this->trial = Trial::kRecheck;
}

void ConcurrencyLimit::EvaluateRecheck(double own_us_per_request) {
  if (this->own_us_lower >= own_us_per_request * kLowerKeepRatio) {
    this->RejectLower(own_us_per_request);
    return;
  }
  this->SetLimit(this->lower_limit);
  // A step that helped is repeated after the next full window.
  this->trial = Trial::kNone;
  this->windows_to_wait = 1;
  this->lower_helped = true;
}

void ConcurrencyLimit::RejectLower(double own_us_per_request) {
  // The target is slow for another reason than contention.
  this->trial = Trial::kNone;
  this->lower_helped = false;
  this->baseline_us = own_us_per_request;
  this->next_trial = Trial::kHigher;
  this->windows_to_wait = this->options.windows_before_higher;
}

void ConcurrencyLimit::EvaluateHigher(double own_us_per_request) {
  this->trial = Trial::kNone;
  this->lower_helped = false;
  if (own_us_per_request < this->own_us_before * kHigherKeepRatio) {
    this->windows_to_wait = 1;
    return;
  }
  this->SetLimit(this->limit_before);
  this->next_trial = Trial::kLower;
  this->windows_to_wait = this->options.windows_before_lower;
}

void ConcurrencyLimit::SetLimit(double wanted) {
  const double max_limit = this->announced * this->options.max_over_announced;
  this->limit = std::clamp(wanted, 1.0, max_limit);
  this->changed_at = this->clock.Now();
  this->window_start = this->changed_at;
}

}  // namespace pollenring
