#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/node/target_executor.h"

namespace pollenring {
namespace {

/*! @brief Time without announcements after which a target is dropped: four of
 * the longest announcement periods, 1.5 s. */
constexpr Duration kAnnouncementLifetime = std::chrono::seconds{6};
/*! @brief Minimum time between two log lines on target load. */
constexpr Duration kLoadLogPeriod = std::chrono::seconds{1};
/*! @brief Minimum time between two log lines on the capacity of a target. */
constexpr Duration kCapacityLogPeriod = std::chrono::seconds{10};
/*! @brief Change of slowness that is logged; a knee makes 1.3. */
constexpr double kLoggedChange = 1.25;
/*! @brief Maximum delivery delay of an announcement that was sent before a
 * sign of a restart. */
constexpr Duration kMaxAnnouncementDelay = std::chrono::milliseconds{300};

}  // namespace

void TargetExecutor::Announce(const Announcement &announcement) {
  const std::string &service = announcement.target.service;
  auto found = this->bindings.find(service);
  const bool is_new =
      found == this->bindings.end() ||
      !(found->second.announcement.address == announcement.address) ||
      found->second.announcement.instance != announcement.instance;
  std::vector<AdmissionRequest> waiting;
  if (is_new) {
    if (found != this->bindings.end()) {
      waiting = found->second.admission->TakeWaiting();
      this->RecordEnd(found->second);
    }
    Binding binding;
    binding.admission = std::make_unique<Admission>(
        announcement.target.slots, this->options, this->loop.GetClock());
    found = this->bindings.insert_or_assign(service, std::move(binding)).first;
  }
  found->second.announcement = announcement;
  found->second.last_seen = this->loop.GetClock().Now();
  this->ApplyColdStart(found->second);
  // Requests queued for the previous target have not run anywhere.
  for (const auto &request : waiting) this->Offer(found->second, request);
  if (announcement.target.state == TargetState::kDraining) {
    this->Perform(found->second.admission->Close());
  }
  this->Report();
}

void TargetExecutor::Offer(Binding &binding, const AdmissionRequest &request) {
  const Reason refused = RefusalReasonOf(binding);
  if (refused != Reason::kNone) {
    this->Refuse(request.id, Outcome::kNotRun, refused);
    return;
  }
  this->Perform(binding.admission->Offer(request));
}

void TargetExecutor::ApplyColdStart(Binding &binding) {
  const Time now = this->loop.GetClock().Now();
  const std::string &service = binding.announcement.target.service;
  binding.admission->SetColdStartLimit(
      this->cold_start_limits.LimitOf(service));
  const Duration cold_for = binding.announcement.cold_for;
  // This announcement may have been sent before the restart.
  const bool recent = binding.assumed_cold_at != Time{} &&
                      now - binding.assumed_cold_at < kMaxAnnouncementDelay;
  TargetState &state = binding.announcement.target.state;
  if (recent && cold_for < binding.admission->ColdFor()) {
    if (state == TargetState::kWarm) state = TargetState::kCold;
    return;
  }
  binding.cold_end_known = cold_for > Duration{0};
  binding.admission->SetColdUntil(now + cold_for);
}

void TargetExecutor::AssumeCold(Binding &binding) {
  const Time now = this->loop.GetClock().Now();
  const std::string &service = binding.announcement.target.service;
  const Duration cold_for = this->cold_start_limits.ColdAfterStart(service);
  binding.assumed_cold_at = now;
  const bool was_warm = binding.admission->ColdFor() <= Duration{0};
  if (cold_for <= binding.admission->ColdFor()) return;
  binding.admission->SetColdStartLimit(
      this->cold_start_limits.LimitOf(service));
  binding.admission->SetColdUntil(now + cold_for);
  binding.cold_end_known = true;
  TargetState &state = binding.announcement.target.state;
  if (state == TargetState::kWarm) state = TargetState::kCold;
  if (!was_warm) return;
  LogEvent(LogLevel::kInfo, "target taken as cold",
           {{"service", service},
            {"instance", binding.announcement.instance},
            {"cold_ms", cold_for.count() / 1000}});
  this->Report();
}

void TargetExecutor::RecordTargetState(Binding &binding,
                                       const ResponseSignals &signals,
                                       Time sent) {
  if (signals.wrong_instance || signals.uncorrelated) return;
  if (signals.invalid_load) {
    this->metrics.Count("pollenring_invalid_load_reports_total");
  }
  if (signals.load) binding.admission->RecordLoad(*signals.load);
  const bool newly_leaving =
      signals.leaving &&
      binding.announcement.target.state != TargetState::kDraining;
  if (newly_leaving) {
    // Not within the handling of a response, as queued calls are refused.
    this->loop.Post([this, instance = binding.announcement.instance] {
      this->Drain(instance);
      if (this->leaves) this->leaves(instance);
    });
  }
  const double before = binding.admission->RateLimit();
  binding.admission->RecordRateLimit(signals.rate_limit, sent);
  const double after = binding.admission->RateLimit();
  if (before == after) return;
  LogEvent(LogLevel::kInfo, "target rate limit",
           {{"service", binding.announcement.target.service},
            {"instance", binding.announcement.instance},
            {"per_second", after},
            {"before", before}});
}

void TargetExecutor::Drain(const std::string &instance) {
  for (auto &[service, binding] : this->bindings) {
    if (binding.announcement.instance != instance) continue;
    binding.announcement.target.state = TargetState::kDraining;
    this->Perform(binding.admission->Close());
  }
  this->Report();
}

void TargetExecutor::UpdateColdStartLimits() {
  for (auto &[service, binding] : this->bindings) {
    binding.admission->SetColdStartLimit(
        this->cold_start_limits.LimitOf(service));
  }
}

void TargetExecutor::SetAvailability(TargetAvailability availability) {
  const TargetAvailability before =
      std::exchange(this->availability, availability);
  if (before == availability) return;
  for (auto &[service, binding] : this->bindings) {
    if (availability != TargetAvailability::kAvailable) {
      this->Perform(binding.admission->Close(Reason::kZoneWithdrawn));
      continue;
    }
    if (before == TargetAvailability::kWithdrawn) this->AssumeCold(binding);
  }
}

Reason TargetExecutor::RefusalReasonOf(const Binding &binding) const noexcept {
  if (this->availability != TargetAvailability::kAvailable)
    return Reason::kZoneWithdrawn;
  const bool drains =
      binding.announcement.target.state == TargetState::kDraining;
  return drains ? Reason::kLeaving : Reason::kNone;
}

void TargetExecutor::Report() {
  std::vector<Target> targets;
  for (const auto &[service, binding] : this->bindings) {
    targets.push_back(binding.announcement.target);
  }
  this->changed(std::move(targets));
}

std::size_t TargetExecutor::RunningCount() const noexcept {
  std::size_t count = 0;
  for (const auto &[service, binding] : this->bindings) {
    count += binding.admission->Running();
  }
  return count;
}

Duration TargetExecutor::ColdFor() const noexcept {
  Duration max_cold_for{0};
  for (const auto &[service, binding] : this->bindings) {
    max_cold_for = std::max(max_cold_for, binding.admission->ColdFor());
  }
  return max_cold_for;
}

bool TargetExecutor::IsServing(const std::string &service) const noexcept {
  // Calls may be queued, or running at a previous target.
  return std::any_of(this->calls.begin(), this->calls.end(),
                     [&service](const auto &entry) {
                       return entry.second.served.envelope.service == service;
                     });
}

void TargetExecutor::LogLoad() {
  const Time now = this->loop.GetClock().Now();
  if (now - this->load_logged < kLoadLogPeriod) return;
  this->load_logged = now;
  for (const auto &[service, binding] : this->bindings) {
    const Admission &admission = *binding.admission;
    const double level = admission.AdmissionLevelOf({});
    if (admission.Waiting() == 0 && level <= 0) continue;
    const QueueState state = admission.State();
    LogEvent(LogLevel::kInfo, "target load",
             {{"service", service},
              {"running", admission.Running()},
              {"waiting", admission.Waiting()},
              {"delay_ms", state.delay.count() / 1000},
              {"capacity_per_s", std::llround(state.capacity)},
              {"offered_per_s", std::llround(admission.OfferedPerSecond())},
              {"refuses_below", level}});
  }
}

std::vector<CapacityView> TargetExecutor::Capacities() const {
  std::vector<CapacityView> views;
  for (const auto &[service, binding] : this->bindings) {
    const TargetCapacity &capacity = binding.admission->Capacity();
    CapacityView view;
    view.service = service;
    view.announced = binding.announcement.target.slots;
    view.reported = capacity.ReportedSlots();
    view.limit = binding.admission->Limit();
    view.used = binding.admission->Running();
    view.learned = capacity.Active();
    view.slowness = capacity.Slowness();
    if (view.learned) view.age = capacity.Age();
    views.push_back(std::move(view));
  }
  return views;
}

void TargetExecutor::LogCapacity(Binding &binding) {
  const TargetCapacity &capacity = binding.admission->Capacity();
  if (!capacity.Active()) return;
  const Time now = this->loop.GetClock().Now();
  if (now - binding.capacity_logged < kCapacityLogPeriod) return;
  const double slowness = capacity.Slowness();
  const int limit = capacity.Limit();
  const bool slower = slowness > binding.logged_slowness * kLoggedChange;
  const bool faster = slowness * kLoggedChange < binding.logged_slowness;
  if (limit == binding.logged_limit && !slower && !faster) return;
  binding.capacity_logged = now;
  LogEvent(LogLevel::kInfo, "target capacity",
           {{"service", binding.announcement.target.service},
            {"instance", binding.announcement.instance},
            {"announced", binding.announcement.target.slots},
            {"limit", limit},
            {"before", binding.logged_limit},
            {"running", binding.admission->Running()},
            {"slowness_percent", std::llround(slowness * 100)}});
  binding.logged_limit = limit;
  binding.logged_slowness = slowness;
}

void TargetExecutor::Tick() {
  this->LogLoad();
  this->UpdateCallsPerRun();
  if (!this->waiting_trials.empty()) this->ReviewTrials();
  const Time now = this->loop.GetClock().Now();
  bool changed = false;
  for (auto &[service, binding] : this->bindings) {
    this->Perform(binding.admission->Tick());
    this->LogCapacity(binding);
    TargetState &state = binding.announcement.target.state;
    const bool warm = binding.admission->ColdFor() <= Duration{0};
    if (state == TargetState::kCold && binding.cold_end_known && warm) {
      binding.cold_end_known = false;
      state = TargetState::kWarm;
      changed = true;
    }
  }
  for (auto it = this->bindings.begin(); it != this->bindings.end();) {
    const bool expired = now - it->second.last_seen > kAnnouncementLifetime;
    if (!expired || this->IsServing(it->first)) {
      ++it;
      continue;
    }
    it = this->bindings.erase(it);
    changed = true;
  }
  if (changed) this->Report();
}

}  // namespace pollenring
