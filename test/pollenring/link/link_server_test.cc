#include "pollenring/link/link_server.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
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

constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20U;

}  // namespace

TEST_CASE("link server: a message cancelled while unread is not handled") {
  // After a stall, the server reads messages and their cancellations in one
  // read.
  const pollenring::SystemClock clock;
  Loop stalled{clock};
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.2.1:7100");
  std::vector<std::string> handled;
  const LinkServer server{
      stalled, address, "secret", kMaxBodyBytes,
      [&handled](const std::string &path, const std::string & /*body*/,
                 const std::shared_ptr<LinkResponder> &responder) {
        handled.push_back(path);
        responder->Send({});
      }};
  LinkClient client{loop, "secret", kMaxBodyBytes};
  const auto run = [](Loop &which, pollenring::Duration length) {
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
  run(stalled, 50ms);
  CHECK(handled == std::vector<std::string>{"0"});
}

TEST_CASE("link server: a message of a disconnected peer is not handled") {
  // The server's process stalls for longer than the peer's ping time-out; the
  // peer has sent its message to another node by then.
  std::signal(SIGPIPE, SIG_IGN);
  const pollenring::SystemClock clock;
  Loop stalled{clock};
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.2.2:7100");
  std::vector<std::string> handled;
  const LinkServer server{
      stalled, address, "secret", kMaxBodyBytes,
      [&handled](const std::string &path, const std::string & /*body*/,
                 const std::shared_ptr<LinkResponder> &responder) {
        handled.push_back(path);
        responder->Send({});
      }};
  LinkClient client{loop, "secret", kMaxBodyBytes};
  const auto run = [](Loop &which, pollenring::Duration length) {
    which.After(length, [&which] { which.Stop(); });
    which.Resume();
    which.Run();
  };
  int lost = 0;
  client.Call(address, "late", "x", 5s, [&](LinkClient::Reply reply) {
    const auto *error = std::get_if<pollenring::LinkError>(&reply);
    if (error != nullptr && *error == pollenring::LinkError::kLost) ++lost;
  });
  run(loop, 1500ms);
  REQUIRE(lost == 1);
  run(stalled, 50ms);
  CHECK(handled.empty());
  // The next connection is served normally.
  std::vector<std::string> expected{"next"};
  client.Call(address, "next", "x", 5s, [](const LinkClient::Reply &) {});
  run(loop, 20ms);
  run(stalled, 50ms);
  CHECK(handled == expected);
}

TEST_CASE("link server: an error in one message's handler affects no other") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.2.3:7100");
  std::vector<std::shared_ptr<LinkResponder>> held;
  const LinkServer server{
      loop, address, "secret", kMaxBodyBytes,
      [&held](const std::string &path, const std::string & /*body*/,
              const std::shared_ptr<LinkResponder> &responder) {
        if (path == "broken") throw std::out_of_range{"in a handler"};
        responder->OnCancel([] { throw std::out_of_range{"in a hang-up"}; });
        held.push_back(responder);
      }};
  LinkClient client{loop, "secret", kMaxBodyBytes};
  const auto run = [&loop] {
    loop.After(50ms, [&loop] { loop.Stop(); });
    loop.Resume();
    loop.Run();
  };
  int answered = 0;
  int lost = 0;
  const auto count = [&](const LinkClient::Reply &reply) {
    const auto *error = std::get_if<pollenring::LinkError>(&reply);
    if (error == nullptr) ++answered;
    if (error != nullptr && *error == pollenring::LinkError::kLost) ++lost;
  };
  for (int i = 0; i < 3; ++i) client.Call(address, "held", "x", 5s, count);
  const auto given_up = client.Call(address, "held", "x", 5s, count);
  client.Call(address, "broken", "x", 5s, count);
  run();
  REQUIRE(held.size() == 4);
  // The failed message's stream is reset, so the peer doesn't wait.
  CHECK(lost == 1);
  client.Cancel(given_up);
  run();
  for (const auto &responder : held) responder->Send("answer");
  run();
  CHECK(answered == 3);
  CHECK(lost == 1);
}

