#include <chrono>
#include <cmath>

#include "pollenring/node/target_executor.h"

namespace pollenring {
namespace {

/*! @brief Maximum levels of other targets forwarded with a reply; some 25 bytes
 * each, and none while nothing sheds. */
constexpr std::size_t kMaxReplyLevels = 16;
/*! @brief Minimum fraction of a route's calls from another route for it to
 * count as a caller; estimates from a few hundred calls err by half of it. */
constexpr double kMinCallerFraction = 0.15;
/*! @brief Maximum call path reports of other routes forwarded with a reply;
 * some 25 bytes each, and none while nothing sheds. */
constexpr std::size_t kMaxReplyCallPathReports = 8;
/*! @brief Maximum reports of failing services sent with a reply. */
constexpr std::size_t kMaxReplyFailures = 8;
constexpr int kFirstServerError = 500;

}  // namespace

void TargetExecutor::RecordError(const std::string &service, CallError error) {
  // A target whose calls fail responds late as well.
  const bool late = error == CallError::kTimedOut;
  if (late && !this->MakesNoCalls()) return;
  this->levels.Completion().RecordResult(service, true);
}

void TargetExecutor::RecordVerdict(const std::string &service,
                                   const TargetVerdict &verdict, int status) {
  // Another instance at this address is no failure; routing finds it.
  if (verdict.reason == Reason::kNoTarget) return;
  // A target whose calls fail responds with errors. Counted as failures of its
  // own, they would refuse kinds that make no such calls.
  const bool own_error = status >= kFirstServerError && this->MakesNoCalls();
  const bool failed = verdict.reason != Reason::kNone || own_error;
  this->levels.Completion().RecordResult(service, failed);
}

bool TargetExecutor::MakesNoCalls() const {
  return this->calls_per_run.MakesNoCalls(this->loop.GetClock().Now());
}

void TargetExecutor::RecordTargetCall(const std::string &callee) {
  this->calls_per_run.RecordCall(callee, this->loop.GetClock().Now());
}

void TargetExecutor::SetRetriedFrom(const std::string &service,
                                    double priority) {
  this->levels.Completion().SetRetriedFrom(service, priority);
}

void TargetExecutor::UpdateCallsPerRun() {
  CompletionChance &completion = this->levels.Completion();
  const bool changed = this->calls_per_run.Tick(this->parents.Attribution(),
                                                completion.AnyFailing(),
                                                this->loop.GetClock().Now());
  if (!changed) return;
  completion.SetMakesNoCalls(this->MakesNoCalls());
  for (const auto &kind : this->calls_per_run.Kinds()) {
    completion.SetCallees(kind, this->calls_per_run.Of(kind));
  }
}

void TargetExecutor::AttachLoad(const ServedCall &served, CallReply &reply) {
  const CallEnvelope &envelope = served.envelope;
  reply.levels = this->levels.Shedding(envelope.workspace, envelope.route,
                                       kMaxReplyLevels);
  reply.call_path_reports =
      this->levels.CallPathReports(kMaxReplyCallPathReports);
  reply.failures = this->levels.Completion().Reports(
      envelope.service, envelope.route, kMaxReplyFailures);
  const auto found = this->bindings.find(envelope.service);
  if (found == this->bindings.end()) return;
  const Admission &admission = *found->second.admission;
  reply.load = admission.Report(envelope.route);
  reply.load.cold_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(admission.ColdFor())
          .count());
  const double level = admission.AdmissionLevelOf(envelope.workspace);
  reply.levels.push_back(
      {{},
       0,
       static_cast<std::int32_t>(level * kLevelScale),
       static_cast<std::int32_t>(admission.OfferedPerSecond()),
       0,
       true});
}

void TargetExecutor::LearnFrom(const std::string &callee,
                               const std::string &workspace,
                               const std::vector<AdmissionLevel> &levels) {
  // A parent is mostly a guess; which routes make such calls is known better.
  for (const auto &route :
       this->parents.Attribution().CallersOf(callee, kMinCallerFraction)) {
    this->levels.LearnFromSubCall(workspace, route, levels);
  }
}

}  // namespace pollenring
