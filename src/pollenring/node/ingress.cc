#include "pollenring/node/ingress.h"

#include <algorithm>
#include <utility>

#include "pollenring/admission/shed_levels.h"
#include "pollenring/core/hash.h"
#include "pollenring/core/request_id.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr std::size_t kMinSearchedKeyBytes = 8;
constexpr double kSubPriorityScale = 1.0 / 9007199254740992.0;

[[nodiscard]] double SubPriorityOf(const std::string &root_id) noexcept {
  return static_cast<double>(Hash64(root_id) >> 11U) * kSubPriorityScale;
}

/*! @brief Whether the key appears where it would be forwarded to a target. */
[[nodiscard]] bool LeaksKey(const HttpRequest &request, std::string_view key) {
  if (key.size() < kMinSearchedKeyBytes) return false;
  const auto contains = [key](const std::string &text) {
    return text.find(key) != std::string::npos;
  };
  if (contains(request.path) || contains(request.body)) return true;
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const HttpHeader &header) {
                       return header.name != kKeyHeader &&
                              contains(header.value);
                     });
}

}  // namespace

/*! @brief State of a request of an external caller. */
struct Ingress::Root {
  CallEnvelope envelope;
  std::string body;
  std::string workspace;
  std::string route_name;
  std::string id;
  std::string once_key;
  Time started{};
  Time deadline{};
  bool keyless{};
  bool has_caller_id{};
  std::optional<Time> charged;
  bool once_begun{};
  bool disconnected{};
  std::shared_ptr<Responder> responder;
};

Ingress::Ingress(Loop &loop, const IngressParts &parts)
    : loop{loop}, parts{parts} {}

void Ingress::Handle(HttpRequest request,
                     std::shared_ptr<Responder> responder) {
  auto root = std::make_shared<Root>();
  root->responder = std::move(responder);
  root->started = this->loop.GetClock().Now();
  this->parts.metrics.Count("pollenring_requests_total");
  if (this->parts.budget != nullptr && !this->parts.budget->AdmitRequest()) {
    this->Refuse(root, Outcome::kNotRun, Reason::kOverload);
    return;
  }
  const Reason refused = this->Admit(request, *root);
  if (refused != Reason::kNone) {
    this->Refuse(root, Outcome::kNotRun, refused);
    return;
  }
  root->envelope.headers = ForwardableHeaders(request.headers);
  root->body = std::move(request.body);
  root->responder->OnCancel(
      [root](CallerDisconnect) { root->disconnected = true; });
  this->Advance(root);
}

void Ingress::Advance(const RootPtr &root) {
  const bool once = !root->envelope.idempotent && !root->once_begun;
  // Repeats get the recorded response before any charge or refusal.
  if (once && root->has_caller_id) {
    this->Begin(root);
    return;
  }
  if (!root->charged) {
    this->Charge(root);
    return;
  }
  if (once) {
    this->Begin(root);
    return;
  }
  this->Send(root);
}

Reason Ingress::Admit(const HttpRequest &request, Root &root) const {
  if (HeaderBytes(request.headers) > kMaxHeaderBytes) return Reason::kTooLarge;
  const Reason unidentified = this->Identify(request, root);
  if (unidentified != Reason::kNone) return unidentified;
  auto [service, path] = SplitServicePath(request.path);
  const Policy &policy = this->parts.config.Active();
  const Contract *contract = policy.Find(service);
  if (contract == nullptr) return Reason::kNoRoute;
  const Route *route = Policy::Match(*contract, request.method, path);
  if (route == nullptr) return Reason::kNoRoute;
  if (!Policy::Allows(*contract, kPublicCaller)) return Reason::kCallerRefused;
  root.keyless = route->keyless;
  const std::string_view key = FindHeader(request.headers, kKeyHeader);
  if (!route->keyless) {
    if (!this->parts.freshness.Fresh()) return Reason::kStaleConfig;
    if (key.empty()) return Reason::kKeyRefused;
    root.envelope.workspace = policy.WorkspaceOf(Sha256Hex(key));
    if (root.envelope.workspace.empty()) return Reason::kKeyRefused;
  }
  if (LeaksKey(request, key)) return Reason::kMalformed;
  root.workspace = root.envelope.workspace;
  root.route_name = RouteName(service, *route);
  root.envelope.route = root.route_name;
  root.envelope.service = std::move(service);
  root.envelope.method = request.method;
  root.envelope.path = std::move(path);
  root.envelope.importance = route->importance;
  root.envelope.idempotent = route->idempotent;
  root.envelope.sub_priority = SubPriorityOf(root.envelope.root_id);
  const WorkspaceRateLimit *rate_limit =
      policy.RateLimitOf(root.envelope.workspace);
  if (rate_limit != nullptr) root.envelope.weight = rate_limit->rate;
  root.envelope.retries = route->retries;
  root.deadline = root.started + route->deadline;
  return Reason::kNone;
}

Reason Ingress::Identify(const HttpRequest &request, Root &root) const {
  const auto given = FindHeader(request.headers, kRequestIdHeader);
  if (given.size() > kMaxRequestIdBytes) return Reason::kMalformed;
  if (!given.empty()) {
    root.id = std::string{given};
    root.has_caller_id = true;
  } else {
    root.id = NewRequestId(this->loop.GetClock().WallNow(), this->parts.random);
  }
  root.envelope.root_id = root.id;
  return Reason::kNone;
}

