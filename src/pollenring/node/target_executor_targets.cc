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
/*! @brief Maximum delivery delay of an announcement that was sent before a
 * sign of a restart. */
constexpr Duration kBeatUnderWay = std::chrono::milliseconds{300};

}  // namespace

void TargetExecutor::Announce(const Announcement &announcement) {
  const std::string &service = announcement.target.service;
  auto found = this->bindings.find(service);
  const bool fresh =
      found == this->bindings.end() ||
      !(found->second.announcement.address == announcement.address) ||
      found->second.announcement.instance != announcement.instance;
  std::vector<AdmissionRequest> waiting;
  if (fresh) {
    if (found != this->bindings.end()) {
      waiting = found->second.admission->TakeWaiting();
    }
    Binding binding;
    binding.admission = std::make_unique<Admission>(
        announcement.target.slots, this->options, this->loop.GetClock());
    found = this->bindings.insert_or_assign(service, std::move(binding)).first;
  }
  found->second.announcement = announcement;
  found->second.last_seen = this->loop.GetClock().Now();
  this->TakeColdness(found->second);
  // Requests queued for the previous target have not run anywhere.
  for (const auto &ticket : waiting) this->Offer(found->second, ticket);
  if (announcement.target.state == TargetState::kDraining) {
    this->Perform(found->second.admission->Close());
  }
  this->Report();
}

void TargetExecutor::Offer(Binding &binding, const AdmissionRequest &ticket) {
  const Reason refused = RefusalOf(binding);
  if (refused != Reason::kNone) {
    this->Refuse(ticket.id, Outcome::kNotRun, refused);
    return;
  }
  this->Perform(binding.admission->Offer(ticket));
}

void TargetExecutor::TakeColdness(Binding &binding) {
  const Time now = this->loop.GetClock().Now();
  const std::string &service = binding.announcement.target.service;
  binding.admission->SetColdStartLimit(this->cold_bounds.LimitOf(service));
  const Duration cold_for = binding.announcement.cold_for;
  // This announcement may have been sent before the restart.
  const bool recent = binding.suspected_cold != Time{} &&
                      now - binding.suspected_cold < kBeatUnderWay;
  TargetState &state = binding.announcement.target.state;
  if (recent && cold_for < binding.admission->ColdFor()) {
    if (state == TargetState::kWarm) state = TargetState::kCold;
    return;
  }
  binding.cold_timed = cold_for > Duration{0};
  binding.admission->SetColdUntil(now + cold_for);
}

void TargetExecutor::SuspectCold(Binding &binding) {
  const Time now = this->loop.GetClock().Now();
  const std::string &service = binding.announcement.target.service;
  const Duration cold_for = this->cold_bounds.ColdAfterStart(service);
  binding.suspected_cold = now;
  const bool news = binding.admission->ColdFor() <= Duration{0};
  if (cold_for <= binding.admission->ColdFor()) return;
  binding.admission->SetColdStartLimit(this->cold_bounds.LimitOf(service));
  binding.admission->SetColdUntil(now + cold_for);
  binding.cold_timed = true;
  TargetState &state = binding.announcement.target.state;
  if (state == TargetState::kWarm) state = TargetState::kCold;
  if (!news) return;
  LogEvent(LogLevel::kInfo, "target taken as cold",
           {{"service", service},
            {"instance", binding.announcement.instance},
            {"cold_ms", cold_for.count() / 1000}});
  this->Report();
}

void TargetExecutor::Drain(const std::string &instance) {
  for (auto &[service, binding] : this->bindings) {
    if (binding.announcement.instance != instance) continue;
    binding.announcement.target.state = TargetState::kDraining;
    this->Perform(binding.admission->Close());
  }
  this->Report();
}

void TargetExecutor::FollowColdStartLimits() {
  for (auto &[service, binding] : this->bindings) {
    binding.admission->SetColdStartLimit(this->cold_bounds.LimitOf(service));
  }
}

void TargetExecutor::SetUse(TargetAvailability given) {
  const TargetAvailability before = std::exchange(this->use, given);
  if (before == given) return;
  for (auto &[service, binding] : this->bindings) {
    if (given != TargetAvailability::kAvailable) {
      this->Perform(binding.admission->Close(Reason::kZoneWithdrawn));
      continue;
    }
    if (before == TargetAvailability::kWithdrawn) this->SuspectCold(binding);
  }
}

Reason TargetExecutor::RefusalOf(const Binding &binding) const noexcept {
  if (this->use != TargetAvailability::kAvailable)
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
  Duration longest{0};
  for (const auto &[service, binding] : this->bindings) {
    longest = std::max(longest, binding.admission->ColdFor());
  }
  return longest;
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
    LogEvent(LogLevel::kInfo, "target busy",
             {{"service", service},
              {"running", admission.Running()},
              {"waiting", admission.Waiting()},
              {"delay_ms", state.delay.count() / 1000},
              {"capacity_per_s", std::llround(state.capacity)},
              {"offered_per_s", std::llround(admission.OfferedPerSecond())},
              {"refuses_below", level}});
  }
}

void TargetExecutor::Tick() {
  this->LogLoad();
  const Time now = this->loop.GetClock().Now();
  bool changed = false;
  for (auto &[service, binding] : this->bindings) {
    this->Perform(binding.admission->Tick());
    TargetState &state = binding.announcement.target.state;
    const bool warm = binding.admission->ColdFor() <= Duration{0};
    if (state == TargetState::kCold && binding.cold_timed && warm) {
      binding.cold_timed = false;
      state = TargetState::kWarm;
      changed = true;
    }
  }
  for (auto it = this->bindings.begin(); it != this->bindings.end();) {
    const bool silent = now - it->second.last_seen > kAnnouncementLifetime;
    if (!silent || this->IsServing(it->first)) {
      ++it;
      continue;
    }
    it = this->bindings.erase(it);
    changed = true;
  }
  if (changed) this->Report();
}

}  // namespace pollenring
