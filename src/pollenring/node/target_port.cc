#include "pollenring/node/target_port.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pollenring/core/hash.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"

namespace pollenring {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;

[[nodiscard]] HttpResponse JsonResponse(int status,
                                        const std::string &message) {
  const nlohmann::json json{{"message", message}};
  return {status, {{"content-type", "application/json"}}, json.dump() + "\n"};
}

}  // namespace

TargetPort::TargetPort(Loop &loop, std::string secret,
                       const ConfigLedger &config, TargetExecutor &executor,
                       Dispatcher &dispatcher, DownstreamLevels &levels,
                       Random &random)
    : loop{loop},
      secret{std::move(secret)},
      config{config},
      executor{executor},
      dispatcher{dispatcher},
      levels{levels},
      random{random} {}

void TargetPort::Handle(HttpRequest request,
                        std::shared_ptr<Responder> responder) {
  if (request.path == kAnnouncePath) {
    responder->Send(this->Announce(request));
    return;
  }
  this->SubCall(std::move(request), responder);
}

HttpResponse TargetPort::Announce(const HttpRequest &request) {
  const auto presented = FindHeader(request.headers, kSecretHeader);
  if (!EqualConstantTime(presented, this->secret)) {
    return JsonResponse(kForbidden, "pollenring-secret is missing or wrong");
  }
  const auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object()) return JsonResponse(kBadRequest, "not a JSON object");
  Announcement announcement;
  std::string state;
  std::string address;
  try {
    announcement.target.service = json.at("service").get<std::string>();
    announcement.target.slots = json.at("slots").get<std::uint32_t>();
    state = json.value("state", "warm");
    address = json.at("address").get<std::string>();
  } catch (const nlohmann::json::exception &error) {
    return JsonResponse(kBadRequest, error.what());
  }
  const auto parsed_state = kTargetStateNames.Parse(state);
  const auto parsed_address = Address::Parse(address);
  if (!parsed_state) {
    return JsonResponse(kBadRequest, "state must be cold, warm or draining");
  }
  if (!parsed_address || announcement.target.slots == 0) {
    return JsonResponse(kBadRequest, "address and slots must be given");
  }
  announcement.target.state = *parsed_state;
  announcement.address = *parsed_address;
  this->executor.Announce(announcement);
  return JsonResponse(kOk, "announced");
}

Reason TargetPort::Prepare(const HttpRequest &request, const ServedCall &parent,
                           CallEnvelope &envelope) const {
  auto [service, path] = SplitServicePath(request.path);
  const Contract *contract = this->config.Active().Find(service);
  if (contract == nullptr) return Reason::kNoRoute;
  const Route *route = Policy::Match(*contract, request.method, path);
  if (route == nullptr) return Reason::kNoRoute;
  if (!Policy::Allows(*contract, parent.envelope.service)) {
    return Reason::kCallerRefused;
  }
  // An idempotent request must not cause a non-idempotent one.
  if (parent.envelope.idempotent && !route->idempotent) {
    return Reason::kCallerRefused;
  }
  if (parent.envelope.depth + 1 > kMaxDepth) return Reason::kMalformed;
  if (HeaderBytes(request.headers) > kMaxHeaderBytes) return Reason::kTooLarge;
  envelope.root_id = parent.envelope.root_id;
  envelope.workspace = parent.envelope.workspace;
  envelope.service = std::move(service);
  envelope.path = std::move(path);
  envelope.method = request.method;
  envelope.route = RouteName(envelope.service, *route);
  envelope.headers = ForwardableHeaders(request.headers);
  envelope.importance = parent.envelope.importance;
  envelope.idempotent = route->idempotent;
  envelope.sub_priority = parent.envelope.sub_priority;
  envelope.weight = parent.envelope.weight;
  envelope.depth = parent.envelope.depth + 1;
  envelope.root_age_us =
      (this->loop.GetClock().Now() - parent.root_started).count();
  return Reason::kNone;
}

void TargetPort::SubCall(HttpRequest request,
                         const std::shared_ptr<Responder> &responder) {
  const std::string context{FindHeader(request.headers, kContextHeader)};
  ServedCall *parent = this->executor.FindContext(context);
  if (parent == nullptr) {
    responder->Send(ToResponse(
        Refusal(Outcome::kNotRun, Reason::kCallerRefused, Duration{}), {}, {}));
    return;
  }
  CallEnvelope envelope;
  const Reason refused = this->Prepare(request, *parent, envelope);
  if (refused != Reason::kNone) {
    responder->Send(ToResponse(Refusal(Outcome::kNotRun, refused, Duration{}),
                               {}, parent->envelope.root_id));
    return;
  }
  const Time now = this->loop.GetClock().Now();
  const int slice = parent->allowance.Slice();
  envelope.retries = slice;
  parent->BeginSubCall(now);
  const std::uint64_t parent_id = parent->id;
  const std::string root_id = envelope.root_id;
  const bool idempotent = envelope.idempotent;
  const auto ended = [this, parent_id, slice](int unspent) {
    ServedCall *served = this->executor.Find(parent_id);
    if (served == nullptr) return;
    served->EndSubCall(this->loop.GetClock().Now());
    served->allowance.Return(slice, std::clamp(unspent, 0, slice));
  };
  CallBounds bounds;
  bounds.deadline = parent->deadline;
  const auto handle = std::make_shared<std::uint64_t>();
  *handle = this->dispatcher.Call(
      std::move(envelope), std::move(request.body), std::move(bounds),
      [this, parent_id, root_id, ended, responder, handle](CallReply reply,
                                                           std::string body) {
        ended(reply.retries_unspent);
        ServedCall *served = this->executor.Find(parent_id);
        if (served != nullptr) {
          this->levels.LearnFromSubCall(served->envelope.workspace,
                                        served->envelope.route, reply.levels);
          served->sub_call_cancels.erase(*handle);
        }
        responder->Send(ToResponse(reply, std::move(body), root_id));
      });
  responder->OnCancel(
      [this, call = *handle, parent_id, ended](CallerDisconnect) {
        this->dispatcher.Cancel(call);
        ended(0);
        ServedCall *served = this->executor.Find(parent_id);
        if (served != nullptr) served->sub_call_cancels.erase(call);
      });
  // Non-idempotent calls continue after their caller disconnects.
  if (!idempotent) return;
  parent->sub_call_cancels[*handle] = [this, call = *handle, root_id,
                                       responder] {
    this->dispatcher.Cancel(call);
    responder->Send(
        ToResponse(Refusal(Outcome::kUnknown, Reason::kCancelled, Duration{}),
                   {}, root_id));
  };
}

}  // namespace pollenring
