#include "pollenring/link/link_server.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/link/link_client.h"
#include "pollenring/net/loop.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::LinkClient;
using pollenring::LinkResponder;
using pollenring::LinkServer;
using pollenring::Loop;

constexpr std::size_t kMostBytes = std::size_t{1} << 20U;

}  // namespace

TEST_CASE("link server: a message cancelled behind it is not handled") {
  // The server's process is behind: it reads messages and their cancellations
  // in one go.
  const pollenring::SystemClock clock;
  Loop behind{clock};
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.2.1:7100");
  std::vector<std::string> handled;
  const LinkServer server{
      behind, address, "secret", kMostBytes,
      [&handled](const std::string &path, const std::string & /*body*/,
                 const std::shared_ptr<LinkResponder> &responder) {
        handled.push_back(path);
        responder->Send({});
      }};
  LinkClient client{loop, "secret", kMostBytes};
  const auto run = [](Loop &which, pollenring::Span length) {
    which.After(length, [&which] { which.Stop(); });
    which.Resume();
    which.Run();
  };
  std::vector<LinkClient::CallId> calls;
  const auto ignore = [](const LinkClient::Reply & /*reply*/) {};
  for (int i = 0; i < 10; ++i) {
    calls.push_back(client.Call(address, std::to_string(i), "x", 5s, ignore));
  }
  run(loop, 50ms);
  for (std::size_t i = 1; i < calls.size(); ++i) client.Cancel(calls[i]);
  run(loop, 50ms);
  run(behind, 50ms);
  CHECK(handled == std::vector<std::string>{"0"});
}
