#include <catch2/catch.hpp>
#include <csignal>

#include "pollenring/core/hash.h"
#include "pollenring/core/request_id.h"
#include "support/cluster.h"
#include "support/stream.h"

namespace {

using pollenring::FindHeader;
using pollenring::HttpRequest;
using support::Cluster;
using support::Prepare;

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;

}  // namespace

TEST_CASE("node: a request is served three services deep through any node") {
  Cluster cluster{1};
  Prepare(cluster);
  const std::string key = cluster.IssueKey(2, "club");
  REQUIRE_FALSE(key.empty());
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5, 6}, 6));
  for (int i = 1; i <= 6; ++i) {
    cluster.ControlTarget(i, {{"forbidden", {key, "prk_"}}});
  }
  for (int node = 1; node <= 6; ++node) {
    const auto response = cluster.Get(node, "/front/week", key);
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(FindHeader(response->headers, "pollenring-outcome") == "ran");
  }

  SECTION("no key, a wrong key, an unknown service and a wrong caller") {
    const auto status = [&](const HttpRequest &request) {
      const auto response = cluster.Call(cluster.Callers(1), request);
      return response ? response->status : 0;
    };
    CHECK(status({"GET", "/front/week", {}, {}}) == 401);
    CHECK(status({"GET", "/front/week", {{"pollenring-key", "no"}}, {}}) ==
          401);
    CHECK(status({"GET", "/none/x", {{"pollenring-key", key}}, {}}) == 404);
    CHECK(status({"GET", "/middle/x", {{"pollenring-key", key}}, {}}) == 403);
    CHECK(status({"GET", "/front/about", {}, {}}) == 200);
    // A key that would be forwarded is refused; a forged context is dropped.
    CHECK(status({"GET", "/front/a?k=" + key, {{"pollenring-key", key}}, {}}) ==
          400);
    CHECK(status({"GET",
                  "/front/a",
                  {{"pollenring-key", key}, {"pollenring-context", "guess"}},
                  {}}) == 200);
  }

  SECTION("large answers and bodies pass byte for byte, larger ones get 413") {
    const auto size = std::to_string(16 * kMebibyte);
    const auto large = cluster.Get(1, "/back/pack?bytes=" + size, key);
    REQUIRE(large);
    CHECK(large->status == 200);
    CHECK(large->body == std::string(16 * kMebibyte, 'x'));
    std::string body(16 * kMebibyte, 'a');
    for (std::size_t i = 0; i < body.size(); i += 4096) body[i] = 'b';
    const auto id =
        pollenring::NewRequestId(cluster.clock.WallNow(), cluster.random);
    const auto echoed = cluster.Post(2, "/orders/new", key, id, body);
    REQUIRE(echoed);
    CHECK(echoed->status == 200);
    CHECK(echoed->body == body);
    const auto refused = cluster.Post(2, "/orders/new", key, id + "x",
                                      std::string(20 * kMebibyte, 'a'));
    CHECK((!refused || refused->status == 413));
    CHECK(cluster.Get(2, "/front/week", key)->status == 200);
  }

  SECTION("a sub-call with a guessed context is refused") {
    const auto response =
        cluster.Call(cluster.At(3, 7001),
                     {"GET", "/back/x", {{"pollenring-context", "guess"}}, {}});
    REQUIRE(response);
    CHECK(response->status == 403);
  }

  for (int i = 1; i <= 6; ++i) {
    CHECK(cluster.Report(i).value("forbidden_seen", 1) == 0);
  }
}

TEST_CASE("node: one killed node, target or platform leaves the rest serving") {
  Cluster cluster{2};
  Prepare(cluster);
  const std::string key = cluster.IssueKey(1, "club");
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5, 6}, 6));
  const auto serves = [&](int node) {
    return cluster.Await(
        [&] {
          int good = 0;
          for (int i = 0; i < 20; ++i) {
            const auto response = cluster.Get(node, "/front/week", key);
            if (response && response->status == 200) ++good;
          }
          return good == 20;
        },
        std::chrono::seconds{20});
  };
  REQUIRE(serves(5));
  cluster.Signal("platform", SIGKILL);
  CHECK(serves(5));
  cluster.Signal("target4", SIGKILL);
  CHECK(serves(5));
  cluster.Signal("node2", SIGKILL);
  CHECK(serves(5));
  CHECK(serves(6));
}

TEST_CASE("node: a node without configuration accepts no callers") {
  Cluster cluster{5};
  cluster.StartNode(1, "a");
  cluster.StartTarget(1, {"front", 16, 2, ""});
  REQUIRE(cluster.AwaitReady({1}, 1));
  // Callers whose connection is refused try another node, whereas 404 from a
  // node without configuration would be final, and wrong.
  CHECK_FALSE(cluster.Get(1, "/front/about", ""));
  REQUIRE(cluster.Publish(1, support::GraphDocuments()) == 200);
  CHECK(cluster.Await(
      [&] {
        const auto response = cluster.Get(1, "/front/about", "");
        return response && response->status == 200;
      },
      std::chrono::seconds{2}));
}

TEST_CASE("node: sub-calls end when the caller disconnects") {
  Cluster cluster{4};
  Prepare(cluster);
  const std::string key = cluster.IssueKey(1, "club");
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5, 6}, 6));
  cluster.ControlTarget(5, {{"latency_ms", 15'000}});
  // Most targets don't notice that their caller has disconnected.
  for (const int i : {1, 2, 3, 4}) {
    cluster.ControlTarget(i, {{"keeps_calls", true}});
  }
  const auto in_progress = [&] {
    int sum = 0;
    for (const int node : {1, 2, 3, 4, 5}) {
      sum += cluster.Status(node).value("in_progress", 0);
    }
    return sum;
  };
  const HttpRequest request{
      "GET", "/front/week", {{"pollenring-key", key}}, {}};
  for (int i = 0; i < 4; ++i) {
    const auto response = cluster.Call(cluster.Callers(1), request,
                                       std::chrono::milliseconds{300});
    CHECK_FALSE(response);
  }
  CHECK(cluster.Await([&] { return in_progress() == 0; },
                      std::chrono::milliseconds{500}));
}

TEST_CASE("node: bad input on every port leaves the node serving") {
  Cluster cluster{3};
  Prepare(cluster);
  const std::string key = cluster.IssueKey(1, "club");
  const std::vector<std::string> inputs{
      "GET / HTTP/1.1\r\n", std::string(70'000, 'A'),
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(200, '\xff'),
      std::string(100, '\0'), "POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n"};
  for (const std::uint16_t port : {7000, 7001, 7002, 7003}) {
    for (const auto &input : inputs) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const auto native = cluster.At(1, port).Native();
      REQUIRE(connect(fd, reinterpret_cast<const sockaddr *>(&native),
                      sizeof(native)) == 0);
      send(fd, input.data(), input.size(), MSG_NOSIGNAL);
      close(fd);
      const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
      sendto(datagrams, input.data(), input.size(), 0,
             reinterpret_cast<const sockaddr *>(&native), sizeof(native));
      close(datagrams);
    }
  }
  CHECK(cluster.Await(
      [&] {
        const auto response = cluster.Get(1, "/front/week", key);
        return response && response->status == 200;
      },
      std::chrono::seconds{10}));
  // Without the operators' secret nothing can be read or changed.
  const auto response =
      cluster.Call(cluster.At(1, 7003), {"GET", "/status", {}, {}});
  REQUIRE(response);
  CHECK(response->status == 401);
}
