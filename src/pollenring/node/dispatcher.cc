#include "pollenring/node/dispatcher.h"

#include <algorithm>
#include <utility>

#include "pollenring/core/invariant.h"
#include "pollenring/log/log.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/retry/backoff.h"
#include "pollenring/share/lender.h"

namespace pollenring {
namespace {

/*! @brief Other nodes tried after one that did not receive the call. */
constexpr int kMaxRedirects = 3;
constexpr int kFirstServerError = 500;
/*! @brief Pause before nodes that were tried are tried again. */
constexpr Duration kRetryPause = std::chrono::milliseconds{60};

[[nodiscard]] CallVerdict VerdictOf(const CallReply &reply) noexcept {
  switch (reply.reason) {
    case Reason::kTargetFailed:
    case Reason::kLinkLost:
    case Reason::kNoTarget:
      return CallVerdict::kFailed;
    case Reason::kDeadline:
      return reply.outcome == Outcome::kUnknown ? CallVerdict::kFailed
                                                : CallVerdict::kShed;
    case Reason::kOverload:
    case Reason::kWarmingUp:
    case Reason::kTargetLimited:
    case Reason::kZoneWithdrawn:
      return CallVerdict::kShed;
    case Reason::kTargetBusy:
      return CallVerdict::kFaulty;
    case Reason::kQuarantined:
      return CallVerdict::kAnswered;
    default:
      return reply.status >= kFirstServerError ? CallVerdict::kFaulty
                                               : CallVerdict::kAnswered;
  }
}

}  // namespace

Dispatcher::Dispatcher(NodeId self, Loop &loop, LinkClient &link,
                       PeerWire &wire, Router &router, TargetExecutor &executor,
                       Quarantine &quarantine, RetryBudget &budget,
                       const DispatchOptions &options, Random &random,
                       Metrics &metrics)
    : self{self},
      loop{loop},
      link{link},
      wire{wire},
      router{router},
      executor{executor},
      quarantine{quarantine},
      budget{budget},
      options{options},
      random{random},
      metrics{metrics} {}

std::uint64_t Dispatcher::Call(CallEnvelope envelope, std::string body,
                               CallBounds bounds, Done done) {
  const std::uint64_t id = ++this->last_id;
  Job &job = this->jobs[id];
  job.allowance = RetryAllowance{envelope.retries};
  job.root_started =
      this->loop.GetClock().Now() - Duration{envelope.root_age_us};
  job.soft_deadline =
      this->loop.GetClock().Now() + Duration{envelope.soft_deadline_us};
  job.envelope = std::move(envelope);
  job.body = std::move(body);
  job.bounds = std::move(bounds);
  job.redirects_left = kMaxRedirects;
  job.done = std::move(done);
  if (job.envelope.is_retry)
    this->budget.RecordRetriedCall(job.envelope.service);
  this->Attempt(id);
  return id;
}

void Dispatcher::Attempt(std::uint64_t id) {
  Job &job = this->jobs.at(id);
  if (this->IsWithdrawn(job)) {
    this->FinishNotRun(id, Reason::kLeaving);
    return;
  }
  const Duration jittered_retry_after =
      WithJitter(kDefaultRetryAfter, this->random);
  if (job.bounds.deadline <= this->loop.GetClock().Now()) {
    this->Finish(
        id, Refusal(Outcome::kNotRun, Reason::kDeadline, jittered_retry_after),
        {});
    return;
  }
  const Fingerprint fingerprint = job.envelope.fingerprint;
  const Standing standing = this->quarantine.StandingOf(fingerprint);
  if (standing == Standing::kBlocked) {
    const Duration blocked_for = this->quarantine.BlockedFor(fingerprint);
    this->Finish(id,
                 Refusal(Outcome::kNotRun, Reason::kQuarantined,
                         blocked_for + jittered_retry_after),
                 {});
    return;
  }
  const auto node = this->ChooseNode(job, standing);
  const bool has_targets = this->router.TargetCount(job.envelope.service) > 0;
  if (!node && has_targets && job.redirects_left > 0) {
    this->AttemptLater(id, job);
    return;
  }
  if (!node) {
    this->Finish(
        id, Refusal(Outcome::kNotRun, Reason::kNoTarget, jittered_retry_after),
        {});
    return;
  }
  const Duration since_charge =
      this->loop.GetClock().Now() - job.bounds.charged;
  if (job.bounds.renew && since_charge > kTransitAllowance) {
    this->ChargeAgain(id, job);
    return;
  }
  job.node = *node;
  job.slice = job.allowance.Slice();
  ++job.attempt;
  this->router.Started(job.envelope.service, job.node);
  this->Send(id, job);
}

std::optional<NodeId> Dispatcher::ChooseNode(const Job &job,
                                             Standing standing) {
  const CallEnvelope &envelope = job.envelope;
  if (standing == Standing::kSuspect) {
    // All nodes send it to one target, which runs few suspects at a time.
    const auto node = this->router.ChooseByKey(
        envelope.service, envelope.fingerprint, job.tried, envelope.regions);
    if (node) return node;
  }
  const Duration objective = job.soft_deadline - this->loop.GetClock().Now();
  return this->router.Choose(envelope.service, job.tried, envelope.regions,
                             {envelope.route, objective, job.body.size()});
}

void Dispatcher::AttemptLater(std::uint64_t id, Job &job) {
  // All that are left have been tried; a link to one may be coming up.
  --job.redirects_left;
  job.tried.clear();
  job.waiting = true;
  this->metrics.Count("pollenring_redirects_total");
  this->loop.After(kRetryPause, [this, id] {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) return;
    found->second.waiting = false;
    this->Attempt(id);
  });
}

