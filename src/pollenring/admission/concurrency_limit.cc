#include "pollenring/admission/concurrency_limit.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief A lower limit is kept when requests take less than this part. */
constexpr double kShorter = 0.85;
/*! @brief A higher limit is kept when requests take less than this part. */
constexpr double kNoLonger = 1.12;
/*! @brief Part of refusals by the target itself at which the limit is cut. */
constexpr double kRefusedPart = 0.1;
/*! @brief Part of samples that must have met a full target. */
constexpr double kFullPart = 0.5;
/*! @brief Growth of the baseline in each window, so that it is learnt anew. */
constexpr double kBaselineDrift = 1.01;
/*! @brief Time, in baselines, that is a sign of crowding. */
constexpr double kCrowded = 1.3;
/*! @brief Limit up to which a lower one would cost much. */
constexpr double kSmallLimit = 8;

/*! @brief Part of the slots beyond which a target is nearly full. */
constexpr double kNearlyFull = 0.95;
/*! @brief Part of the slots from which a target is busy. */
constexpr double kBusy = 0.7;
/*! @brief Samples of either kind; the mean of times that vary by half of it is
 * then known to within 5 %. */
constexpr int kCrowdingSamples = 150;
/*! @brief Slots below which the last ones are too great a part. */
constexpr double kFewSlots = 10;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots,
                                   const ConcurrencyLimitOptions &options,
                                   const Clock &clock)
    : options{options},
      clock{clock},
      announced{std::max(1.0, static_cast<double>(slots))},
      limit{this->announced},
      window_start{clock.Now()} {}

void ConcurrencyLimit::Sample(Duration own_time, Duration whole_time,
                              int running, bool refused_by_target) {
  // What started under another limit tells nothing about this one.
  if (this->clock.Now() - whole_time < this->changed_at) return;
  if (refused_by_target) {
    ++this->refused;
  } else {
    this->own_us += static_cast<double>(own_time.count());
    this->whole_us += static_cast<double>(whole_time.count());
    ++this->samples;
    if (this->options.fixed) this->LearnCrowding(own_time, running);
    if (running >= this->Current()) ++this->full_samples;
  }
  const Duration age = this->clock.Now() - this->window_start;
  const int count = this->samples + this->refused;
  const bool enough =
      count >= this->EnoughSamples() && age >= this->options.shortest_window;
  const bool over = count >= this->options.fewest_samples &&
                    age >= this->options.longest_window;
  if (enough || over) this->CloseWindow();
}

int ConcurrencyLimit::EnoughSamples() const noexcept {
  const bool brief =
      this->trial == Trial::kLower || this->trial == Trial::kBack;
  return brief ? this->options.lower_trial_samples
               : this->options.enough_samples;
}

void ConcurrencyLimit::LearnCrowding(Duration own_time, int running) {
  const double used = running / this->announced;
  if (used < kBusy || this->announced < kFewSlots) return;
  MeanTime &mean = used > kNearlyFull ? this->crowded : this->busy;
  mean.sum_us += static_cast<double>(own_time.count());
  ++mean.count;
  const bool known = this->crowded.count >= kCrowdingSamples &&
                     this->busy.count >= kCrowdingSamples;
  if (!known) return;
  const double spared = std::floor(this->announced * kNearlyFull);
  // With the last slots free the target does more in the same time.
  const double gain = this->crowded.Mean() / this->busy.Mean();
  if (gain > this->announced / spared) {
    this->limit = spared;
  }
  this->crowded = {};
  this->busy = {};
}