TEST_CASE("link: a reply over the limit is never complete") {
  // Its last bytes may arrive in the read in which the stream is reset.
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.2.4:7100");
  const LinkServer server{
      loop, address, "secret", kMaxBodyBytes,
      [](const std::string & /*path*/, const std::string & /*body*/,
         const std::shared_ptr<LinkResponder> &responder) {
        responder->Send(std::string(2000, 'r'));
      }};
  LinkClient client{loop, "secret", 1000};
  int replies = 0;
  int errors = 0;
  client.Call(address, "x", "y", 1s, [&](const LinkClient::Reply &reply) {
    ++(std::holds_alternative<std::string>(reply) ? replies : errors);
  });
  loop.After(200ms, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(replies == 0);
  CHECK(errors == 1);
}

TEST_CASE(
    "link server: a withdrawn message that waits gets its reply at once") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  const Address address = *Address::Parse("127.42.3.1:7100");
  std::vector<std::shared_ptr<LinkResponder>> waiting;
  const LinkServer server{
      loop, address, "secret", kMaxBodyBytes,
      [&waiting](const std::string &path, const std::string & /*body*/,
                 const std::shared_ptr<LinkResponder> &responder) {
        waiting.push_back(responder);
        // A message that has begun stays, however often it is withdrawn.
        if (path == "begun") return;
        responder->OnWithdraw([responder = std::weak_ptr{responder}] {
          responder.lock()->Send("not begun");
        });
      }};
  LinkClient client{loop, "secret", kMaxBodyBytes};
  const auto run = [&loop] {
    loop.After(50ms, [&loop] { loop.Stop(); });
    loop.Resume();
    loop.Run();
  };
  std::vector<std::string> replies;
  const auto call = [&](const std::string &path) {
    return client.Call(
        address, path, "x", 5s,
        [&replies, path](const LinkClient::Reply &reply) {
          const auto *text = std::get_if<std::string>(&reply);
          replies.push_back(path + ": " + (text == nullptr ? "lost" : *text));
        });
  };
  const auto queued = call("queued");
  const auto begun = call("begun");
  run();
  REQUIRE(waiting.size() == 2);
  for (int i = 0; i < 2; ++i) {
    client.Withdraw(queued);
    client.Withdraw(begun);
    run();
  }
  CHECK(replies == std::vector<std::string>{"queued: not begun"});
  waiting[1]->Send("done");
  run();
  CHECK(replies.back() == "begun: done");
}

TEST_CASE("link client: a message withdrawn before it was sent is not sent") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  LinkClient client{loop, "secret", kMaxBodyBytes};
  std::optional<pollenring::LinkError> error;
  // The connection isn't established before the loop runs.
  const auto id = client.Call(*Address::Parse("127.42.4.1:7100"), "call", "x",
                              5s, [&error](const LinkClient::Reply &reply) {
                                error = std::get<pollenring::LinkError>(reply);
                              });
  client.Withdraw(id);
  loop.After(50ms, [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(error == pollenring::LinkError::kNotSent);
}

TEST_CASE("link server: a reply is unwritten until its peer has read it") {
  // Guards against a process that ends, as it seems to owe nothing, while a
  // peer still receives a long reply.
  const bool disconnects = GENERATE(false, true);
  const pollenring::SystemClock clock;
  Loop loop{clock};
  Loop peer_loop{clock};
  const Address address =
      *Address::Parse(disconnects ? "127.42.2.5:7101" : "127.42.2.5:7100");
  constexpr std::size_t kLong = std::size_t{32} << 20U;
  const LinkServer server{
      loop, address, "secret", kMaxBodyBytes,
      [](const std::string & /*path*/, const std::string & /*body*/,
         const std::shared_ptr<LinkResponder> &responder) {
        responder->Send(std::string(kLong, 'x'));
      }};
  auto client = std::make_unique<LinkClient>(peer_loop, "secret", kLong);
  const auto run = [](Loop &which, pollenring::Duration length) {
    which.After(length, [&which] { which.Stop(); });
    which.Resume();
    which.Run();
  };
  std::size_t received = 0;
  client->Call(address, "long", "x", 5s,
               [&received](const LinkClient::Reply &reply) {
                 if (const auto *body = std::get_if<std::string>(&reply))
                   received = body->size();
               });
  run(peer_loop, 20ms);
  CHECK(server.Unwritten() == 0);
  run(loop, 100ms);
  CHECK(server.Unwritten() > 0);
  if (disconnects) client.reset();
  for (int i = 0; i < 500 && server.Unwritten() > 0; ++i) {
    run(peer_loop, 5ms);
    run(loop, 5ms);
  }
  CHECK(server.Unwritten() == 0);
  run(peer_loop, 20ms);
  CHECK(received == (disconnects ? 0 : kLong));
}
