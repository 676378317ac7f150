#include "pollenring/net/http_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <optional>

#include "pollenring/net/loop.h"
#include "support/endless_peer.h"
#include "support/late_reader.h"
#include "support/raw_peer.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CallError;
using pollenring::CorrelationHeader;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::PeerEnd;
using support::PeerScript;
using support::RawPeer;

constexpr std::size_t kMaxBody = std::size_t{1} << 20U;
constexpr std::size_t kMaxHeld = 2 * kMaxBody;

/*! @brief A client with synchronous calls. */
class Caller {
 public:
  Caller() {
    // A write to a connection that was reset raises it; daemons ignore it.
    std::signal(SIGPIPE, SIG_IGN);
    this->loop.Every(1ms, [this] {
      this->most_held = std::max(this->most_held, this->client.BufferedBytes());
    });
  }

  HttpClient::Reply Call(const RawPeer &peer, const std::string &id = "own",
                         const std::string &body = {}) {
    return this->Call(peer.ListenAddress(), id, body);
  }

  HttpClient::Reply Call(const pollenring::Address &to,
                         const std::string &id = "own",
                         const std::string &body = {}) {
    std::optional<HttpClient::Reply> reply;
    const HttpRequest request{
        body.empty() ? "GET" : "POST", "/x", {{"mark", id}}, body, {}};
    this->client.Call(
        to, request, 2s,
        [&](HttpClient::Reply given) {
          reply = std::move(given);
          this->loop.Stop();
        },
        CorrelationHeader{"mark", id});
    this->loop.Resume();
    this->loop.Run();
    return std::move(*reply);
  }

  /*! @brief Starts a call without waiting for its response. */
  void Start(const pollenring::Address &to, const std::string &body) {
    this->client.Call(to, {"POST", "/x", {}, body, {}}, 2s,
                      [](const HttpClient::Reply & /*reply*/) {});
  }

  [[nodiscard]] std::size_t Held() const {
    return this->client.BufferedBytes();
  }

  /*! @brief Maximum of buffered response bytes, sampled every millisecond. */
  [[nodiscard]] std::size_t MostHeld() const { return this->most_held; }

  void Run(pollenring::Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

 private:
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  HttpClient client{loop, {kMaxBody, kMaxHeld}};
  std::size_t most_held{};
};

[[nodiscard]] std::string Answer(const std::string &id,
                                 const std::string &body) {
  return "HTTP/1.1 200 OK\r\nmark: " + id +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

[[nodiscard]] std::string BodyOf(const HttpClient::Reply &reply) {
  const auto *response = std::get_if<HttpResponse>(&reply);
  return response == nullptr ? "no answer" : response->body;
}

[[nodiscard]] bool IsBroken(const HttpClient::Reply &reply) {
  const auto *error = std::get_if<CallError>(&reply);
  return error != nullptr && *error == CallError::kInvalidResponse;
}

}  // namespace

TEST_CASE("http client: a truncated response is never complete") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nmark: own\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\nmark: own\r\n";
  const auto [name, bytes] = GENERATE_COPY(table<std::string, std::string>(
      {{"in the head", head},
       {"in a length", head + "content-length: 9\r\n\r\nfour"},
       {"in a chunk", chunked + "9\r\nfour"},
       {"before the last chunk", chunked + "4\r\nfour\r\n"},
       {"with a broken chunk", chunked + "zz\r\nfour\r\n0\r\n\r\n"},
       {"not HTTP", "hello there\r\n\r\n"},
       {"nothing", ""}}));
  const PeerEnd end = GENERATE(PeerEnd::kClose, PeerEnd::kReset);
  CAPTURE(name);
  RawPeer peer{{{{bytes}, end}}};
  Caller caller;
  CHECK(IsBroken(caller.Call(peer)));
}

TEST_CASE("http client: a response without a length needs an orderly close") {
  const std::string bytes = "HTTP/1.1 200 OK\r\nmark: own\r\n\r\nall of it";
  Caller caller;
  RawPeer orderly{{{{bytes}, PeerEnd::kClose}}};
  CHECK(BodyOf(caller.Call(orderly)) == "all of it");
  RawPeer broken{{{{bytes}, PeerEnd::kReset}}};
  CHECK(IsBroken(caller.Call(broken)));
}

