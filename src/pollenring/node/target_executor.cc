#include "pollenring/node/target_executor.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenring/core/hash.h"
#include "pollenring/log/log.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/request_identity.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

/*! @brief Mean delay of retries after a target is warm. */
constexpr Duration kRetryAfterWarm = std::chrono::milliseconds{100};
constexpr std::size_t kContextBytes = 16;
constexpr int kFirstClientError = 400;

}  // namespace

void ServedCall::BeginSubCall(Time now) noexcept {
  if (this->sub_calls++ == 0) this->sub_calls_since = now;
}

void ServedCall::EndSubCall(Time now) noexcept {
  if (--this->sub_calls > 0) return;
  this->time_in_sub_calls += now - this->sub_calls_since;
}

TargetExecutor::TargetExecutor(Loop &loop, HttpClient &client,
                               const TargetCodec &codec,
                               const AdmissionOptions &options,
                               const ColdStartLimits &cold_start_limits,
                               const RequestFingerprinter &fingerprints,
                               Quarantine &quarantine, DownstreamLevels &levels,
                               Random &random, Metrics &metrics,
                               TargetsChanged changed, TargetLeaves leaves)
    : loop{loop},
      client{client},
      codec{codec},
      options{options},
      cold_start_limits{cold_start_limits},
      fingerprints{fingerprints},
      quarantine{quarantine},
      levels{levels},
      random{random},
      metrics{metrics},
      changed{std::move(changed)},
      leaves{std::move(leaves)},
      parents{random, loop.GetClock().Now()},
      calls_per_run{loop.GetClock().Now()} {}

std::uint64_t TargetExecutor::Serve(CallEnvelope envelope, std::string body,
                                    Done done) {
  const std::uint64_t id = ++this->last_id;
  const Time now = this->loop.GetClock().Now();
  Call &call = this->calls[id];
  call.served.id = id;
  call.served.deadline = now + Duration{envelope.remaining_us};
  call.served.root_started = now - Duration{envelope.root_age_us};
  call.served.allowance = RetryAllowance{envelope.retries};
  call.soft_deadline = now + Duration{envelope.soft_deadline_us};
  if (envelope.fingerprint == 0)
    envelope.fingerprint = this->fingerprints.Of(IdentityOf(envelope, body));
  call.served.envelope = std::move(envelope);
  call.body = std::move(body);
  call.done = std::move(done);
  const CallEnvelope &stored = call.served.envelope;
  const auto found = this->bindings.find(stored.service);
  if (found == this->bindings.end()) {
    this->Refuse(id, Outcome::kNotRun, Reason::kNoTarget);
    return id;
  }
  if (this->HoldBack(call)) return id;
  this->Offer(found->second, this->ToAdmission(call));
  return id;
}

AdmissionRequest TargetExecutor::ToAdmission(const Call &call) const {
  const CallEnvelope &envelope = call.served.envelope;
  AdmissionRequest request;
  request.id = call.served.id;
  request.importance = envelope.importance;
  request.sub_priority = envelope.sub_priority;
  request.weight = envelope.weight;
  request.depth = envelope.depth;
  request.root_started = call.served.root_started;
  request.workspace = envelope.workspace;
  request.deadline = call.served.deadline;
  request.soft_deadline = call.soft_deadline;
  return request;
}

void TargetExecutor::Perform(const AdmissionActions &actions) {
  for (const auto &shed : actions.shed) {
    this->metrics.Count(
        "pollenring_shed_total",
        {"reason", std::string{kReasonNames.Name(shed.reason)}});
    if (shed.reason == Reason::kWarmingUp) {
      this->RefuseUntilWarm(shed.id);
      continue;
    }
    this->Refuse(shed.id, Outcome::kNotRun, shed.reason);
  }
  for (const std::uint64_t id : actions.start) {
    const bool started =
        this->loop.Contain("call of a target", [this, id] { this->Start(id); });
    // Its slot goes to another, which may not start within this one.
    if (!started) this->loop.Post([this, id] { this->Fail(id); });
  }
}