void ConcurrencyLimit::CloseWindow() {
  const bool many = this->samples >= this->EnoughSamples();
  const bool full = this->full_samples > this->samples * kFullPart;
  const double own_us_each = this->own_us / std::max(1, this->samples);
  if (this->samples > 0) {
    this->typical =
        Duration{static_cast<std::int64_t>(this->whole_us / this->samples)};
  }
  if (this->options.fixed) {
    // The announced slots hold.
  } else if (this->refused > this->samples * kRefusedPart) {
    this->trial = Trial::kNone;
    this->SetLimit(this->limit * this->options.decrease);
  } else if (this->trial != Trial::kNone) {
    this->Judge(own_us_each);
  } else if (many && full) {
    if (this->pause > 0) --this->pause;
    if (this->pause == 0) this->StartTrial(own_us_each);
  }
  if (many) this->LearnBaseline(own_us_each);
  this->window_start = this->clock.Now();
  this->own_us = 0;
  this->whole_us = 0;
  this->samples = 0;
  this->full_samples = 0;
  this->refused = 0;
}

void ConcurrencyLimit::LearnBaseline(double own_us_each) {
  const bool first = this->baseline_us == 0;
  this->baseline_us =
      first ? own_us_each
            : std::min(own_us_each, this->baseline_us * kBaselineDrift);
}

bool ConcurrencyLimit::MayTryLower(double own_us_each) const noexcept {
  // A trial costs capacity: without a sign of crowding it is made once only.
  const bool unknown = !this->tried_lower && this->limit > kSmallLimit;
  return unknown || this->lower_helped ||
         own_us_each > this->baseline_us * kCrowded;
}

void ConcurrencyLimit::StartTrial(double own_us_each) {
  const bool lower = this->next_trial == Trial::kLower;
  if (lower && !this->MayTryLower(own_us_each)) {
    this->next_trial = Trial::kHigher;
  }
  this->trial = this->next_trial;
  this->tried_lower = this->tried_lower || this->trial == Trial::kLower;
  this->limit_before = this->limit;
  this->own_us_before = own_us_each;
  if (this->trial == Trial::kLower) {
    this->SetLimit(this->limit * this->options.decrease);
    return;
  }
  this->SetLimit(
      std::max(this->limit * this->options.increase, this->limit + 1));
}

void ConcurrencyLimit::Judge(double own_us_each) {
  switch (this->trial) {
    case Trial::kLower:
      this->JudgeLower(own_us_each);
      return;
    case Trial::kBack:
      this->JudgeBack(own_us_each);
      return;
    case Trial::kHigher:
      this->JudgeHigher(own_us_each);
      return;
    case Trial::kNone:
      return;
  }
}

void ConcurrencyLimit::JudgeLower(double own_us_each) {
  this->lower_limit = this->limit;
  this->own_us_lower = own_us_each;
  this->SetLimit(this->limit_before);
  if (own_us_each >= this->own_us_before * kShorter) {
    this->RejectLower(own_us_each);
    return;
  }
  // It may have taken longer before for another reason that has gone.
  this->trial = Trial::kBack;
}

void ConcurrencyLimit::JudgeBack(double own_us_each) {
  if (this->own_us_lower >= own_us_each * kShorter) {
    this->RejectLower(own_us_each);
    return;
  }
  this->SetLimit(this->lower_limit);
  // What helped is tried again at once.
  this->trial = Trial::kNone;
  this->pause = 1;
  this->lower_helped = true;
}

void ConcurrencyLimit::RejectLower(double own_us_each) {
  // The target is slow, not crowded.
  this->trial = Trial::kNone;
  this->lower_helped = false;
  this->baseline_us = own_us_each;
  this->next_trial = Trial::kHigher;
  this->pause = this->options.windows_before_higher;
}

void ConcurrencyLimit::JudgeHigher(double own_us_each) {
  this->trial = Trial::kNone;
  this->lower_helped = false;
  if (own_us_each < this->own_us_before * kNoLonger) {
    this->pause = 1;
    return;
  }
  this->SetLimit(this->limit_before);
  this->next_trial = Trial::kLower;
  this->pause = this->options.windows_before_lower;
}

void ConcurrencyLimit::SetLimit(double wanted) {
  const double most = this->announced * this->options.most_over_announced;
  this->limit = std::clamp(wanted, 1.0, most);
  this->changed_at = this->clock.Now();
  this->window_start = this->changed_at;
}

}  // namespace pollenring
