#include "pollenring/net/http1_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_server.h"
#include "support/http1_world.h"
#include "support/http2_caller.h"

namespace {

using namespace std::chrono_literals;
using World = support::Http1World;

[[nodiscard]] std::string Get(const std::string &path,
                              const std::string &fields = {}) {
  return "GET " + path + " HTTP/1.1\r\nhost: a\r\n" + fields + "\r\n";
}

[[nodiscard]] std::string Post(const std::string &path,
                               const std::string &body) {
  return "POST " + path + " HTTP/1.1\r\nhost: a\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

[[nodiscard]] std::string Ok(const std::string &body,
                             const std::string &fields = {}) {
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

constexpr const char *kCloses = "connection: close\r\n";

}  // namespace

TEST_CASE("http1 connection: pipelined GETs run at once, answered in order") {
  // Guards against requests run one by one, and responses in order of
  // completion, which callers would assign to the wrong requests.
  World world;
  world.Give(Get("/1") + Get("/2") + "HEAD /3 HTTP/1.1\r\nhost: a\r\n\r\n");
  world.Run();
  REQUIRE(world.requests.size() == 3);
  CHECK(world.server.InProgress() == 3);
  world.Answer(2, "third");
  world.Answer(1, "second");
  CHECK(world.Take().empty());
  world.Answer(0, "first");
  CHECK(world.Take() == Ok("first") + Ok("second") +
                            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");
  CHECK(world.server.InProgress() == 0);
}

TEST_CASE("http1 connection: a slow response holds back a bounded amount") {
  // Guards against a caller that makes the server hold any number of requests
  // or responses behind one slow request.
  World world;
  std::string many;
  for (int i = 0; i < 200; ++i) many += Get("/" + std::to_string(i));
  world.Give(many);
  world.Run();
  CHECK(world.requests.size() == 16);
  world.Answer(0, "x");
  world.Run();
  CHECK(world.requests.size() == 17);
  // One mebibyte waits behind the first; then no more is read.
  World large;
  large.Give(Get("/1") + Get("/2"));
  large.Run();
  large.Answer(1, std::string(std::size_t{1} << 20U, 'x'));
  large.Give(Get("/3"));
  large.Run();
  CHECK(large.requests.size() == 2);
  large.Answer(0, "x");
  for (int i = 0; i < 20; ++i) large.Take();
  CHECK(large.requests.size() == 3);
}

TEST_CASE("http1 connection: a POST between GETs runs alone") {
  // Guards against a request with effects that overtakes one ahead of it, or
  // is overtaken.
  World world;
  world.Give(Get("/1") + Post("/2", "body") + Get("/3") + Get("/4"));
  world.Run();
  REQUIRE(world.requests.size() == 1);
  world.Answer(0, "a");
  CHECK(world.Take() == Ok("a"));
  REQUIRE(world.requests.size() == 2);
  CHECK(world.requests[1].body == "body");
  world.Answer(1, "b");
  CHECK(world.Take() == Ok("b"));
  REQUIRE(world.requests.size() == 4);
}

TEST_CASE("http1 connection: nothing behind connection: close is handled") {
  // Guards against requests that run although their callers never get a
  // response, and against responses lost by a close with unread bytes.
  World world;
  world.Give(Get("/1") + Get("/2", kCloses) + Get("/3"));
  world.Run();
  REQUIRE(world.requests.size() == 2);
  world.Answer(1, "b");
  world.Answer(0, "a");
  CHECK(world.Take() == Ok("a") + Ok("b", kCloses));
  CHECK(world.ended);
}

TEST_CASE("http1 connection: a drain answers all pipelined requests") {
  // Guards against a close between the responses of a drained server.
  World world;
  world.Give(Get("/1") + Get("/2") + Post("/3", "x"));
  world.Run();
  world.server.Drain();
  world.Answer(0, "a");
  CHECK(world.Take() == Ok("a"));
  world.Answer(1, "b");
  CHECK(world.Take() == Ok("b"));
  REQUIRE(world.requests.size() == 3);
  world.Answer(2, "c");
  CHECK(world.Take() == Ok("c", kCloses));
  CHECK(world.ended);
}

TEST_CASE("http1 connection: a disconnect cancels all requests") {
  // Guards against work that goes on for a caller that has gone.
  World world;
  world.Give(Get("/1") + Get("/2") + Post("/3", "x"));
  world.Run();
  REQUIRE(world.requests.size() == 2);
  SECTION("closed") { REQUIRE(shutdown(world.fd, SHUT_RDWR) == 0); }
  SECTION("reset") {
    const linger reset_on_close{1, 0};
    setsockopt(world.fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close(world.fd);
    world.open.clear();
  }
  world.Run(350ms);
  CHECK(world.cancelled == 2);
  CHECK(world.requests.size() == 2);
  CHECK(world.server.InProgress() == 0);
  // Late responses must not touch the connection.
  world.Answer(0, "a");
}

TEST_CASE("http1 connection: 100 is sent when it is the request's turn") {
  // Guards against an interim response between those of earlier requests, and
  // callers that wait for it in vain.
  World world;
  const std::string head =
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n"
      "expect: 100-continue\r\n\r\n";
  world.Give(Get("/1") + head);
  CHECK(world.Take().empty());
  world.Answer(0, "a");
  CHECK(world.Take() == Ok("a") + "HTTP/1.1 100 Continue\r\n\r\n");
  world.Give("xy");
  world.Run();
  REQUIRE(world.requests.size() == 2);
  CHECK(world.requests[1].body == "xy");
  CHECK(pollenring::FindHeader(world.requests[1].headers, "expect").empty());
}

TEST_CASE("http1 connection: HTTP/1.0 and persistence") {
  // Guards against connections kept open for callers that wait for their end.
  World world{{}, true};
  world.Give("GET /1 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
  CHECK(world.Take() == Ok("/1", "connection: keep-alive\r\n"));
  world.Give("GET /2 HTTP/1.0\r\n\r\n");
  CHECK(world.Take() == Ok("/2", kCloses));
  CHECK(world.ended);
}

TEST_CASE("http1 connection: requests beyond limits are refused") {
  // Guards against memory that a caller takes by announcements or endless
  // heads, and against resets that lose the refusal.
  pollenring::HttpServerLimits limits;
  limits.max_body_bytes = 100;
  limits.max_head_bytes = 2000;
  limits.max_fields = 20;
  limits.header_timeout = 150ms;
  limits.idle_timeout = 150ms;
  World world{limits};
  const std::string chunk = "10\r\n" + std::string(16, 'x') + "\r\n";
  std::string chunks;
  for (int i = 0; i < 7; ++i) chunks += chunk;
  std::string fields;
  for (int i = 0; i < 21; ++i) fields += "a: b\r\n";
  const std::string coded =
      "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> cases{
      {"POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n", "413"},
      {coded + chunks, "413"},
      {coded + "1;" + std::string(3000, 'x'), "431"},
      {Get("/", "a: " + std::string(3000, 'x')), "431"},
      {"GET /" + std::string(3000, 'x'), "431"},
      {Get("/", fields), "431"},
      {Get("/", "expect: more\r\n"), "417"},
      {"GET / HTT", "408"},
      {coded + "5\r\nab", "408"}};
  for (const auto &[request, status] : cases) {
    CAPTURE(request);
    world.fd = world.Connect();
    world.Give(request);
    const std::string got = world.Take(status == "408" ? 350ms : 10ms);
    CHECK(got.substr(0, 12) == "HTTP/1.1 " + status);
    CHECK(world.ended);
  }
  CHECK(world.requests.empty());
  world.fd = world.Connect();
  CHECK(world.Take(350ms).empty());
  CHECK(world.ended);
}

TEST_CASE("http1 connection: malformed requests get 400") {
  // Guards against requests that another server would frame differently.
  World world;
  const std::string post = "POST / HTTP/1.1\r\nhost: a\r\n";
  const std::vector<std::string> cases{
      post + "transfer-encoding: gzip\r\n\r\n",
      post + "transfer-encoding: gzip, chunked\r\n\r\n",
      post + "transfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n",
      post + "content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
      post + "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
      post + "content-length: 1\r\ncontent-length: 1\r\n\r\n",
      post + "content-length: 1, 1\r\n\r\n",
      post + "content-length: -1\r\n\r\n",
      post + "transfer-encoding: chunked\r\n\r\nx\r\n",
      post + "transfer-encoding: chunked\r\n\r\n1\r\nabc\r\n",
      post + "transfer-encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
      "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
      "GET / HTTP/1.1\nhost: a\n\n",
      "GET / HTTP/1.1\r\nhost: a\nb: c\r\n\r\n",
      Get("/", "na me: x\r\n"),
      Get("/", "name : x\r\n"),
      Get("/", " folded\r\n"),
      Get("/", "host: b\r\n"),
      Get("/", std::string{"a: b\0c\r\n", 8}),
      "GET / HTTP/2.0\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "\x16\x03\x01\r\n\r\n"};
  for (const auto &request : cases) {
    CAPTURE(request);
    world.fd = world.Connect();
    world.Give(request);
    CHECK(world.Take().substr(0, 24) == "HTTP/1.1 400 Bad Request");
    CHECK(world.ended);
  }
  CHECK(world.requests.empty());
}

TEST_CASE("http1 connection: connections follow the buffer budget") {
  // Guards against bodies and responses that aren't accounted for, so that
  // callers who never end or never read take all memory.
  const pollenring::SystemClock clock;
  pollenring::BufferBudget budget{{200'000, 50'000}, clock};
  pollenring::HttpServerLimits limits;
  limits.budget = &budget;
  World world{limits};
  SECTION("bodies that never end") {
    std::string body = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    for (int i = 0; i < 49; ++i)
      body += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
    for (int i = 0; i < 8; ++i) {
      world.fd = world.Connect();
      world.Give(body);
      world.Run();
      CHECK(budget.Counts().total <= budget.MaxBytes());
    }
    int refused = 0;
    for (const int caller : world.open) {
      world.fd = caller;
      const std::string got = world.Take();
      if (got.empty()) continue;
      ++refused;
      CHECK(got ==
            "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
            "content-length: 0\r\nconnection: close\r\n\r\n");
    }
    CHECK(refused >= 1);
    CHECK(world.requests.empty());
    world.fd = world.Connect();
    world.Give(Get("/"));
    world.Run(250ms);
    CHECK(world.requests.size() == 1);
  }
  SECTION("a response that nobody reads") {
    world.Give(Get("/"));
    world.Run();
    REQUIRE(budget.Counts().bytes[1] > 0);
    const std::size_t size = std::size_t{32} << 20U;
    world.Answer(0, std::string(size, 'x'));
    world.Run(250ms);
    CHECK(world.Take().size() < size);
    char left{};
    const auto end = recv(world.fd, &left, 1, MSG_DONTWAIT);
    CHECK((end == 0 || errno == ECONNRESET));
    CHECK(budget.Counts().total == 0);
    CHECK(budget.Counts().evicted[1] == 1);
  }
}

TEST_CASE("http1 connection: HTTP/2 is served on the same port") {
  // Guards against a preface that is lost or answered as HTTP/1.1.
  World world{{}, true};
  support::Http2Caller caller;
  const std::string output = caller.Get("/two");
  // The preface arrives in two pieces.
  world.Give(output.substr(0, 10));
  world.Run();
  world.Give(output.substr(10));
  static_cast<void>(caller.Read(world.Take(30ms)));
  CHECK(caller.body == "/two");
}

TEST_CASE("http server: a response is unwritten until its caller has read it") {
  // Guards against a process that ends, as it seems to owe nothing, while a
  // caller still reads slowly.
  const std::string response(std::size_t{32} << 20U, 'x');
  World world;
  const auto answer = [&] {
    world.Run();
    REQUIRE(world.requests.size() == 1);
    CHECK(world.server.Unwritten() == 0);
    world.Answer(0, response);
    world.Run();
    CHECK(world.server.InProgress() == 0);
    CHECK(world.server.Unwritten() == 1);
  };
  const auto disconnect = [&world] {
    close(world.fd);
    world.open.pop_back();
    world.Run(150ms);
  };
  SECTION("HTTP/1.1, read") {
    world.Give(Get("/1"));
    answer();
    for (int i = 0; i < 200 && world.server.Unwritten() > 0; ++i) world.Take();
    CHECK(world.server.Unwritten() == 0);
  }
  SECTION("HTTP/1.1, disconnected") {
    world.Give(Get("/1"));
    answer();
    disconnect();
    CHECK(world.server.Unwritten() == 0);
  }
  SECTION("HTTP/2, read") {
    support::Http2Caller caller;
    world.Give(caller.Get("/1"));
    answer();
    for (int i = 0; i < 2000 && world.server.Unwritten() > 0; ++i)
      world.Give(caller.Read(world.Take(1ms)));
    CHECK(world.server.Unwritten() == 0);
    static_cast<void>(caller.Read(world.Take()));
    CHECK(caller.body.size() == response.size());
  }
  SECTION("HTTP/2, disconnected") {
    support::Http2Caller caller;
    world.Give(caller.Get("/1"));
    answer();
    disconnect();
    CHECK(world.server.Unwritten() == 0);
  }
}
