#include "pollenring/mesh/outbound.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenring/admission/shed_levels.h"
#include "pollenring/core/hash.h"
#include "pollenring/core/request_id.h"
#include "pollenring/log/log.h"
#include "pollenring/mesh/outbound_entry.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/request_identity.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr double kSubPriorityScale = 1.0 / 9007199254740992.0;
/*! @brief Golden-ratio steps balance short runs of a split, unlike random. */
constexpr double kGoldenStep = 0.6180339887498949;
/*! @brief Retries of a call, which its route and the budget limit too. */
constexpr int kMaxRetries = 8;
/*! @brief Maximum wait for quota. Under excess demand longer waits serve no
 * more. Equal for all routes, so that none takes quota from urgent ones. */
constexpr Duration kMaxQuotaWait = std::chrono::milliseconds{25};
/*! @brief Quota waits also end within the soft deadline divided by this. */
constexpr int kQuotaDivisor = 4;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kTimedOut = 504;
/*! @brief Delay after which late requests end; above timeouts of nodes. */
constexpr Duration kOverdueAfter = 10 * kReplySlack;
/*! @brief Timeout of requests if neither caller nor route set one. */
constexpr Duration kDefaultTimeout = std::chrono::seconds{10};
/*! @brief Bounds of the mean delay of callers whose roots have no chance. A
 * caller with a deadline of 2.5 s that returns after a third of it can wait no
 * longer than 0.8 s. */
constexpr Duration kMinChanceRetryAfter = std::chrono::milliseconds{400};
constexpr Duration kMaxChanceRetryAfter = std::chrono::milliseconds{1200};

[[nodiscard]] double SubPriorityOf(const std::string &id) noexcept {
  return static_cast<double>(Hash64(id) >> 11U) * kSubPriorityScale;
}

/*! @brief Regions that both lists allow; an empty list allows all of them. */
[[nodiscard]] std::optional<std::vector<std::string>> IntersectRegions(
    const std::vector<std::string> &a, const std::vector<std::string> &b) {
  if (a.empty()) return b;
  if (b.empty()) return a;
  std::vector<std::string> common;
  for (const auto &region : a) {
    const bool allowed = std::find(b.begin(), b.end(), region) != b.end();
    if (allowed) common.push_back(region);
  }
  if (common.empty()) return std::nullopt;
  return common;
}

/*! @brief Chooses a status that promises no more than is known. */
[[nodiscard]] int StatusFor(const CallReply &reply) noexcept {
  const bool unclear = reply.status == kBadGateway || reply.status == kTimedOut;
  if (reply.outcome == Outcome::kNotRun && unclear) return kServiceUnavailable;
  const bool retryable =
      reply.status == kTooManyRequests || reply.status == kServiceUnavailable;
  if (!retryable || reply.outcome == Outcome::kNotRun) return reply.status;
  return kBadGateway;
}

}  // namespace

Outbound::Outbound(Loop &loop, std::string service, const OutboundParts &parts)
    : loop{loop}, service{std::move(service)}, parts{parts} {}

void Outbound::Handle(HttpRequest request,
                      std::shared_ptr<Responder> responder) {
  auto entry = std::make_shared<Entry>();
  entry->responder = std::move(responder);
  entry->started = this->loop.GetClock().Now();
  this->parts.metrics.Count("pollenring_requests_total");
  CallerRequest caller = this->parts.codec.Decode(request.headers);
  entry->id = caller.id;
  if (this->closed) {
    this->Refuse(entry, Reason::kLeaving, kDefaultRetryAfter);
    return;
  }
  if (this->parts.budget != nullptr && !this->parts.budget->AdmitRequest()) {
    this->Refuse(entry, Reason::kOverload, kDefaultRetryAfter);
    return;
  }
  const Reason refused = this->Admit(request, caller, *entry);
  if (refused != Reason::kNone) {
    this->Refuse(
        entry, refused,
        refused == Reason::kStaleConfig ? kDefaultRetryAfter : Duration{0});
    return;
  }
  entry->envelope.headers = std::move(caller.headers);
  entry->body = std::move(request.body);
  entry->fingerprint =
      this->parts.fingerprints.Of(IdentityOf(entry->envelope, entry->body));
  entry->envelope.fingerprint = entry->fingerprint;
  this->entries.insert(entry);
  entry->responder->OnCancel([this, entry](CallerDisconnect disconnect) {
    entry->disconnected = true;
    this->entries.erase(entry);
    this->loop.Cancel(entry->timer);
    this->RecordDisconnect(*entry, disconnect, false);
  });
  this->ScheduleOverdue(entry, entry->deadline + kOverdueAfter);
  this->Charge(entry);
}

