#include "operator_client.h"

#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"

namespace cli {
namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024 * 1024;
constexpr pollenring::Duration kCallTimeout = std::chrono::seconds{15};

}  // namespace

std::optional<OperatorResponse> OperatorClient::Call(
    const std::string &method, const std::string &path,
    const nlohmann::json &body) const {
  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {kMaxResponseBytes}};
  pollenring::HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.push_back({"authorization", "Bearer " + this->secret});
  if (!body.is_null()) request.body = body.dump();
  std::optional<OperatorResponse> response;
  client.Call(
      this->node, request, kCallTimeout,
      [&](pollenring::HttpClient::Reply reply) {
        if (auto *received = std::get_if<pollenring::HttpResponse>(&reply)) {
          response = OperatorResponse{
              received->status,
              nlohmann::json::parse(received->body, nullptr, false)};
        }
        loop.Stop();
      });
  loop.Run();
  return response;
}

}  // namespace cli
