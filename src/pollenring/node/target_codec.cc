#include "pollenring/node/target_codec.h"

#include "pollenring/node/headers.h"

namespace pollenring {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstOk = 200;
constexpr int kFirstRedirect = 300;

}  // namespace

TargetVerdict ClassifyResponse(const ResponseSignals &signals,
                               int status) noexcept {
  if (signals.wrong_instance)
    return {Outcome::kNotRun, Reason::kNoTarget, false};
  if (signals.not_run) return {Outcome::kNotRun, Reason::kTargetBusy, true};
  const bool ok = status >= kFirstOk && status < kFirstRedirect;
  // The call may have run, whatever the response suggests to the caller.
  if ((ok && !signals.genuine) || signals.uncorrelated ||
      signals.implies_not_executed) {
    return {Outcome::kUnknown, Reason::kTargetFailed, false};
  }
  return {Outcome::kRan, Reason::kNone, signals.overloaded};
}

void ContextCodec::AddHeaders(const TargetCall &call,
                              HttpRequest &request) const {
  const auto add = [&request](std::string_view name, std::string value) {
    request.headers.push_back({std::string{name}, std::move(value)});
  };
  add(kContextHeader, call.context);
  add(kRequestIdHeader, call.envelope.root_id);
  add(kWorkspaceHeader, call.envelope.workspace);
  add(kDeadlineHeader, std::to_string(call.remaining.count() / 1000));
}

CorrelationHeader ContextCodec::CorrelationHeaderOf(
    const CallEnvelope & /*envelope*/) const {
  return {};
}

ResponseSignals ContextCodec::Read(const CallEnvelope & /*envelope*/,
                                   const HttpResponse &response) const {
  ResponseSignals signals;
  signals.overloaded = response.status == kServiceUnavailable ||
                       response.status == kTooManyRequests;
  return signals;
}

std::vector<WireHeader> ContextCodec::ForwardableResponseHeaders(
    const HttpHeaders &headers) const {
  return ForwardableHeaders(headers);
}

}  // namespace pollenring
