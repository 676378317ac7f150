#include <algorithm>

#include "pollenring/log/log.h"
#include "pollenring/net/connect_probe.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/target_executor.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

/*! @brief Time in which all connections of a process that has ended are found
 * closed. */
constexpr Duration kSettleTime = std::chrono::milliseconds{5};
/*! @brief Time before the last lost call within which others ended with it;
 * earlier ones had another cause. */
constexpr Duration kMaxEndSpread = std::chrono::milliseconds{50};
constexpr Duration kProbeTimeout = std::chrono::milliseconds{100};
/*! @brief Delay of replies to lost calls, in which the probe has its result: a
 * request sent again before would run as if nothing had happened. */
constexpr Duration kLostReplyDelay = 2 * kSettleTime;
/*! @brief Maximum number of suspects that wait for those that run. */
constexpr std::size_t kMaxWaitingTrials = 512;
/*! @brief While so many wait, one more of them runs at a time: the requests of
 * a target with hundreds of slots would miss their deadlines one by one. */
constexpr std::size_t kSuspectsPerTrial = 16;
/*! @brief Time after which a suspect that still runs does not hold up others.
 */
constexpr Duration kTrialTime = std::chrono::seconds{1};
/*! @brief Time for which lost calls are kept, as another instance may announce
 * itself that was up again before the probe. */
constexpr Duration kLostCallLifetime = std::chrono::seconds{5};

}  // namespace

void TargetExecutor::RecordLostCall(Binding &binding, Fingerprint fingerprint) {
  const Time now = this->loop.GetClock().Now();
  auto &lost = binding.lost_calls;
  lost.erase(std::remove_if(lost.begin(), lost.end(),
                            [now](const LostCall &call) {
                              return now - call.at > kLostCallLifetime;
                            }),
             lost.end());
  lost.push_back({fingerprint, now});
  if (std::exchange(binding.probing, true)) return;
  const Announcement &announcement = binding.announcement;
  this->loop.After(kSettleTime, [this, service = announcement.target.service,
                                 instance = announcement.instance] {
    this->ProbeTarget(service, instance);
  });
}

void TargetExecutor::RefuseLost(std::uint64_t id, Reason reason) {
  this->loop.After(kLostReplyDelay, [this, id, reason] {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) return;
    CallReply reply = Refusal(Outcome::kUnknown, reason,
                              WithJitter(kDefaultRetryAfter, this->random));
    reply.crash_reports =
        this->quarantine.ReportsOf(found->second.served.envelope.fingerprint);
    this->Finish(id, std::move(reply), {});
  });
}

bool TargetExecutor::HoldBack(const Call &call) {
  const std::uint64_t id = call.served.id;
  const Fingerprint fingerprint = call.served.envelope.fingerprint;
  const Standing standing = this->quarantine.StandingOf(fingerprint);
  if (standing == Standing::kNormal) return false;
  if (standing == Standing::kSuspect) {
    if (this->MayStartTrial()) {
      this->trials.emplace(id, this->loop.GetClock().Now());
      return false;
    }
    if (this->waiting_trials.size() < kMaxWaitingTrials) {
      this->waiting_trials.push_back(id);
      return true;
    }
  }
  this->metrics.Count("pollenring_quarantined_total",
                      {"standing", std::string{kStandingNames.Name(standing)}});
  CallReply reply = Refusal(Outcome::kNotRun, Reason::kQuarantined,
                            this->quarantine.BlockedFor(fingerprint) +
                                WithJitter(kDefaultRetryAfter, this->random));
  reply.crash_reports = this->quarantine.ReportsOf(fingerprint);
  this->Finish(id, std::move(reply), {});
  return true;
}

bool TargetExecutor::MayStartTrial() const {
  const Time now = this->loop.GetClock().Now();
  const auto running = std::count_if(
      this->trials.begin(), this->trials.end(),
      [now](const auto &trial) { return now - trial.second < kTrialTime; });
  const std::size_t allowed =
      1 + this->waiting_trials.size() / kSuspectsPerTrial;
  return static_cast<std::size_t>(running) < allowed;
}

void TargetExecutor::EndTrial(std::uint64_t id) {
  if (this->trials.erase(id) > 0) {
    if (!this->waiting_trials.empty())
      this->loop.Post([this] { this->ReviewTrials(); });
    return;
  }
  auto &waiting = this->waiting_trials;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
}

void TargetExecutor::ReviewTrials() {
  const Time now = this->loop.GetClock().Now();
  // Those that still have to wait queue up again.
  for (const std::uint64_t id : std::exchange(this->waiting_trials, {})) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) continue;
    const Call &call = found->second;
    if (call.served.deadline <= now) {
      this->Refuse(id, Outcome::kNotRun, Reason::kDeadline);
      continue;
    }
    const auto binding = this->bindings.find(call.served.envelope.service);
    if (binding == this->bindings.end()) {
      this->Refuse(id, Outcome::kNotRun, Reason::kNoTarget);
      continue;
    }
    if (this->HoldBack(call)) continue;
    this->Offer(binding->second, this->ToAdmission(call));
  }
}

void TargetExecutor::ProbeTarget(const std::string &service,
                                 const std::string &instance) {
  const auto find = [this, service, instance]() -> Binding * {
    const auto found = this->bindings.find(service);
    const bool same = found != this->bindings.end() &&
                      found->second.announcement.instance == instance;
    return same ? &found->second : nullptr;
  };
  const Binding *probed = find();
  if (probed == nullptr) return;
  ProbeConnect(this->loop, probed->announcement.address, kProbeTimeout,
               [this, find](ProbeResult result) {
                 Binding *binding = find();
                 if (binding == nullptr) return;
                 binding->probing = false;
                 if (result == ProbeResult::kRefused) this->RecordEnd(*binding);
               });
}

void TargetExecutor::RecordEnd(Binding &binding) {
  std::vector<LostCall> lost = std::exchange(binding.lost_calls, {});
  const Announcement &announcement = binding.announcement;
  // A target that leaves may end its last requests with itself.
  const bool draining = announcement.target.state == TargetState::kDraining;
  const Time now = this->loop.GetClock().Now();
  if (lost.empty() || draining) return;
  const Time end = lost.back().at;
  if (now - end > kLostCallLifetime) return;
  lost.erase(std::remove_if(lost.begin(), lost.end(),
                            [end](const LostCall &call) {
                              return end - call.at > kMaxEndSpread;
                            }),
             lost.end());
  std::vector<Fingerprint> running;
  running.reserve(lost.size());
  for (const LostCall &call : lost) running.push_back(call.fingerprint);
  this->quarantine.RecordCrash(std::move(running));
  this->metrics.Count("pollenring_target_crashes_total");
  LogEvent(LogLevel::kWarning, "target ended with requests",
           {{"service", announcement.target.service},
            {"instance", announcement.instance},
            {"requests", lost.size()},
            {"first", FormatFingerprint(lost.front().fingerprint)}});
}

}  // namespace pollenring
