#include "pollenring/admission/target_capacity.h"

#include <algorithm>
#include <cmath>

namespace pollenring {
namespace {

/*! @brief Decay time of the current slowness; noise lasts 600 ms. */
constexpr Duration kSlownessDecayTime = std::chrono::milliseconds{250};
/*! @brief Decay per request at most, so that some ten requests remain at a
 * target with few. */
constexpr double kMinRequestDecay = 0.9;
/*! @brief Decayed requests from which the measured slowness counts. */
constexpr double kMinMeasured = 5;
/*! @brief Factor between measured and reported slowness above which the report
 * is taken as false; ten requests with a deviation of half the mean err by
 * 16 %. */
constexpr double kMaxDisagreement = 1.35;
/*! @brief After this time without requests the target counts as usual. */
constexpr Duration kSlownessLifetime = std::chrono::seconds{3};
/*! @brief Time constant of a kind's mean, long against any noise. */
constexpr Duration kMeanTime = std::chrono::seconds{10};
/*! @brief Maximum weight of a request in a known mean. */
constexpr double kMaxSampleWeight = 0.05;
/*! @brief Requests of a kind from which its mean counts. */
constexpr std::uint32_t kMinKindSamples = 10;
constexpr std::uint32_t kMaxKindSamples = 1000;
constexpr std::size_t kMaxKinds = 64;
/*! @brief Bound on one relative time, against single outliers. */
constexpr double kMaxRelative = 20;
/*! @brief Reported slowness that contention does not explain; noise fills
 * slots, so that it would look like a knee. */
constexpr double kTemporarySlowness = 1.6;

/*! @brief Lower edges of the classes, as fractions of the slots. */
constexpr std::array<double, 10> kEdges{0,    0.5, 0.6,   0.7,  0.8,
                                        0.85, 0.9, 0.925, 0.95, 0.975};
/*! @brief Fraction of the slots taken as below the knee while it is unknown. */
constexpr double kAssumedBelowKnee = 0.9;
/*! @brief Requests that make a class known; their mean errs by 5 %. */
constexpr double kMinClassSamples = 100;
constexpr double kMaxClassSamples = 400;
/*! @brief Gain of throughput that justifies a lower limit; beyond the error. */
constexpr double kMinGain = 1.08;
/*! @brief Lowest class that is tried without requests in it. */
constexpr double kLowestAssumed = 0.85;
/*! @brief Half-life of the knee's evidence, so that it is found anew. */
constexpr Duration kKneeHalfLife = std::chrono::seconds{30};
/*! @brief Requests between two choices of the limit. */
constexpr int kChoicePeriod = 16;
/*! @brief Slots below which keeping some free costs too much. */
constexpr int kMinSlotsToSpare = 10;

[[nodiscard]] double Ratio(Duration part, Duration whole) noexcept {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}  // namespace

TargetCapacity::TargetCapacity(std::uint32_t slots, const Clock &clock)
    : clock{clock},
      announced{std::max(1, static_cast<int>(slots))},
      limit{this->announced} {}

void TargetCapacity::Reset() {
  this->active = false;
  this->limit = this->announced;
  this->last_reported = 1;
  this->reported_slow_at = Time{};
  this->kinds.clear();
  this->recent_measured = 0;
  this->recent_reported = 0;
  this->recent_weight = 0;
  this->classes = {};
}

void TargetCapacity::RecordLoad(const TargetLoad &load) {
  this->reported_slots = load.slots;
  if (!load.states_slowness) return;
  this->active = true;
  this->last_reported = load.slowness / 100.0;
  if (this->last_reported > kTemporarySlowness) {
    this->reported_slow_at = this->clock.Now();
  }
}

void TargetCapacity::RecordServed(std::string_view kind, Duration own_time,
                                  int running) {
  if (!this->active || own_time <= Duration{0}) return;
  auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) {
    if (this->kinds.size() >= kMaxKinds) return;
    found = this->kinds.emplace(std::string{kind}, Kind{}).first;
  }
  Kind &known = found->second;
  const Time now = this->clock.Now();
  const auto us = static_cast<double>(own_time.count());
  if (known.samples >= kMinKindSamples) {
    const double relative = std::min(us / known.mean_us, kMaxRelative);
    this->LearnSlowness(relative, this->last_reported);
    const bool exact = known.samples >= kMinClassSamples;
    if (exact && !this->OverlapsSlowness(own_time)) {
      this->LearnKnee(relative, running);
    }
  }
  const double below = this->limit < this->announced
                           ? this->limit
                           : this->announced * kAssumedBelowKnee;
  if (running > below && known.samples >= kMinClassSamples) return;
  // A false report must not distort the mean.
  const double usual_us = this->ReportsAgree() ? us / this->last_reported : us;
  known.samples = std::min(known.samples + 1, kMaxKindSamples);
  const double weight = std::max(
      1.0 / known.samples,
      std::min(kMaxSampleWeight, Ratio(now - known.updated_at, kMeanTime)));
  known.mean_us += weight * (usual_us - known.mean_us);
  known.updated_at = now;
}

void TargetCapacity::LearnSlowness(double relative, double reported) {
  const Time now = this->clock.Now();
  const double decay =
      std::max(kMinRequestDecay,
               std::exp(-Ratio(now - this->sampled_at, kSlownessDecayTime)));
  this->sampled_at = now;
  this->recent_measured = this->recent_measured * decay + relative;
  this->recent_reported = this->recent_reported * decay + reported;
  this->recent_weight = this->recent_weight * decay + 1;
}

bool TargetCapacity::ReportsAgree() const noexcept {
  if (this->recent_weight < kMinMeasured) return true;
  return this->recent_measured < this->recent_reported * kMaxDisagreement &&
         this->recent_reported < this->recent_measured * kMaxDisagreement;
}

double TargetCapacity::Slowness() const noexcept {
  if (!this->active || this->Age() > kSlownessLifetime) return 1;
  if (this->ReportsAgree()) return this->last_reported;
  return this->recent_measured / this->recent_weight;
}

KindTime TargetCapacity::TimeOf(std::string_view kind) const {
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) return {};
  return {found->second.mean_us, found->second.samples};
}

