#include "pollenring/node/target_dialect.h"

#include "pollenring/node/headers.h"

namespace pollenring {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

void ContextDialect::AddHeaders(const TargetCall &call,
                                HttpRequest &request) const {
  const auto add = [&request](std::string_view name, std::string value) {
    request.headers.push_back({std::string{name}, std::move(value)});
  };
  add(kContextHeader, call.context);
  add(kRequestIdHeader, call.envelope.root_id);
  add(kWorkspaceHeader, call.envelope.workspace);
  add(kDeadlineHeader, std::to_string(call.left.count() / 1000));
}

AnswerMark ContextDialect::MarkOf(const CallEnvelope & /*envelope*/) const {
  return {};
}

TargetVerdict ContextDialect::Judge(const CallEnvelope & /*envelope*/,
                                    const HttpResponse &answer) const {
  TargetVerdict verdict;
  verdict.shed =
      answer.status == kServiceUnavailable || answer.status == kTooManyRequests;
  return verdict;
}

std::vector<WireHeader> ContextDialect::PassAnswerHeaders(
    const HttpHeaders &headers) const {
  return PassableHeaders(headers);
}

}  // namespace pollenring
