#include <chrono>
#include <string>

#include "pollenring/log/log.h"
#include "pollenring/mesh/outbound_entry.h"

namespace pollenring {
namespace {

constexpr int kFirstErrorStatus = 400;

}  // namespace

void Outbound::LogChanceChanges() {
  for (const auto &change : this->parts.levels.Completion().TakeChanges()) {
    if (!MayLogRequest(LogLevel::kWarning)) continue;
    LogEvent(LogLevel::kWarning,
             change.refusing ? "roots refused without a chance"
                             : "roots admitted again",
             {{"route", change.route},
              {"failing", change.service},
              {"chance", change.chance},
              {"refused", change.refused}});
  }
}

void Outbound::RecordDisconnect(const Entry &entry, CallerDisconnect disconnect,
                                bool forwarded) {
  const std::string cause{kCallerDisconnectNames.Name(disconnect)};
  this->parts.metrics.Count("pollenring_gone_callers_total", {"cause", cause});
  if (!MayLogRequest(LogLevel::kWarning)) return;
  const Duration elapsed = this->loop.GetClock().Now() - entry.started;
  LogEvent(
      LogLevel::kWarning, "caller gone",
      {{"id", entry.id},
       {"route", entry.route},
       {"service", entry.service},
       {"cause", cause},
       {"passed_on", forwarded},
       {"took_ms", elapsed.count() / 1000},
       {"left_ms", (entry.deadline - entry.started - elapsed).count() / 1000}});
}

void Outbound::RecordResult(const Entry &entry, const CallReply &reply) {
  Metrics &metrics = this->parts.metrics;
  const Duration elapsed = this->loop.GetClock().Now() - entry.started;
  metrics.Observe("pollenring_request_seconds",
                  std::chrono::duration<double>{elapsed}.count());
  metrics.Count("pollenring_outcomes_total",
                {"outcome", std::string{kOutcomeNames.Name(reply.outcome)}});
  if (reply.reason != Reason::kNone) {
    metrics.Count("pollenring_refusals_total",
                  {"reason", std::string{kReasonNames.Name(reply.reason)}});
  }
  const bool failed = reply.status >= kFirstErrorStatus;
  const LogLevel level = failed ? LogLevel::kWarning : LogLevel::kInfo;
  if (!MayLogRequest(level)) return;
  LogEvent(
      level, "request",
      {{"id", entry.id},
       {"parent", entry.parent_id},
       {"route", entry.route},
       {"service", entry.service},
       {"node", reply.served_by == 0 ? std::string{}
                                     : AddressOf(reply.served_by).Format()},
       {"workspace", entry.workspace},
       {"fingerprint", FormatFingerprint(entry.fingerprint)},
       {"status", reply.status},
       {"outcome", kOutcomeNames.Name(reply.outcome)},
       {"reason", kReasonNames.Name(reply.reason)},
       {"took_ms", elapsed.count() / 1000},
       {"left_ms", (entry.deadline - entry.started - elapsed).count() / 1000},
       {"version", entry.version},
       {"priority", entry.priority},
       {"shedding", entry.refusing_level.service},
       {"refuses_below", entry.refusing_level.level},
       {"heard_ms_ago", entry.refusing_level.age.count() / 1000},
       {"failing", entry.chance.service},
       {"chance", entry.chance.chance},
       {"retry_after_ms", reply.retry_after_us / 1000}});
}

}  // namespace pollenring