TEST_CASE(
    "http client: a response cut by a reset during the upload is not "
    "complete") {
  // The failed write takes the socket's error, and the next read sees the end
  // of the stream.
  const std::string cut =
      GENERATE(std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n\r\npart of"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n\r\n"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n"
                           "connection: close\r\n\r\npart of"});
  const PeerEnd end = GENERATE(PeerEnd::kReset, PeerEnd::kHalfCloseReset);
  const auto pause = GENERATE(0ms, 5ms, 40ms);
  CAPTURE(cut, pause.count());
  // Larger than the kernel's buffers, so that its write is not over.
  const std::string upload(std::size_t{24} << 20U, 'u');
  RawPeer peer{{{{cut}, end, pause}}};
  Caller caller;
  CHECK(IsBroken(caller.Call(peer, "own", upload)));
}

TEST_CASE("http client: an orderly end before the upload is read is awaited") {
  const std::string bytes = "HTTP/1.1 200 OK\r\nmark: own\r\n\r\nall of it";
  const std::string upload(std::size_t{24} << 20U, 'u');
  RawPeer peer{{{{bytes}, PeerEnd::kHalfClose, 20ms}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer, "own", upload)) == "all of it");
}

TEST_CASE("http client: a response with an invalid head fails the call") {
  const std::string bytes =
      GENERATE(std::string{"HTTP/1.1 000 -\r\nmark: own\r\n"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\nx y: 1\r\n"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\nx\x01: 1\r\n"}) +
      "content-length: 2\r\n\r\nok" + Answer("own", "behind it");
  RawPeer peer{{{{bytes}, PeerEnd::kKeep}}};
  Caller caller;
  CHECK(IsBroken(caller.Call(peer)));
}

