#include "operator_client.h"

#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"

namespace cli {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;
constexpr pollenring::Duration kTimeout = std::chrono::seconds{15};

}  // namespace

std::optional<OperatorAnswer> OperatorClient::Call(
    const std::string &method, const std::string &path,
    const nlohmann::json &body) const {
  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {kMaxAnswerBytes}};
  pollenring::HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.push_back({"authorization", "Bearer " + this->secret});
  if (!body.is_null()) request.body = body.dump();
  std::optional<OperatorAnswer> answer;
  client.Call(
      this->node, request, kTimeout, [&](pollenring::HttpClient::Reply reply) {
        if (auto *got = std::get_if<pollenring::HttpResponse>(&reply)) {
          answer = OperatorAnswer{
              got->status, nlohmann::json::parse(got->body, nullptr, false)};
        }
        loop.Stop();
      });
  loop.Run();
  return answer;
}

}  // namespace cli