void TargetExecutor::Start(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  Call &call = found->second;
  call.running = true;
  call.served.context = RandomHex(kContextBytes);
  this->contexts.emplace(call.served.context, id);
  const Time now = this->loop.GetClock().Now();
  call.sent = now;
  const Duration remaining = call.served.deadline - now;
  // Targets receive whole milliseconds.
  const auto rounded = std::chrono::floor<std::chrono::milliseconds>(remaining);
  this->parents.Add(id, call.served.envelope.route, now + rounded, now);
  const Binding &binding = this->bindings.at(call.served.envelope.service);
  call.http = this->client.Call(
      binding.announcement.address,
      this->ToRequest(call, binding.announcement.instance), remaining,
      [this, id](HttpClient::Reply reply) {
        const bool handled = this->loop.Contain("response of a target", [&] {
          this->HandleResponse(id, std::move(reply));
        });
        if (!handled) this->Fail(id);
      },
      this->codec.CorrelationHeaderOf(call.served.envelope));
}

HttpRequest TargetExecutor::ToRequest(Call &call,
                                      const std::string &instance) const {
  const CallEnvelope &envelope = call.served.envelope;
  HttpRequest request;
  request.method = envelope.method;
  request.path = envelope.path;
  request.host = envelope.host;
  for (const auto &header : envelope.headers) {
    request.headers.push_back({header.name, header.value});
  }
  const Duration remaining = call.served.deadline - this->loop.GetClock().Now();
  this->codec.AddHeaders({envelope, call.served.context, instance, remaining},
                         request);
  request.body = std::move(call.body);
  return request;
}

void TargetExecutor::HandleResponse(std::uint64_t id, HttpClient::Reply reply) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const std::string service = found->second.served.envelope.service;
  Admission &admission = *this->bindings.at(service).admission;
  if (const auto *error = std::get_if<CallError>(&reply)) {
    const bool timed_out = *error == CallError::kTimedOut;
    const Reason reason = timed_out ? Reason::kDeadline : Reason::kTargetFailed;
    const bool connect_refused = *error == CallError::kConnectRefused;
    const bool not_sent = connect_refused || *error == CallError::kNotConnected;
    if (not_sent) admission.RecordRejected(id);
    Binding &binding = this->bindings.at(service);
    // Its process has ended; the next one at this address starts cold.
    if (connect_refused) this->AssumeCold(binding);
    const bool lost = *error == CallError::kInvalidResponse;
    if (lost) {
      this->RecordLostCall(binding, found->second.served.envelope.fingerprint);
    }
    this->RecordError(service, *error);
    const AdmissionActions next = admission.Cancel(id);
    const SubCallCancels cancels =
        std::exchange(found->second.served.sub_call_cancels, {});
    if (lost) {
      this->RefuseLost(id, reason);
    } else {
      this->Refuse(id, not_sent ? Outcome::kNotRun : Outcome::kUnknown, reason);
    }
    this->Perform(next);
    this->CancelSubCalls(cancels);
    return;
  }
  auto &response = std::get<HttpResponse>(reply);
  const ResponseSignals signals =
      this->codec.Read(found->second.served.envelope, response);
  this->RecordTargetState(this->bindings.at(service), signals,
                          found->second.sent);
  const TargetVerdict verdict = ClassifyResponse(signals, response.status);
  this->RecordVerdict(service, verdict, response.status);
  if (verdict.outcome == Outcome::kNotRun &&
      verdict.reason == Reason::kNoTarget) {
    admission.RecordRejected(id);
  }
  CallReply call_reply;
  call_reply.outcome = verdict.outcome;
  call_reply.status = response.status;
  // May throw, so it comes first: an error after Finish would lose the requests
  // that start next.
  call_reply.headers = this->codec.ForwardableResponseHeaders(response.headers);
  // The time of a failure says nothing about the target's speed.
  const bool served =
      verdict.outcome == Outcome::kRan && response.status < kFirstClientError;
  const AdmissionActions next = admission.Finish(
      id, found->second.served.time_in_sub_calls, verdict.shed,
      served ? std::string_view{found->second.served.envelope.route}
             : std::string_view{});
  if (verdict.reason != Reason::kNone) {
    this->Refuse(id, verdict.outcome, verdict.reason);
    this->Perform(next);
    return;
  }
  if (verdict.outcome == Outcome::kRan) {
    this->quarantine.RecordCompletion(
        found->second.served.envelope.fingerprint);
  }
  this->Finish(id, std::move(call_reply), std::move(response.body));
  this->Perform(next);
}

void TargetExecutor::Fail(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const auto binding =
      this->bindings.find(found->second.served.envelope.service);
  const SubCallCancels cancels =
      std::exchange(found->second.served.sub_call_cancels, {});
  this->Refuse(id, Outcome::kUnknown, Reason::kTargetFailed);
  if (binding != this->bindings.end()) {
    this->Perform(binding->second.admission->Cancel(id));
  }
  this->CancelSubCalls(cancels);
}

