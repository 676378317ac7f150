#include "pollenring/admission/shed_levels.h"
#include "pollenring/core/invariant.h"
#include "pollenring/log/log.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr int kFirstServerError = 500;

/*! @brief Whether no target has spent anything on the call. */
[[nodiscard]] bool ConsumedNothing(const CallReply &reply) noexcept {
  if (reply.outcome != Outcome::kNotRun) return false;
  return reply.reason == Reason::kLinkLost ||
         reply.reason == Reason::kNoTarget ||
         reply.reason == Reason::kTargetFailed ||
         reply.reason == Reason::kLeaving ||
         reply.reason == Reason::kWarmingUp ||
         reply.reason == Reason::kTargetLimited ||
         reply.reason == Reason::kZoneWithdrawn;
}

}  // namespace

void Dispatcher::RecordForRetries(const Job &job, CallReply &reply) {
  const std::string &service = job.envelope.service;
  for (auto &report : reply.failures) {
    if (!report.service.empty()) continue;
    report.service = service;
    report.target = job.node;
    this->budget.SetMakesNoCalls(service, report.makes_no_calls);
  }
  if (job.envelope.is_retry) return;
  const bool answered = reply.outcome == Outcome::kRan;
  const bool rejected =
      reply.outcome == Outcome::kNotRun && reply.reason == Reason::kTargetBusy;
  if (answered || rejected) this->budget.RecordFirstCall(service, answered);
}

void Dispatcher::LogEjectionChanges() {
  for (const auto &change : this->router.TakeChanges()) {
    this->metrics.Count("pollenring_set_aside_total",
                        {"change", change.ejected ? "aside" : "again"});
    if (!MayLogRequest(LogLevel::kWarning)) continue;
    LogEvent(LogLevel::kWarning,
             change.ejected ? "target set aside" : "target used again",
             {{"service", change.service},
              {"node", AddressOf(change.node).Format()},
              {"failures_in_row", change.failures},
              {"pause_ms", change.retry_in.count() / 1000}});
  }
}

bool Dispatcher::ShouldRetry(Job &job, const CallReply &reply) {
  if (this->IsWithdrawn(job)) return false;
  if (reply.outcome == Outcome::kRan) {
    const bool failed = this->options.retries_failures &&
                        job.envelope.idempotent &&
                        reply.status >= kFirstServerError;
    return failed && this->SpendRetry(job);
  }
  const bool safe =
      reply.outcome == Outcome::kNotRun || job.envelope.idempotent;
  if (!safe) return false;
  // If all targets are cold, another one is under the same limit.
  const bool all_cold = reply.reason == Reason::kWarmingUp &&
                        !this->router.HasWarmTarget(job.envelope.service);
  if (all_cold) return false;
  if (ConsumedNothing(reply) && job.redirects_left > 0) {
    --job.redirects_left;
    this->metrics.Count("pollenring_redirects_total");
    return true;
  }
  const bool transient = reply.reason == Reason::kOverload ||
                         reply.reason == Reason::kTargetBusy ||
                         reply.reason == Reason::kLinkLost ||
                         reply.reason == Reason::kTargetFailed ||
                         reply.reason == Reason::kNoTarget;
  return transient && this->SpendRetry(job);
}

bool Dispatcher::SpendRetry(Job &job) {
  if (job.bounds.targets <= 0) return false;
  if (job.allowance.Left() == 0) return false;
  const CallEnvelope &envelope = job.envelope;
  const double priority =
      PriorityOf(envelope.importance, envelope.sub_priority);
  const bool allowed = this->budget.Spend(envelope.service, priority);
  this->executor.SetRetriedFrom(envelope.service,
                                this->budget.RetriedFrom(envelope.service));
  if (!allowed) return false;
  const bool spent = job.allowance.Spend();
  Require(spent, "a retry spends the allowance of its request");
  job.envelope.is_retry = true;
  this->metrics.Count("pollenring_retries_total");
  return true;
}

void Dispatcher::Withdraw() {
  this->withdrawn = true;
  std::vector<std::uint64_t> ids;
  ids.reserve(this->jobs.size());
  for (const auto &[id, job] : this->jobs) ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const Job &job = this->jobs.at(id);
    if (!this->IsWithdrawn(job)) continue;
    if (job.waiting) {
      this->FinishNotRun(id, Reason::kLeaving);
    } else if (job.node == this->self) {
      this->executor.Withdraw(job.call);
    } else {
      this->link.Withdraw(job.call);
    }
  }
}

bool Dispatcher::IsWithdrawn(const Job &job) const noexcept {
  return this->withdrawn && job.envelope.depth == 0;
}

void Dispatcher::FinishNotRun(std::uint64_t id, Reason reason) {
  this->Finish(id,
               Refusal(Outcome::kNotRun, reason,
                       WithJitter(kDefaultRetryAfter, this->random)),
               {});
}

}  // namespace pollenring