Reason Outbound::Admit(const HttpRequest &request, CallerRequest &caller,
                       Entry &entry) {
  const HostTable &table = this->parts.policy.Active();
  entry.version = table.Version();
  // Without a configuration, routes and keys are unknown.
  if (entry.version == 0) return Reason::kStaleConfig;
  const HostRoute *route = table.Find(request.host, request.path);
  if (route == nullptr) return Reason::kNoRoute;
  entry.route = route->name;
  entry.from_target = route->keyless;
  CallEnvelope &envelope = entry.envelope;
  const KeyedWorkspace *workspace = nullptr;
  if (!route->keyless && table.NeedsKeys()) {
    workspace = table.WorkspaceOf(caller.key);
    if (workspace == nullptr) return Reason::kKeyRefused;
    entry.workspace = workspace->rate_limit.name;
    envelope.workspace = entry.workspace;
    if (workspace->rate_limit.rate > 0)
      envelope.weight = workspace->rate_limit.rate;
    auto regions = IntersectRegions(route->regions, workspace->regions);
    if (!regions) return Reason::kNoTarget;
    envelope.regions = std::move(*regions);
  } else {
    envelope.regions = route->regions;
  }
  if (entry.id.empty()) {
    entry.id =
        NewRequestId(this->loop.GetClock().WallNow(), this->parts.random);
  }
  envelope.root_id = entry.id;
  entry.service = this->ChooseService(*route);
  envelope.service = entry.service;
  envelope.method = request.method;
  envelope.path = request.path;
  envelope.host = request.host;
  envelope.route = route->name;
  envelope.caller = this->service;
  envelope.soft_deadline_us = route->target_latency.count();
  const RequestPriority priority =
      table.RequestPriorityOf(*route, workspace, SubPriorityOf(entry.id));
  envelope.importance = priority.importance;
  envelope.sub_priority = priority.sub_priority;
  envelope.idempotent = route->idempotent;
  envelope.retries = kMaxRetries;
  entry.attempts = route->attempts;
  Duration remaining =
      route->timeout > Duration{0} ? route->timeout : kDefaultTimeout;
  if (caller.remaining) remaining = std::min(remaining, *caller.remaining);
  entry.deadline = entry.started + remaining;
  if (route->keyless) this->InheritFromParent(caller, entry);
  return Reason::kNone;
}

void Outbound::InheritFromParent(const CallerRequest &caller, Entry &entry) {
  CallEnvelope &envelope = entry.envelope;
  envelope.authenticated = false;
  // A target's call already has work invested, whichever its parent is.
  envelope.depth = 1;
  envelope.importance = Importance::kHigh;
  this->parts.executor.RecordTargetCall(entry.route);
  if (!caller.remaining) return;
  ServedCall *parent = this->parts.executor.FindParent(
      entry.started + *caller.remaining, entry.route);
  this->parts.metrics.Count(
      "pollenring_sub_calls_total",
      {"parent", parent == nullptr ? "unknown" : "found"});
  if (parent == nullptr) return;
  entry.parent = parent->id;
  entry.parent_id = parent->envelope.root_id;
  this->parts.executor.BeginSubCall(parent->id);
  envelope.importance = parent->envelope.importance;
  envelope.sub_priority = parent->envelope.sub_priority;
  envelope.is_retry = parent->envelope.is_retry;
  envelope.workspace = parent->envelope.workspace;
  envelope.weight = parent->envelope.weight;
  envelope.depth = std::min(parent->envelope.depth + 1, kMaxDepth);
  envelope.root_age_us = (entry.started - parent->root_started).count();
}

const std::string &Outbound::ChooseService(const HostRoute &route) {
  if (route.parts.size() == 1) return route.parts.front().service;
  const auto [found, inserted] = this->splits.try_emplace(route.name, 0.0);
  if (inserted) found->second = this->parts.random.Fraction();
  double &position = found->second;
  position += kGoldenStep;
  position -= std::floor(position);
  double total = 0;
  for (const auto &part : route.parts) total += part.weight;
  double remaining = position * total;
  for (const auto &part : route.parts) {
    remaining -= part.weight;
    if (remaining < 0) return part.service;
  }
  return route.parts.back().service;
}

std::optional<Duration> Outbound::RefusesEarly(Entry &entry) {
  const CallEnvelope &envelope = entry.envelope;
  entry.priority = PriorityOf(envelope.importance, envelope.sub_priority);
  if (envelope.depth > 0) return std::nullopt;
  CallPathLevel highest =
      this->parts.levels.HighestOnCallPath(entry.workspace, entry.route);
  if (entry.priority < highest.level) {
    entry.refusing_level = std::move(highest);
    this->parts.metrics.Count("pollenring_early_refusals_total");
    return kDefaultRetryAfter;
  }
  ChanceDecision decision = this->parts.levels.Completion().Decide(
      entry.route, entry.priority, this->parts.random);
  this->LogChanceChanges();
  if (decision.trial) this->parts.metrics.Count("pollenring_trial_roots_total");
  if (!decision.refuse) return std::nullopt;
  this->parts.metrics.Count("pollenring_chance_refusals_total",
                            {"service", decision.root.service});
  entry.chance = std::move(decision.root);
  // Little is known of how long a failure lasts but that it has lasted.
  return std::clamp(decision.refused_for, kMinChanceRetryAfter,
                    kMaxChanceRetryAfter);
}

