#include "pollenring/node/headers.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace pollenring {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
    "connection", "keep-alive", "proxy-connection", "te",  "transfer-encoding",
    "trailer",    "upgrade",    "content-length",   "host"};

struct ReasonStatus {
  Reason reason;
  int status;
};

constexpr std::array<ReasonStatus, 23> kStatuses{{
    {Reason::kMalformed, 400},     {Reason::kNoRoute, 404},
    {Reason::kKeyRefused, 401},    {Reason::kCallerRefused, 403},
    {Reason::kRateLimited, 429},   {Reason::kNoShare, 503},
    {Reason::kOverload, 503},      {Reason::kDeadline, 504},
    {Reason::kNoTarget, 503},      {Reason::kTargetFailed, 502},
    {Reason::kLinkLost, 502},      {Reason::kTooLarge, 413},
    {Reason::kLeaving, 503},       {Reason::kStaleConfig, 503},
    {Reason::kRepeated, 409},      {Reason::kInProgress, 409},
    {Reason::kIdExpired, 409},     {Reason::kCancelled, 503},
    {Reason::kTargetBusy, 503},    {Reason::kWarmingUp, 503},
    {Reason::kTargetLimited, 503}, {Reason::kZoneWithdrawn, 503},
    {Reason::kQuarantined, 503},
}};

[[nodiscard]] int StatusOf(Reason reason) noexcept {
  for (const auto &row : kStatuses) {
    if (row.reason == reason) return row.status;
  }
  return 500;
}

}  // namespace

std::vector<WireHeader> ForwardableHeaders(const HttpHeaders &headers) {
  std::vector<WireHeader> forwardable;
  forwardable.reserve(headers.size());
  for (const auto &header : headers) {
    const std::string_view name{header.name};
    if (name.substr(0, kInternalPrefix.size()) == kInternalPrefix) continue;
    const bool hop_by_hop =
        std::find(kHopByHop.begin(), kHopByHop.end(), name) != kHopByHop.end();
    if (hop_by_hop) continue;
    forwardable.push_back({header.name, header.value});
  }
  return forwardable;
}

std::size_t HeaderBytes(const HttpHeaders &headers) noexcept {
  std::size_t bytes = 0;
  for (const auto &header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

ServicePath SplitServicePath(std::string_view path) {
  if (path.empty() || path.front() != '/') return {};
  const auto end = path.find_first_of("/?", 1);
  const auto service = path.substr(1, end - 1);
  if (end == std::string_view::npos) return {std::string{service}, "/"};
  const auto rest = path.substr(end);
  if (rest.front() == '?') {
    return {std::string{service}, "/" + std::string{rest}};
  }
  return {std::string{service}, std::string{rest}};
}

std::string RouteName(const std::string &service, const Route &route) {
  return service + ' ' + route.method + ' ' + route.path_prefix;
}

HttpResponse ToResponse(const CallReply &reply, std::string body,
                        const std::string &request_id) {
  HttpResponse response;
  response.status = reply.status;
  for (const auto &header : reply.headers) {
    response.headers.push_back({header.name, header.value});
  }
  const auto add = [&response](std::string_view name, std::string_view value) {
    response.headers.push_back({std::string{name}, std::string{value}});
  };
  add(kOutcomeHeader, kOutcomeNames.Name(reply.outcome));
  if (!request_id.empty()) add(kRequestIdHeader, request_id);
  if (reply.reason == Reason::kNone) {
    response.body = std::move(body);
    return response;
  }
  add(kReasonHeader, kReasonNames.Name(reply.reason));
  if (reply.retry_after_us > 0) {
    const auto ms = (reply.retry_after_us + 999) / 1000;
    add("retry-after", std::to_string((ms + 999) / 1000));
    add(kRetryAfterMsHeader, std::to_string(ms));
  }
  if (!body.empty()) {
    response.body = std::move(body);
    return response;
  }
  add("content-type", "application/json");
  const nlohmann::json json{{"outcome", kOutcomeNames.Name(reply.outcome)},
                            {"reason", kReasonNames.Name(reply.reason)}};
  response.body = json.dump() + "\n";
  return response;
}

CallReply Refusal(Outcome outcome, Reason reason, Duration retry_after) {
  CallReply reply;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.status = StatusOf(reason);
  reply.retry_after_us = retry_after.count();
  return reply;
}

}  // namespace pollenring