TEST_CASE("http client: a surplus response is dropped with its connection") {
  RawPeer peer{{{{Answer("own", "first") + Answer("own", "second")}, {}},
                {{Answer("next", "third")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "first");
  CHECK(BodyOf(caller.Call(peer, "next")) == "third");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE("http client: a response to another request is skipped") {
  RawPeer peer{{{{Answer("own", "first"),
                  Answer("own", "late") + Answer("next", "second")},
                 {}},
                {{Answer("last", "third")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "first");
  CHECK(BodyOf(caller.Call(peer, "next")) == "second");
  // The connection carried an extra response and is not reused.
  CHECK(BodyOf(caller.Call(peer, "last")) == "third");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE(
    "http client: a late copy of a rejection is no response to the same "
    "request sent again") {
  // Guards against: a rejected request that has run is taken as not run, and
  // sent once more. Both sendings have the same identifier.
  const std::string rejection =
      "HTTP/1.1 503 Service Unavailable\r\nmark: own\r\n"
      "content-length: 4\r\n\r\nfull";
  RawPeer peer{
      {{{rejection, rejection + Answer("own", "on one connection")}, {}},
       {{Answer("own", "has run"), Answer("next", "reused")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "full");
  CHECK(BodyOf(caller.Call(peer)) == "has run");
  // Other requests still use the connections.
  CHECK(BodyOf(caller.Call(peer, "next")) == "reused");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE(
    "http client: a late copy of an unidentified rejection is no response to "
    "another request") {
  // Guards against: a request that has run is taken as rejected, because the
  // copy names no request.
  const std::string rejection =
      "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nfull";
  RawPeer peer{
      {{{rejection, rejection + Answer("next", "on one connection")}, {}},
       {{Answer("next", "has run")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "full");
  CHECK(BodyOf(caller.Call(peer, "next")) == "has run");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE("http client: a kept-alive connection is reused") {
  RawPeer peer{{{{Answer("own", "first"), Answer("next", "second")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "first");
  CHECK(BodyOf(caller.Call(peer, "next")) == "second");
  CHECK(peer.Accepted() == 1);
}

TEST_CASE("http client: a connection is not reused beyond its idle time-out") {
  const auto brief = [](const std::string &id) {
    return "HTTP/1.1 200 OK\r\nmark: " + id +
           "\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
  };
  RawPeer peer{{{{brief("own")}, {}}, {{brief("next")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "ok");
  caller.Run(900ms);
  CHECK(BodyOf(caller.Call(peer, "next")) == "ok");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE("http client: interim responses are skipped") {
  RawPeer peer{{{{"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" +
                  Answer("own", "final")},
                 {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer)) == "final");
}

TEST_CASE(
    "http client: a response before the end of the request is delivered") {
  // The body exceeds the kernel's buffers, and the peer reads only the head.
  const std::string body(std::size_t{24} << 20U, 'b');
  RawPeer peer{
      {{{Answer("own", "early")}, {}}, {{Answer("next", "next")}, {}}}};
  Caller caller;
  CHECK(BodyOf(caller.Call(peer, "own", body)) == "early");
  // The old connection still expects the rest of the body, so it must not be
  // reused.
  CHECK(BodyOf(caller.Call(peer, "next")) == "next");
  CHECK(peer.Accepted() == 2);
}

TEST_CASE("http client: a peer that reads late doesn't abort the process") {
  // Written outside the loop's callbacks, a request may fill the peer's buffers
  // exactly; the socket then becomes writable after the write completed, on
  // which h2o aborts unless completed writes are reported before it polls.
  for (std::size_t size = 100'000; size < 6'000'000; size += size / 4) {
    const support::LateReader peer{300ms};
    Caller caller;
    REQUIRE(std::holds_alternative<HttpResponse>(
        caller.Call(peer.ListenAddress())));
    caller.Start(peer.ListenAddress(), std::string(size, 'x'));
    caller.Run(600ms);
  }
  SUCCEED();
}

TEST_CASE("http client: an endless response takes bounded memory and time") {
  const std::string piece = GENERATE(
      // In the status line, a header name or value, and between headers.
      std::string{"x"}, std::string{"HTTP/1.1 200 "} + std::string(4000, 'x'),
      std::string{"HTTP/1.1 200 OK\r\nmark: own\r\nx-"},
      std::string{"HTTP/1.1 100 Continue\r\n\r\n"},
      // Responses to other requests.
      std::string{"HTTP/1.1 200 OK\r\nmark: other\r\ncontent-length: 0\r\n"
                  "\r\n"});
  CAPTURE(piece.substr(0, 40));
  support::EndlessPeer peer{{}, piece};
  Caller caller;
  const auto reply = caller.Call(peer.ListenAddress());
  CHECK(std::holds_alternative<CallError>(reply));
  CHECK(caller.MostHeld() <= kMaxBody);
  CHECK(peer.Closed());
}

TEST_CASE("http client: responses to other requests only fail a call early") {
  support::EndlessPeer peer{{},
                            "HTTP/1.1 200 OK\r\nmark: other\r\n"
                            "content-length: 0\r\n\r\n"};
  Caller caller;
  const auto reply = caller.Call(peer.ListenAddress());
  // Fails before the time-out.
  REQUIRE(std::holds_alternative<CallError>(reply));
  CHECK(std::get<CallError>(reply) == CallError::kInvalidResponse);
}

TEST_CASE("http client: an endless body fails the call with any framing") {
  const std::string head =
      GENERATE(std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n\r\n"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n"
                           "content-length: 99999999999\r\n\r\n"},
               std::string{"HTTP/1.1 200 OK\r\nmark: own\r\n"
                           "transfer-encoding: chunked\r\n\r\n"});
  const bool chunked = head.find("chunked") != std::string::npos;
  const bool trailers = chunked && GENERATE(false, true);
  const std::string piece = chunked
                                ? "400\r\n" + std::string(0x400, 'b') + "\r\n"
                                : std::string(1000, 'b');
  CAPTURE(head, trailers);
  support::EndlessPeer peer{trailers ? head + "0\r\n" : head,
                            trailers ? std::string{"x-t: 1\r\n"} : piece};
  Caller caller;
  const auto reply = caller.Call(peer.ListenAddress());
  CHECK(std::holds_alternative<CallError>(reply));
  CHECK(caller.MostHeld() <= 2 * kMaxBody);
  CHECK(peer.Closed());
}

TEST_CASE("http client: many endless bodies stay within the buffer limit") {
  std::vector<std::unique_ptr<support::EndlessPeer>> peers;
  Caller caller;
  for (int i = 0; i < 6; ++i) {
    peers.push_back(std::make_unique<support::EndlessPeer>(
        "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'b')));
    caller.Start(peers.back()->ListenAddress(), "x");
  }
  caller.Run(1s);
  CHECK(caller.MostHeld() <= kMaxHeld + kMaxBody);
  CHECK(caller.MostHeld() > 0);
  CHECK(caller.Held() <= kMaxHeld);
}