bool Ingress::ShedsEarly(const Root &root) const {
  const double level =
      this->parts.levels
          .HighestOnCallPath(root.envelope.workspace, root.route_name)
          .level;
  return PriorityOf(root.envelope.importance, root.envelope.sub_priority) <
         level;
}

void Ingress::Charge(const RootPtr &root) {
  if (this->ShedsEarly(*root)) {
    this->parts.metrics.Count("pollenring_early_refusals_total");
    this->Refuse(root, Outcome::kNotRun, Reason::kOverload);
    return;
  }
  root->charged = this->loop.GetClock().Now();
  if (root->keyless) {
    this->Advance(root);
    return;
  }
  this->parts.shares.Charge(
      root->envelope.workspace, WaitLimit::Until(root->deadline),
      [this, root](ChargeReply result) {
        if (result.granted) {
          root->charged = this->loop.GetClock().Now();
          this->Advance(root);
          return;
        }
        this->Respond(
            root,
            Refusal(Outcome::kNotRun, result.reason,
                    WithJitter(result.retry_after, this->parts.random)),
            {});
      });
}

void Ingress::Begin(const RootPtr &root) {
  if (!CreationTimeOf(root->id)) {
    this->Refuse(root, Outcome::kNotRun, Reason::kMalformed);
    return;
  }
  root->once_key = root->envelope.workspace + '/' + root->id;
  this->parts.once.Begin(root->once_key, !root->has_caller_id, root->deadline,
                         [this, root](OnceReply result) {
                           if (result.verdict != OnceVerdict::kRun) {
                             this->RespondToRepeat(root, std::move(result));
                             return;
                           }
                           root->once_begun = true;
                           this->Advance(root);
                         });
}

void Ingress::RespondToRepeat(const RootPtr &root, OnceReply result) {
  const Duration jittered_retry_after =
      WithJitter(kDefaultRetryAfter, this->parts.random);
  switch (result.verdict) {
    case OnceVerdict::kAnswered:
      this->Respond(root, std::move(result.reply), std::move(result.body));
      return;
    case OnceVerdict::kInProgress:
      this->Respond(
          root,
          Refusal(Outcome::kUnknown, Reason::kInProgress, jittered_retry_after),
          {});
      return;
    case OnceVerdict::kExpired:
      this->Respond(
          root, Refusal(Outcome::kUnknown, Reason::kIdExpired, Duration{}), {});
      return;
    case OnceVerdict::kNotRun:
      this->Respond(
          root,
          Refusal(Outcome::kNotRun, Reason::kNoShare, jittered_retry_after),
          {});
      return;
    default:
      this->Respond(
          root,
          Refusal(Outcome::kUnknown, Reason::kRepeated, jittered_retry_after),
          {});
  }
}

void Ingress::Send(const RootPtr &root) {
  if (root->disconnected && !root->once_begun) return;
  CallBounds bounds;
  bounds.deadline = root->deadline;
  bounds.charged = *root->charged;
  if (!root->keyless) {
    bounds.renew = [this, root](ShareGate::Done done) {
      this->parts.shares.Charge(
          root->workspace, WaitLimit::Until(root->deadline), std::move(done));
    };
  }
  const auto call = this->parts.dispatcher.Call(
      std::move(root->envelope), std::move(root->body), std::move(bounds),
      [this, root](CallReply reply, std::string body) {
        this->parts.levels.Learn(root->workspace, root->route_name,
                                 reply.levels);
        this->Respond(root, std::move(reply), std::move(body));
      });
  // A non-idempotent run continues, so that repeats can get its outcome.
  if (root->once_begun) return;
  root->responder->OnCancel(
      [this, call](CallerDisconnect) { this->parts.dispatcher.Cancel(call); });
}

void Ingress::Refuse(const RootPtr &root, Outcome outcome, Reason reason) {
  const bool transient = reason == Reason::kOverload ||
                         reason == Reason::kStaleConfig ||
                         reason == Reason::kNoTarget;
  const Duration jittered_retry_after =
      transient ? WithJitter(kDefaultRetryAfter, this->parts.random)
                : Duration{};
  this->Respond(root, Refusal(outcome, reason, jittered_retry_after), {});
}

void Ingress::Respond(const RootPtr &root, CallReply reply, std::string body) {
  if (root->once_begun) this->parts.once.End(root->once_key, reply, body);
  Metrics &metrics = this->parts.metrics;
  const bool refused = reply.reason != Reason::kNone;
  if (refused) {
    metrics.Count("pollenring_refusals_total",
                  {"reason", std::string{kReasonNames.Name(reply.reason)}});
  }
  metrics.Count("pollenring_outcomes_total",
                {"outcome", std::string{kOutcomeNames.Name(reply.outcome)}});
  const Duration latency = this->loop.GetClock().Now() - root->started;
  metrics.Observe("pollenring_request_seconds",
                  std::chrono::duration<double>{latency}.count());
  root->responder->Send(ToResponse(reply, std::move(body), root->id));
}

}  // namespace pollenring