void Dispatcher::ChargeAgain(std::uint64_t id, Job &job) {
  job.waiting = true;
  this->metrics.Count("pollenring_charges_renewed_total");
  // A refusal that comes at once ends the job, and the function within it.
  const RenewCharge renew = job.bounds.renew;
  renew([this, id](ChargeReply charge) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) return;
    if (!charge.granted) {
      this->Finish(
          id, Refusal(Outcome::kNotRun, charge.reason, charge.retry_after), {});
      return;
    }
    found->second.waiting = false;
    found->second.bounds.charged = this->loop.GetClock().Now();
    this->Attempt(id);
  });
}

void Dispatcher::Send(std::uint64_t id, Job &job) {
  const Time now = this->loop.GetClock().Now();
  const Duration remaining = job.bounds.deadline - now;
  job.sent = now;
  job.envelope.remaining_us = remaining.count();
  job.envelope.root_age_us = (now - job.root_started).count();
  job.envelope.soft_deadline_us = (job.soft_deadline - now).count();
  job.envelope.retries = job.slice;
  const std::uint64_t attempt = job.attempt;
  if (job.node == this->self) {
    job.call = this->executor.Serve(
        job.envelope, job.body,
        [this, id, attempt](CallReply reply, std::string body) {
          this->HandleReply(id, attempt, std::move(reply), std::move(body));
        });
    return;
  }
  job.request_version = this->wire.versions.Of(job.node).value_or(kCommonWire);
  job.call = this->link.Call(
      AddressOf(job.node), "call",
      Frame(job.envelope, job.body, job.request_version),
      remaining + kReplySlack, [this, id, attempt](LinkClient::Reply reply) {
        this->HandleLinkReply(id, attempt, std::move(reply));
      });
}

void Dispatcher::HandleLinkReply(std::uint64_t id, std::uint64_t attempt,
                                 LinkClient::Reply reply) {
  if (const auto *error = std::get_if<LinkError>(&reply)) {
    const bool not_sent = *error == LinkError::kNotSent;
    const bool timed_out = *error == LinkError::kTimedOut;
    this->FailAttempt(id, attempt,
                      not_sent ? Outcome::kNotRun : Outcome::kUnknown,
                      timed_out ? Reason::kDeadline : Reason::kLinkLost);
    return;
  }
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return;
  Job &job = found->second;
  auto &text = std::get<std::string>(reply);
  const std::size_t bytes = text.size();
  auto framed = Unframe<CallReply>(std::move(text));
  if (!framed) {
    this->wire.NoteUnreadable(job.node, "call-reply", bytes);
    this->FailAttempt(id, attempt, Outcome::kUnknown, Reason::kLinkLost);
    return;
  }
  if (this->HandleVersionMismatch(job, framed->head, framed->version)) {
    this->Send(id, job);
    return;
  }
  this->HandleReply(id, attempt, std::move(framed->head),
                    std::move(framed->body));
}

