#include <catch2/catch.hpp>
#include <map>

#include "support/mesh_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::Headers;
using support::kHandlingFails;
using support::kRequestNotEncodable;
using support::kViolatesInvariant;
using support::Signed;

/*! @brief One node with the only target, ready to serve requests. */
struct LoneNode : support::MeshWorld {
  explicit LoneNode(int net) : MeshWorld{net} {
    this->Store().PutConfig(support::kConfig);
    this->Start("deep", [](const HttpRequest &r) { return Signed(r, 200); });
    REQUIRE(this->Await([&] { return this->Ready(1) == 200; }, 8s));
    REQUIRE(this->Beat(1) == 200);
    this->SetResponseDelay(60ms);
  }

  void Begin(const std::string &id) {
    ++this->open;
    this->BeginCall(1, "/read/1", Headers(id),
                    [this, id](const HttpResponse &response) {
                      --this->open;
                      this->statuses[id] = response.status;
                    });
  }

  [[nodiscard]] bool AllEnded() {
    return this->Await([this] { return this->open == 0; }, 4s);
  }

  std::map<std::string, int> statuses;
  int open{};
};

}  // namespace

TEST_CASE("mesh: an error in handling one response ends no other request") {
  LoneNode world{62};
  for (const std::string round : {"a", "b", "c"}) {
    world.Begin(kHandlingFails);
    world.Run(30ms);
    // Their responses arrive after the one that fails to be handled.
    for (int i = 0; i < 3; ++i) world.Begin(round + std::to_string(i));
    REQUIRE(world.AllEnded());
    // The outcome is unknown, so the status must not imply not executed.
    CHECK(world.statuses[kHandlingFails] == 502);
    for (int i = 0; i < 3; ++i) {
      CHECK(world.statuses[round + std::to_string(i)] == 200);
    }
  }
  CHECK(world.Ready(1) == 200);
  // Neither state nor a slot of the target is held for it.
  const auto status =
      nlohmann::json::parse(world.GetOperatorPage(1, "/status"));
  CHECK(status.at("in_progress") == 0);
  CHECK(world.GetOperatorPage(1, "/metrics")
            .find("pollenring_target_running 0") != std::string::npos);
}

TEST_CASE("mesh: a call that can't be sent to its target releases its slot") {
  LoneNode world{65};
  const auto held = [&world] {
    const auto status =
        nlohmann::json::parse(world.GetOperatorPage(1, "/status"));
    return status.at("in_progress").get<int>();
  };
  world.Begin(kRequestNotEncodable);
  REQUIRE(world.AllEnded());
  CHECK(world.statuses[kRequestNotEncodable] == 502);
  CHECK(held() == 0);
  CHECK(world.GetOperatorPage(1, "/metrics")
            .find("pollenring_target_running 0") != std::string::npos);
  // The same for a call from another node.
  pollenring::CallEnvelope envelope;
  envelope.service = "deep";
  envelope.root_id = kRequestNotEncodable;
  envelope.remaining_us = 1'000'000;
  envelope.soft_deadline_us = 1'000'000;
  const auto reply = world.CallNode(1, envelope);
  REQUIRE(reply);
  CHECK(reply->outcome == pollenring::Outcome::kUnknown);
  CHECK(held() == 0);
  CHECK(world.GetOperatorPage(1, "/metrics")
            .find("pollenring_target_running 0") != std::string::npos);
  world.Begin("sound");
  REQUIRE(world.AllEnded());
  CHECK(world.statuses["sound"] == 200);
}

TEST_CASE("mesh: a response that can't be forwarded stalls no waiting call") {
  LoneNode world{67};
  // These fill the target's slots; later calls wait for a slot.
  for (int i = 0; i < 4; ++i) {
    world.Begin(std::string{support::kResponseNotForwardable} +
                std::to_string(i));
  }
  world.Run(30ms);
  for (int i = 0; i < 4; ++i) world.Begin("w" + std::to_string(i));
  REQUIRE(world.AllEnded());
  for (int i = 0; i < 4; ++i) {
    CHECK(world.statuses["w" + std::to_string(i)] == 200);
  }
}

TEST_CASE(
    "mesh: after an invariant violation a node drains and completes its "
    "requests") {
  LoneNode world{63};
  world.Begin(kViolatesInvariant);
  world.Run(30ms);
  for (int i = 0; i < 3; ++i) world.Begin("r" + std::to_string(i));
  REQUIRE(world.AllEnded());
  for (int i = 0; i < 3; ++i) {
    CHECK(world.statuses["r" + std::to_string(i)] == 200);
  }
  CHECK(world.statuses[kViolatesInvariant] == 502);
  CHECK(world.Ready(1) == 503);
}

TEST_CASE("mesh: a request that is lost inside a node gets a timely response") {
  LoneNode world{64};
  world.Begin(support::kResponseNotEncodable);
  world.Begin("sound");
  REQUIRE(world.AllEnded());
  CHECK(world.statuses["sound"] == 200);
  // Its deadline header is 1.4 s.
  CHECK(world.statuses[support::kResponseNotEncodable] == 504);
  const auto status =
      nlohmann::json::parse(world.GetOperatorPage(1, "/status"));
  CHECK(status.at("in_progress") == 0);
}

TEST_CASE("mesh: a request whose responses all fail gets a timely response") {
  LoneNode world{66};
  world.Begin(support::kNoResponseEncodable);
  REQUIRE(world.AllEnded());
  CHECK(world.statuses[support::kNoResponseEncodable] == 504);
  const auto status =
      nlohmann::json::parse(world.GetOperatorPage(1, "/status"));
  CHECK(status.at("in_progress") == 0);
}