void Outbound::Charge(const EntryPtr &entry) {
  if (const auto retry_after = this->RefusesEarly(*entry)) {
    this->Refuse(entry, Reason::kOverload, *retry_after);
    return;
  }
  const std::string &workspace = entry->workspace;
  const bool limited =
      !workspace.empty() && this->parts.policy.RateOf(workspace).has_value();
  if (!limited) {
    this->Send(entry, {});
    return;
  }
  const Duration soft_deadline{entry->envelope.soft_deadline_us};
  const Duration wait = std::min(kMaxQuotaWait, soft_deadline / kQuotaDivisor);
  const RenewCharge charge = [this, entry, wait](ShareGate::Done done) {
    const Time quota_deadline = this->loop.GetClock().Now() + wait;
    this->parts.shares.Charge(
        entry->workspace,
        {entry->deadline, std::min(entry->deadline, quota_deadline)},
        std::move(done));
  };
  charge([this, entry, charge](ChargeReply reply) {
    if (reply.granted) {
      this->Send(entry, charge);
      return;
    }
    this->Refuse(entry, reply.reason, reply.retry_after);
  });
}

void Outbound::Send(const EntryPtr &entry, const RenewCharge &renew) {
  if (entry->disconnected || entry->responded) return;
  entry->call = this->parts.dispatcher.Call(
      std::move(entry->envelope), std::move(entry->body),
      {entry->deadline, entry->attempts, this->loop.GetClock().Now(), renew},
      [this, entry](CallReply reply, std::string body) {
        this->parts.levels.Learn(entry->workspace, entry->route, reply.levels);
        this->parts.levels.LearnCallPathReports(reply.call_path_reports);
        this->parts.levels.Completion().Learn(entry->route, entry->service,
                                              reply.failures);
        if (entry->from_target) {
          this->parts.executor.LearnFrom(entry->route, entry->workspace,
                                         reply.levels);
        }
        this->parts.executor.EndSubCall(entry->parent);
        this->Respond(entry, std::move(reply), std::move(body));
      });
  entry->responder->OnCancel([this, entry](CallerDisconnect disconnect) {
    this->entries.erase(entry);
    this->loop.Cancel(entry->timer);
    this->parts.executor.EndSubCall(entry->parent);
    this->RecordDisconnect(*entry, disconnect, true);
    this->parts.dispatcher.Cancel(entry->call);
  });
}

void Outbound::Refuse(const EntryPtr &entry, Reason reason, Duration backoff) {
  const Duration jittered = backoff > Duration{0}
                                ? WithJitter(backoff, this->parts.random)
                                : Duration{0};
  this->Respond(entry, Refusal(Outcome::kNotRun, reason, jittered), {});
}

void Outbound::ScheduleOverdue(const EntryPtr &entry, Time until) {
  entry->timer_at = until;
  entry->timer = this->loop.After(until - this->loop.GetClock().Now(),
                                  [this, entry] { this->FailOverdue(entry); });
}

void Outbound::RespondToAll() {
  const auto open = this->entries;
  for (const auto &entry : open) {
    this->loop.Contain("last response",
                       [this, &entry] { this->RespondLast(entry); });
  }
}

void Outbound::RespondLast(const EntryPtr &entry) {
  const bool sent = entry->call != 0;
  const bool in_progress = this->parts.dispatcher.Cancel(entry->call);
  // The reply to a call that has ended is on its way here.
  if (sent && !in_progress) return;
  this->parts.executor.EndSubCall(entry->parent);
  const Duration retry_after =
      WithJitter(kDefaultRetryAfter, this->parts.random);
  this->Respond(entry,
                Refusal(sent ? Outcome::kUnknown : Outcome::kNotRun,
                        Reason::kLeaving, retry_after),
                {});
}

void Outbound::FailOverdue(const EntryPtr &entry) {
  // A process that lags may not have handled replies already received.
  const Time now = this->loop.GetClock().Now();
  if (now - entry->timer_at > kOverdueAfter / 2) {
    this->ScheduleOverdue(entry, now + kOverdueAfter);
    return;
  }
  LogEvent(
      LogLevel::kError, "request without a response",
      {{"id", entry->id}, {"route", entry->route}, {"sent", entry->call != 0}});
  this->parts.metrics.Count("pollenring_unanswered_total");
  this->loop.Contain("overdue request", [this, &entry] {
    this->parts.executor.EndSubCall(entry->parent);
    this->parts.dispatcher.Cancel(entry->call);
  });
  const bool responded = this->loop.Contain("overdue response", [this, &entry] {
    this->Respond(entry, Refusal(Outcome::kUnknown, Reason::kDeadline, {}), {});
  });
  if (!responded) entry->responder->Send({kTimedOut, {}, {}});
}

void Outbound::Respond(const EntryPtr &entry, CallReply reply,
                       std::string body) {
  if (entry->responded) return;
  reply.status = StatusFor(reply);
  HttpResponse response =
      this->parts.codec.Encode(reply, std::move(body), entry->id);
  this->RecordResult(*entry, reply);
  entry->responder->Send(std::move(response));
  entry->responded = true;
  this->entries.erase(entry);
  this->loop.Cancel(entry->timer);
}

}  // namespace pollenring