bool Dispatcher::HandleVersionMismatch(Job &job, const CallReply &reply,
                                       WireVersion version) {
  // Nodes reply in the wire version of the call unless they can't decode it.
  const bool mismatch = version != job.request_version &&
                        reply.outcome == Outcome::kNotRun &&
                        reply.reason == Reason::kLinkLost;
  if (!mismatch || job.redirects_left == 0) return false;
  if (this->IsWithdrawn(job)) return false;
  --job.redirects_left;
  this->wire.versions.DecodeFailed(job.node, version);
  return true;
}

void Dispatcher::FailAttempt(std::uint64_t id, std::uint64_t attempt,
                             Outcome outcome, Reason reason) {
  CallReply reply =
      Refusal(outcome, reason, WithJitter(kDefaultRetryAfter, this->random));
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return;
  // A slice that is never reported back counts as spent.
  const bool not_executed = outcome == Outcome::kNotRun;
  reply.retries_unspent = not_executed ? found->second.slice : 0;
  this->HandleReply(id, attempt, std::move(reply), {});
}

void Dispatcher::HandleReply(std::uint64_t id, std::uint64_t attempt,
                             CallReply reply, std::string body) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return;
  Job &job = found->second;
  Require(job.attempt == attempt, "a reply belongs to the latest attempt");
  const bool has_load = reply.load.limit > 0;
  std::optional<LoadReport> load;
  if (has_load) load = reply.load;
  const Duration latency = reply.outcome == Outcome::kRan
                               ? this->loop.GetClock().Now() - job.sent
                               : Duration{0};
  this->router.Finished(job.envelope.service, job.node, VerdictOf(reply), load,
                        latency, job.envelope.route);
  this->LogEjectionChanges();
  reply.served_by = job.node;
  this->quarantine.Learn(reply.crash_reports);
  job.allowance.Return(job.slice,
                       std::clamp(reply.retries_unspent, 0, job.slice));
  for (auto &entry : reply.levels) {
    if (!entry.service.empty()) continue;
    entry.service = job.envelope.service;
    entry.node = job.node;
  }
  const bool ran = reply.outcome == Outcome::kRan;
  this->RecordForRetries(job, reply);
  if (reply.outcome != Outcome::kNotRun) --job.bounds.targets;
  job.may_have_run = job.may_have_run || reply.outcome == Outcome::kUnknown;
  if (this->ShouldRetry(job, reply)) {
    job.tried.push_back(job.node);
    if (ran) {
      job.target_failure = std::move(reply);
      job.target_failure_body = std::move(body);
    }
    this->Attempt(id);
    return;
  }
  this->Finish(id, std::move(reply), std::move(body));
}

void Dispatcher::Finish(std::uint64_t id, CallReply reply, std::string body) {
  const auto found = this->jobs.find(id);
  if (reply.outcome != Outcome::kRan && found->second.target_failure) {
    reply = std::move(*found->second.target_failure);
    body = std::move(found->second.target_failure_body);
  }
  reply.retries_unspent = found->second.allowance.Left();
  // An earlier attempt may have reached a target though the last did not.
  const bool hides_run =
      reply.outcome == Outcome::kNotRun && found->second.may_have_run;
  if (hides_run) reply.outcome = Outcome::kUnknown;
  Done done = std::move(found->second.done);
  this->jobs.erase(found);
  this->loop.Post([done = std::move(done), reply = std::move(reply),
                   body = std::move(body)]() mutable {
    done(std::move(reply), std::move(body));
  });
}

bool Dispatcher::Cancel(std::uint64_t id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return false;
  const Job &job = found->second;
  if (job.waiting) {
    this->jobs.erase(found);
    return true;
  }
  if (job.node == this->self) {
    this->executor.CallerDisconnected(job.call);
  } else {
    this->link.Cancel(job.call);
  }
  this->router.Finished(job.envelope.service, job.node, CallVerdict::kAnswered,
                        std::nullopt);
  this->jobs.erase(found);
  return true;
}

}  // namespace pollenring
