#include "pollenring/admission/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "pollenring/admission/fair_queue.h"
#include "pollenring/admission/shed_levels.h"
#include "pollenring/admission/soft_deadline_queue.h"
#include "pollenring/core/invariant.h"

namespace pollenring {
namespace {

/*! @brief Decay time of the offered rate; equal to that of the levels. */
constexpr Duration kOfferedDecayTime = std::chrono::milliseconds{500};
constexpr double kPercent = 100;

[[nodiscard]] std::unique_ptr<LevelControl> MakeLevels(
    const AdmissionOptions &options, const Clock &clock) {
  if (options.level_trigger == LevelTrigger::kOfferedLoad) {
    return std::make_unique<OfferedLoadLevel>(options.offered_load, clock);
  }
  return std::make_unique<ShedLevels>(options.level_window, clock);
}

[[nodiscard]] std::unique_ptr<RequestQueue> MakeQueue(QueueOrder order) {
  if (order == QueueOrder::kSoftDeadline)
    return std::make_unique<SoftDeadlineQueue>();
  return std::make_unique<FairQueue>();
}

}  // namespace

Admission::Admission(std::uint32_t slots, const AdmissionOptions &options,
                     const Clock &clock)
    : options{options},
      clock{clock},
      limit{slots, options.limit, clock},
      capacity{slots, clock},
      cold_limiter{clock},
      rate_limiter{options.rate_limit, clock},
      levels{MakeLevels(options, clock)},
      queue{MakeQueue(options.order)} {}

LoadReport Admission::Report(std::string_view kind) const {
  double limit = this->Limit();
  if (this->rate_limiter.Stated()) {
    // What runs at a time at that rate, so that callers send the rest
    // elsewhere.
    const double seconds =
        std::chrono::duration<double>{this->limit.TypicalTime()}.count();
    const double at_rate = this->rate_limiter.PerSecond() * seconds;
    limit = std::min(limit, std::max(1.0, std::ceil(at_rate)));
  }
  LoadReport report;
  report.in_progress =
      static_cast<std::uint32_t>(this->running.size() + this->queue->Size());
  report.limit = static_cast<std::uint32_t>(limit);
  if (!this->capacity.Active() || kind.empty()) return report;
  const KindTime time = this->capacity.TimeOf(kind);
  report.service_us = static_cast<std::uint32_t>(std::llround(time.us));
  report.kind_samples = time.samples;
  report.slowness = static_cast<std::uint32_t>(
      std::max(1LL, std::llround(this->capacity.Slowness() * kPercent)));
  return report;
}

void Admission::SetColdStartLimit(const ColdStartLimit &cold_limit) {
  this->cold_limiter.SetLimit(cold_limit);
  this->ResetLevelsIfColdChanged();
}

void Admission::SetColdUntil(Time until) {
  this->cold_limiter.SetColdUntil(until);
  // The times of a cold target say nothing about a warm one.
  if (this->ColdFor() > Duration{0}) this->capacity.Reset();
  this->ResetLevelsIfColdChanged();
}

void Admission::ResetLevelsIfColdChanged() {
  const bool active = this->cold_limiter.Active();
  if (std::exchange(this->was_cold, active) == active) return;
  this->levels = MakeLevels(this->options, this->clock);
  this->last_cold_shed_at = Time{};
}

double Admission::DecayedOffered() const {
  const Duration since = this->clock.Now() - this->last_offered_at;
  return this->decayed_offered *
         std::exp(-static_cast<double>(since.count()) /
                  static_cast<double>(kOfferedDecayTime.count()));
}

double Admission::OfferedPerSecond() const {
  return this->DecayedOffered() /
         std::chrono::duration<double>{kOfferedDecayTime}.count();
}

AdmissionActions Admission::Offer(const AdmissionRequest &request) {
  AdmissionActions actions;
  this->ResetLevelsIfColdChanged();
  this->decayed_offered = this->DecayedOffered() + 1;
  this->last_offered_at = this->clock.Now();
  this->levels->Offered(request);
  const std::size_t waiting_before = this->queue->Size();
  this->queue->Push(request);
  this->StartWaiting(actions);
  this->ShedColdExcess(actions);
  this->ShedRateExcess(actions);
  // Sheds at most one waiting request per arrival, and none if the arrival was
  // started or dropped at once. A shrinking limit alone sheds nothing.
  if (this->queue->Size() > waiting_before && this->QueueOverfull()) {
    const auto worst = this->queue->PopWorst();
    Require(worst->importance <= request.importance || request.Invested(),
            "a root must not displace a more important request");
    this->levels->Shed();
    actions.shed.push_back({worst->id, Reason::kOverload});
  }
  this->levels->Tick(this->State());
  return actions;
}

AdmissionActions Admission::Finish(std::uint64_t id, Duration time_in_sub_calls,
                                   bool refused_by_target,
                                   std::string_view served_kind) {
  AdmissionActions actions;
  const auto found = this->running.find(id);
  if (found == this->running.end()) return actions;
  const Duration total_time = this->clock.Now() - found->second.started;
  const Duration own_time =
      std::max(Duration{0}, total_time - time_in_sub_calls);
  this->limit.Sample(own_time, total_time, found->second.running_at_start,
                     refused_by_target);
  const bool was_warm = found->second.started >= this->cold_limiter.ColdUntil();
  if (!served_kind.empty() && was_warm) {
    this->capacity.RecordServed(served_kind, own_time,
                                found->second.running_at_start);
  }
  this->running.erase(found);
  this->StartWaiting(actions);
  return actions;
}

AdmissionActions Admission::Cancel(std::uint64_t id) {
  AdmissionActions actions;
  if (this->queue->Remove(id)) return actions;
  this->running.erase(id);
  this->StartWaiting(actions);
  return actions;
}

AdmissionActions Admission::Close(Reason why) {
  AdmissionActions actions;
  for (const auto &waiting : this->TakeWaiting()) {
    actions.shed.push_back({waiting.id, why});
  }
  return actions;
}

AdmissionActions Admission::Tick() {
  AdmissionActions actions;
  this->ResetLevelsIfColdChanged();
  this->StartWaiting(actions);
  this->ShedColdExcess(actions);
  this->ShedRateExcess(actions);
  this->levels->Tick(this->State());
  return actions;
}

void Admission::StartWaiting(AdmissionActions &actions) {
  this->ShedLate(actions);
  while (static_cast<int>(this->running.size()) < this->Limit() &&
         this->cold_limiter.HasRoom() && this->rate_limiter.HasToken()) {
    const auto next = this->queue->Pop();
    if (!next) return;
    this->Start(*next, actions);
  }
}

void Admission::ShedColdExcess(AdmissionActions &actions) {
  if (!this->cold_limiter.Active() || this->cold_limiter.HasRoom()) return;
  for (const auto &waiting : this->queue->RemoveExpired(Time::max())) {
    this->levels->Shed();
    this->last_cold_shed_at = this->clock.Now();
    actions.shed.push_back({waiting.id, Reason::kWarmingUp});
  }
}

void Admission::ShedRateExcess(AdmissionActions &actions) {
  if (!this->rate_limiter.Stated() || this->rate_limiter.HasToken()) return;
  const double seconds =
      std::chrono::duration<double>{this->options.rate_limit_wait}.count();
  const auto kept = static_cast<std::size_t>(
      std::ceil(this->rate_limiter.PerSecond() * seconds));
  while (this->queue->Size() > kept) {
    const auto worst = this->queue->PopWorst();
    actions.shed.push_back({worst->id, Reason::kTargetLimited});
  }
}

void Admission::ShedLate(AdmissionActions &actions) {
  const Time needed = this->clock.Now() + this->limit.TypicalTime() / 2;
  for (const auto &late : this->queue->RemoveExpired(needed)) {
    this->levels->Shed();
    actions.shed.push_back({late.id, Reason::kDeadline});
  }
}

void Admission::Start(const AdmissionRequest &request,
                      AdmissionActions &actions) {
  const int running_now = static_cast<int>(this->running.size()) + 1;
  this->running[request.id] = {this->clock.Now(), running_now,
                               request.importance};
  this->cold_limiter.RecordSent(request.id);
  this->rate_limiter.Spend();
  actions.start.push_back(request.id);
}

bool Admission::QueueOverfull() const {
  const std::size_t capacity = this->QueueCapacity();
  if (this->queue->Size() <= capacity) return false;
  // Critical requests may wait longer, as far as their deadlines allow.
  const bool can_shed_others =
      this->queue->LowestImportance() < Importance::kCritical;
  return can_shed_others ||
         this->queue->Size() > capacity * this->options.critical_queue_factor;
}

QueueState Admission::State() const {
  QueueState state;
  if (this->cold_limiter.Active()) {
    state.capacity = this->cold_limiter.PerSecond();
    // Excess requests are shed at once, so the queue length shows no overload.
    const Duration since = this->clock.Now() - this->last_cold_shed_at;
    if (since < this->options.level_window) {
      state.delay = this->options.offered_load.max_delay;
    }
    return state;
  }
  if (this->rate_limiter.Stated()) {
    // Excess requests go to other targets; refusing them early would be wrong
    // while one of these has capacity.
    state.capacity =
        std::max(this->rate_limiter.PerSecond(), this->OfferedPerSecond());
    return state;
  }
  const Duration typical = this->limit.TypicalTime();
  if (typical <= Duration{0}) return state;
  const double seconds = std::chrono::duration<double>{typical}.count();
  state.capacity = static_cast<double>(this->Limit()) / seconds;
  const double delay =
      static_cast<double>(this->queue->Size()) / state.capacity;
  state.delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{delay});
  return state;
}

std::size_t Admission::QueueCapacity() const noexcept {
  const Duration typical = this->limit.TypicalTime();
  if (typical <= Duration{0}) {
    return std::max(this->options.min_queue_size,
                    static_cast<std::size_t>(this->Limit()));
  }
  const double turns = static_cast<double>(this->options.queue_time.count()) /
                       static_cast<double>(typical.count());
  const auto wanted = static_cast<std::size_t>(this->Limit() * turns);
  return std::clamp(wanted, this->options.min_queue_size,
                    this->options.max_queue_size);
}

}  // namespace pollenring
