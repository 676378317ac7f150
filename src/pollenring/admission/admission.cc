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

/*! @brief Memory of how many requests are offered; as long as a level's. */
constexpr Duration kOfferedMemory = std::chrono::milliseconds{500};

[[nodiscard]] std::unique_ptr<LevelControl> MakeLevels(
    const AdmissionOptions &options, const Clock &clock) {
  if (options.level_cause == LevelTrigger::kOfferedLoad) {
    return std::make_unique<OfferedLoadLevel>(options.fit, clock);
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
      cold{clock},
      levels{MakeLevels(options, clock)},
      queue{MakeQueue(options.order)} {}

LoadReport Admission::Report() const noexcept {
  return {
      static_cast<std::uint32_t>(this->running.size() + this->queue->Size()),
      static_cast<std::uint32_t>(this->limit.Current())};
}

void Admission::SetColdStartLimit(const ColdStartLimit &tolerance) {
  this->cold.SetTolerance(tolerance);
  this->FollowCold();
}

void Admission::SetColdUntil(Time until) {
  this->cold.SetColdUntil(until);
  this->FollowCold();
}

void Admission::FollowCold() {
  const bool closed = this->cold.Closed();
  if (std::exchange(this->was_cold, closed) == closed) return;
  this->levels = MakeLevels(this->options, this->clock);
  this->cold_shed_at = Time{};
}

double Admission::OfferedNow() const {
  const Duration since = this->clock.Now() - this->offered_at;
  return this->offered * std::exp(-static_cast<double>(since.count()) /
                                  static_cast<double>(kOfferedMemory.count()));
}

double Admission::OfferedPerSecond() const {
  return this->OfferedNow() /
         std::chrono::duration<double>{kOfferedMemory}.count();
}

AdmissionActions Admission::Offer(const AdmissionRequest &ticket) {
  AdmissionActions actions;
  this->FollowCold();
  this->offered = this->OfferedNow() + 1;
  this->offered_at = this->clock.Now();
  this->levels->Offered(ticket);
  const std::size_t waiting_before = this->queue->Size();
  this->queue->Push(ticket);
  this->Fill(actions);
  this->ShedBeyondCold(actions);
  // One comes, at most one goes: a shrinking limit sheds nobody who waits, nor
  // does a request that runs or was dropped already.
  if (this->queue->Size() > waiting_before && this->Overfull()) {
    const auto worst = this->queue->PopWorst();
    Require(worst->importance <= ticket.importance || ticket.Invested(),
            "nothing more important is shed for a root");
    this->levels->Shed();
    actions.shed.push_back({worst->id, Reason::kOverload});
  }
  this->levels->Tick(this->State());
  return actions;
}

AdmissionActions Admission::Finish(std::uint64_t id, Duration time_in_sub_calls,
                                   bool refused_by_target) {
  AdmissionActions actions;
  const auto found = this->running.find(id);
  if (found == this->running.end()) return actions;
  const Duration whole = this->clock.Now() - found->second.started;
  const Duration own = std::max(Duration{0}, whole - time_in_sub_calls);
  this->limit.Sample(own, whole, found->second.running_at_start,
                     refused_by_target);
  this->running.erase(found);
  this->Fill(actions);
  return actions;
}

AdmissionActions Admission::Cancel(std::uint64_t id) {
  AdmissionActions actions;
  if (this->queue->Remove(id)) return actions;
  this->running.erase(id);
  this->Fill(actions);
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
  this->FollowCold();
  this->Fill(actions);
  this->ShedBeyondCold(actions);
  this->levels->Tick(this->State());
  return actions;
}

void Admission::Fill(AdmissionActions &actions) {
  this->DropLate(actions);
  while (static_cast<int>(this->running.size()) < this->limit.Current() &&
         this->cold.HasRoom()) {
    const auto next = this->queue->Pop();
    if (!next) return;
    this->Start(*next, actions);
  }
}

void Admission::ShedBeyondCold(AdmissionActions &actions) {
  if (!this->cold.Closed() || this->cold.HasRoom()) return;
  for (const auto &waiting : this->queue->RemoveExpired(Time::max())) {
    this->levels->Shed();
    this->cold_shed_at = this->clock.Now();
    actions.shed.push_back({waiting.id, Reason::kWarmingUp});
  }
}

void Admission::DropLate(AdmissionActions &actions) {
  const Time needed = this->clock.Now() + this->limit.TypicalTime() / 2;
  for (const auto &late : this->queue->RemoveExpired(needed)) {
    this->levels->Shed();
    actions.shed.push_back({late.id, Reason::kDeadline});
  }
}

void Admission::Start(const AdmissionRequest &ticket,
                      AdmissionActions &actions) {
  const int running_now = static_cast<int>(this->running.size()) + 1;
  this->running[ticket.id] = {this->clock.Now(), running_now,
                              ticket.importance};
  this->cold.Sent(ticket.id);
  actions.start.push_back(ticket.id);
}

bool Admission::Overfull() const {
  const std::size_t capacity = this->QueueCapacity();
  if (this->queue->Size() <= capacity) return false;
  // The most important wait longer, as far as their deadlines allow.
  const bool can_shed_others = this->queue->Lowest() < Importance::kCritical;
  return can_shed_others ||
         this->queue->Size() > capacity * this->options.critical_queue_factor;
}

QueueState Admission::State() const {
  QueueState state;
  if (this->cold.Closed()) {
    state.capacity = this->cold.PerSecond();
    // What doesn't fit is shed at once, so no queue tells of it.
    const Duration since = this->clock.Now() - this->cold_shed_at;
    if (since < this->options.level_window) {
      state.delay = this->options.fit.longest;
    }
    return state;
  }
  const Duration typical = this->limit.TypicalTime();
  if (typical <= Duration{0}) return state;
  const double seconds = std::chrono::duration<double>{typical}.count();
  state.capacity = static_cast<double>(this->limit.Current()) / seconds;
  const double delay =
      static_cast<double>(this->queue->Size()) / state.capacity;
  state.delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{delay});
  return state;
}

std::size_t Admission::QueueCapacity() const noexcept {
  const Duration typical = this->limit.TypicalTime();
  if (typical <= Duration{0}) {
    return std::max(this->options.shortest_queue,
                    static_cast<std::size_t>(this->limit.Current()));
  }
  const double turns = static_cast<double>(this->options.queue_time.count()) /
                       static_cast<double>(typical.count());
  const auto wanted = static_cast<std::size_t>(this->limit.Current() * turns);
  return std::clamp(wanted, this->options.shortest_queue,
                    this->options.longest_queue);
}

}  // namespace pollenring