bool TargetCapacity::OverlapsSlowness(Duration own_time) const noexcept {
  return this->reported_slow_at != Time{} &&
         this->clock.Now() - own_time <= this->reported_slow_at;
}

int TargetCapacity::LimitBelow(double edge) const noexcept {
  constexpr double kRounding = 1e-9;
  const double below = std::ceil(edge * this->announced - kRounding) - 1;
  return std::max(1, static_cast<int>(below));
}

void TargetCapacity::LearnKnee(double relative, int running) {
  if (this->announced < kMinSlotsToSpare) return;
  const Time now = this->clock.Now();
  if (now - this->classes_decayed_at > kKneeHalfLife) {
    for (Class &each : this->classes) each = {each.sum / 2, each.count / 2};
    this->classes_decayed_at = now;
  }
  const double used = static_cast<double>(running) / this->announced;
  std::size_t index = kClasses - 1;
  while (index > 0 && used < kEdges[index]) --index;
  Class &at = this->classes[index];
  if (at.count >= kMaxClassSamples) {
    at.sum -= at.sum / at.count;
    --at.count;
  }
  at.sum += relative;
  ++at.count;
  if (++this->until_choice < kChoicePeriod) return;
  this->until_choice = 0;
  this->ChooseLimit();
}

void TargetCapacity::ChooseLimit() {
  int best = this->announced;
  double best_throughput = 0;
  for (std::size_t i = kClasses; i-- > 0 && kEdges[i] >= kEdges[1];) {
    const Class &at = this->classes[i];
    const bool known = at.count >= kMinClassSamples;
    // A nearly full class without requests is taken as fast as the means of
    // the kinds, so that a target that is always full has its knee found.
    if (!known && kEdges[i] < kLowestAssumed) continue;
    const int candidate =
        i + 1 == kClasses ? this->announced : this->LimitBelow(kEdges[i + 1]);
    const double relative = known ? at.sum / at.count : 1;
    const double throughput = candidate / relative;
    if (throughput <= best_throughput * kMinGain) continue;
    best = candidate;
    best_throughput = throughput;
  }
  this->limit = best;
}

}  // namespace pollenring
