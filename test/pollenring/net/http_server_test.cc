#include "pollenring/net/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "pollenring/net/loop.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::HttpRequest;
using pollenring::HttpServer;
using pollenring::HttpServerLimits;
using pollenring::Loop;

/*! @brief Connects and sends a request that nobody has accepted yet. */
[[nodiscard]] int SendRequest(const Address &to, const std::string &path) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = to.Native();
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr *>(&native),
                  sizeof(native)) == 0);
  const std::string request = "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
  REQUIRE(send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  return fd;
}

}  // namespace

TEST_CASE("http server: requests whose callers have left are not handled") {
  // A process that stood still finds a backlog of connections; most of their
  // callers have given up meanwhile.
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.1:7100");
  std::set<std::string> handled;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&handled](const HttpRequest &request,
                 const std::shared_ptr<pollenring::Responder> &responder) {
        handled.insert(request.path);
        responder->Send({200, {}, {}});
      }};
  server.Open();
  std::vector<int> waiting;
  for (int i = 0; i < 60; ++i) {
    const int fd = SendRequest(address, "/" + std::to_string(i));
    if (i % 3 == 0) {
      waiting.push_back(fd);
      continue;
    }
    close(fd);
  }
  loop.After(300ms, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(handled.size() == waiting.size());
  for (int i = 0; i < 60; i += 3) {
    CHECK(handled.count("/" + std::to_string(i)) == 1);
  }
  for (const int fd : waiting) close(fd);
}

TEST_CASE("http server: what told that a caller has gone is passed on") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.2:7100");
  std::vector<std::shared_ptr<pollenring::Responder>> held;
  std::vector<pollenring::CallerLoss> losses;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&](const HttpRequest & /*request*/,
          const std::shared_ptr<pollenring::Responder> &responder) {
        responder->OnCancel(
            [&losses](pollenring::CallerLoss loss) { losses.push_back(loss); });
        held.push_back(responder);
      }};
  server.Open();
  const int leaves = SendRequest(address, "/leaves");
  const int waits = SendRequest(address, "/waits");
  loop.After(50ms, [leaves] { close(leaves); });
  loop.After(400ms, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(held.size() == 2);
  REQUIRE(losses.size() == 1);
  CHECK(losses[0] == pollenring::CallerLoss::kHungUp);
  close(waits);
}