void TargetExecutor::Refuse(std::uint64_t id, Outcome outcome, Reason reason) {
  this->Refuse(id, outcome, reason,
               WithJitter(kDefaultRetryAfter, this->random));
}

void TargetExecutor::Refuse(std::uint64_t id, Outcome outcome, Reason reason,
                            Duration jittered_retry_after) {
  this->Finish(id, Refusal(outcome, reason, jittered_retry_after), {});
}

void TargetExecutor::RefuseUntilWarm(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const auto binding =
      this->bindings.find(found->second.served.envelope.service);
  const Duration cold_for = binding == this->bindings.end()
                                ? Duration{0}
                                : binding->second.admission->ColdFor();
  const Duration spread = WithJitter(kRetryAfterWarm, this->random);
  this->Refuse(id, Outcome::kNotRun, Reason::kWarmingUp, cold_for + spread);
}

void TargetExecutor::Finish(std::uint64_t id, CallReply reply,
                            std::string body) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  ServedCall &served = found->second.served;
  reply.retries_unspent = served.allowance.Left();
  this->levels.RecordCompleted(served.envelope.route);
  if (reply.outcome == Outcome::kRan)
    this->calls_per_run.RecordRun(served.envelope.route);
  this->AttachLoad(served, reply);
  this->contexts.erase(served.context);
  this->parents.Remove(id, this->loop.GetClock().Now());
  Done done = std::move(found->second.done);
  this->calls.erase(found);
  this->EndTrial(id);
  this->loop.Post([done = std::move(done), reply = std::move(reply),
                   body = std::move(body)]() mutable {
    done(std::move(reply), std::move(body));
  });
}

void TargetExecutor::Cancel(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const std::string service = found->second.served.envelope.service;
  if (found->second.running) this->client.Cancel(found->second.http);
  const SubCallCancels cancels =
      std::exchange(found->second.served.sub_call_cancels, {});
  this->contexts.erase(found->second.served.context);
  this->parents.Remove(id, this->loop.GetClock().Now());
  this->calls.erase(found);
  this->EndTrial(id);
  const auto binding = this->bindings.find(service);
  if (binding != this->bindings.end()) {
    this->Perform(binding->second.admission->Cancel(id));
  }
  this->CancelSubCalls(cancels);
}

void TargetExecutor::CallerDisconnected(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const bool not_idempotent = !found->second.served.envelope.idempotent;
  if (not_idempotent && found->second.running) return;
  this->Cancel(id);
}

void TargetExecutor::Withdraw(std::uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || found->second.running) return;
  const auto binding =
      this->bindings.find(found->second.served.envelope.service);
  AdmissionActions next;
  if (binding != this->bindings.end())
    next = binding->second.admission->Cancel(id);
  this->Refuse(id, Outcome::kNotRun, Reason::kLeaving);
  this->Perform(next);
}

void TargetExecutor::WithdrawAll() {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->calls.size());
  for (const auto &[id, call] : this->calls) ids.push_back(id);
  for (const std::uint64_t id : ids) this->Withdraw(id);
}

void TargetExecutor::CancelSubCalls(const SubCallCancels &cancels) {
  // Sub-calls of a cancelled call are of no use.
  for (const auto &[call, cancel] : cancels) {
    this->metrics.Count("pollenring_cancelled_sub_calls_total");
    cancel();
  }
}

ServedCall *TargetExecutor::FindContext(const std::string &context) {
  const auto found = this->contexts.find(context);
  return found == this->contexts.end() ? nullptr : this->Find(found->second);
}

ServedCall *TargetExecutor::FindParent(Time deadline,
                                       const std::string &callee) {
  const auto id =
      this->parents.Find(deadline, callee, this->loop.GetClock().Now());
  return id ? this->Find(*id) : nullptr;
}

void TargetExecutor::BeginSubCall(std::uint64_t id) {
  ServedCall *parent = this->Find(id);
  if (parent == nullptr) return;
  const Time now = this->loop.GetClock().Now();
  parent->BeginSubCall(now);
  this->parents.BeginCall(id, now);
}

void TargetExecutor::EndSubCall(std::uint64_t id) {
  ServedCall *parent = this->Find(id);
  if (parent == nullptr) return;
  const Time now = this->loop.GetClock().Now();
  parent->EndSubCall(now);
  this->parents.EndCall(id, now);
}

ServedCall *TargetExecutor::Find(std::uint64_t id) {
  const auto found = this->calls.find(id);
  return found == this->calls.end() ? nullptr : &found->second.served;
}

}  // namespace pollenring
