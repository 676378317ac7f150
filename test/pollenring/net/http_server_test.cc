#include "pollenring/net/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "pollenring/net/http_client.h"
#include "pollenring/net/listen.h"
#include "pollenring/net/loop.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::Duration;
using pollenring::HttpRequest;
using pollenring::HttpServer;
using pollenring::HttpServerLimits;
using pollenring::Loop;

/*! @brief Connects and sends a request before the server accepts the
 * connection. */
[[nodiscard]] int SendRequest(const Address &to, const std::string &path,
                              int receive_bytes = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const sockaddr_in native = to.Native();
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr *>(&native),
                  sizeof(native)) == 0);
  const std::string request = "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
  REQUIRE(send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  return fd;
}

}  // namespace

TEST_CASE("http server: requests of disconnected callers are not handled") {
  // After a stall, the process finds a backlog of connections; most of the
  // callers have hung up.
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

TEST_CASE("http server: an error in one request's handler affects no other") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.2:7100");
  std::vector<std::shared_ptr<pollenring::Responder>> held;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&held](const HttpRequest &request,
              const std::shared_ptr<pollenring::Responder> &responder) {
        if (request.path == "/broken") {
          // A callback that keeps the responder alive must not block the
          // response.
          responder->OnCancel([responder](pollenring::CallerDisconnect) {});
          throw std::out_of_range{"in a handler"};
        }
        held.push_back(responder);
      }};
  server.Open();
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  std::vector<int> statuses;
  const auto call = [&](const std::string &path) {
    client.Call(address, {"GET", path, {}, {}, {}}, 3s,
                [&](const pollenring::HttpClient::Reply &reply) {
                  const auto *got =
                      std::get_if<pollenring::HttpResponse>(&reply);
                  statuses.push_back(got == nullptr ? 0 : got->status);
                });
  };
  const auto run = [&loop] {
    loop.After(50ms, [&loop] { loop.Stop(); });
    loop.Resume();
    loop.Run();
  };
  // Kept-alive connections, each with a second request in progress.
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 4; ++i) call("/held");
    run();
    REQUIRE(held.size() == 4);
    if (round == 1) call("/broken");
    run();
    for (const auto &responder : std::exchange(held, {})) {
      responder->Send({200, {}, {}});
    }
    run();
  }
  // 502: the failed request may have been executed.
  CHECK(statuses ==
        std::vector<int>{200, 200, 200, 200, 502, 200, 200, 200, 200});
  CHECK(server.InProgress() == 0);
}

TEST_CASE("http server: a half-closed caller gets 502") {
  // After a half-close the caller may still read. The response must be 502,
  // since the handled request may have been executed.
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.3:7100");
  std::vector<std::shared_ptr<pollenring::Responder>> held;
  int cancelled = 0;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&](const HttpRequest & /*request*/,
          const std::shared_ptr<pollenring::Responder> &responder) {
        responder->OnCancel(
            [&cancelled](pollenring::CallerDisconnect) { ++cancelled; });
        held.push_back(responder);
      }};
  server.Open();
  const int fd = SendRequest(address, "/held");
  const auto run = [&loop](Duration length) {
    loop.After(length, [&loop] { loop.Stop(); });
    loop.Resume();
    loop.Run();
  };
  run(20ms);
  REQUIRE(held.size() == 1);
  REQUIRE(shutdown(fd, SHUT_WR) == 0);
  run(350ms);
  CHECK(cancelled == 1);
  std::string response(4096, '\0');
  const auto size = recv(fd, response.data(), response.size(), MSG_DONTWAIT);
  REQUIRE(size > 0);
  response.resize(static_cast<std::size_t>(size));
  CHECK(response.substr(0, 12) == "HTTP/1.1 502");
  close(fd);
}

TEST_CASE("http server: the kind of a caller's disconnect is reported") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.4:7100");
  std::vector<std::shared_ptr<pollenring::Responder>> held;
  std::vector<pollenring::CallerDisconnect> losses;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&](const HttpRequest & /*request*/,
          const std::shared_ptr<pollenring::Responder> &responder) {
        responder->OnCancel([&losses](pollenring::CallerDisconnect loss) {
          losses.push_back(loss);
        });
        held.push_back(responder);
      }};
  server.Open();
  const int disconnecting = SendRequest(address, "/leaves");
  const int waiting = SendRequest(address, "/waits");
  loop.After(50ms, [disconnecting] { close(disconnecting); });
  loop.After(400ms, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(held.size() == 2);
  REQUIRE(losses.size() == 1);
  CHECK(losses[0] == pollenring::CallerDisconnect::kHungUp);
  close(waiting);
}

TEST_CASE("http server: a response during drain survives pipelined requests") {
  // A draining server closes the connection after each response. Closing with
  // unread bytes resets the connection, and the caller loses the part of the
  // response still in flight.
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.1.5:7100");
  std::vector<std::shared_ptr<pollenring::Responder>> held;
  HttpServer server{
      loop, address, HttpServerLimits{},
      [&held](const HttpRequest & /*request*/,
              const std::shared_ptr<pollenring::Responder> &responder) {
        held.push_back(responder);
      }};
  server.Open();
  const auto run = [&loop](Duration length) {
    loop.After(length, [&loop] { loop.Stop(); });
    loop.Resume();
    loop.Run();
  };
  // The small receive buffer keeps most of the response in flight after the
  // server has written it.
  const int fd = SendRequest(address, "/first", 4096);
  run(20ms);
  REQUIRE(held.size() == 1);
  const std::string next = "GET /next HTTP/1.1\r\nhost: a\r\n\r\n";
  REQUIRE(send(fd, next.data(), next.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(next.size()));
  run(300ms);
  server.Drain();
  const std::string body(std::size_t{1} << 20U, 'x');
  held.front()->Send({200, {}, body});
  std::string got;
  std::vector<char> buffer(std::size_t{1} << 16U);
  // The pipelined request gets its response immediately.
  for (int i = 0; i < 600; ++i) {
    run(1ms);
    if (held.size() == 2) held[1]->Send({200, {}, "second"});
    while (true) {
      const auto size = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size <= 0) break;
      got.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }
  const auto head = got.find("\r\n\r\n");
  REQUIRE(head != std::string::npos);
  CHECK(got.substr(0, 12) == "HTTP/1.1 200");
  CHECK(got.size() - head - 4 >= body.size());
  close(fd);
}

TEST_CASE("http server: connections of callers that vanish don't stay") {
  const Address address = *Address::Parse("127.42.1.9:7100");
  const int listener = pollenring::ListenTcp(address);
  const int caller = SendRequest(address, "/");
  const int accepted = accept(listener, nullptr, nullptr);
  REQUIRE(accepted >= 0);
  const auto option = [accepted](int level, int name) {
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(getsockopt(accepted, level, name, &value, &size) == 0);
    return value;
  };
  CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
  const int found_after_s =
      option(IPPROTO_TCP, TCP_KEEPIDLE) +
      option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
  CHECK(found_after_s <= 30);
  for (const int fd : {listener, caller, accepted}) close(fd);
}
