#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "support/mesh_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::kConfig;
using support::MeshWorld;
using support::Replaced;
using support::Signed;

constexpr int kSlots = 4; /*!< Of each target. */
constexpr int kCalls = 7;
constexpr pollenring::Duration kGrace = 2s;
/*! @brief Longer than the grace period. */
constexpr pollenring::Duration kWork = 2500ms;

/*! @brief Node 1 without a target in use; the others are next to a target. */
struct World : MeshWorld {
  World(int net, int targets) : MeshWorld{net} {
    this->SetGrace(kGrace);
    // Waiting requests are refused neither for their deadline nor as too slow.
    std::string config = kConfig;
    for (const std::string figure : {"1500", "1500", "500", "500"}) {
      config = Replaced(config, ":" + figure + ",", ":9000,");
    }
    this->Store().PutConfig(config);
    this->Start("front", [](const HttpRequest &r) { return Signed(r, 200); });
    for (int i = 0; i < targets; ++i) {
      this->Start("deep", [this](const HttpRequest &request) {
        this->arrived.insert(std::string{
            FindHeader(request.headers, "x-pollenring-attempt-id")});
        return Signed(request, 200);
      });
    }
    for (int i = 1; i <= 1 + targets; ++i) {
      REQUIRE(this->Await([&] { return this->Ready(i) == 200; }, 8s));
    }
    REQUIRE(this->Beat(2) == 200);
    REQUIRE(this->Await(
        [&] {
          return this->Call(1, "GET", "/read/0", support::Headers("warm"))
                     .status == 200;
        },
        5s));
    this->arrived.clear();
  }

  /*! @brief Sends a non-idempotent request to node 1. */
  void Send(const std::string &id) {
    this->BeginCall(1, "/write/1",
                    {{"x-pollenring-attempt-id", id},
                     {"x-pollenring-deadline-ms", "9000"},
                     {"authorization", "Token key-of-the-club"}},
                    [this, id](const HttpResponse &response) {
                      this->statuses[id] = response.status;
                    });
  }

  /*! @brief Occupies the target of node 2. @return Requests that run. */
  [[nodiscard]] std::set<std::string> Occupy() {
    this->SetResponseDelay(kWork);
    for (int i = 0; i < kCalls; ++i) this->Send("w" + std::to_string(i));
    this->Run(200ms);
    REQUIRE(this->arrived.size() == kSlots);
    return this->arrived;
  }

  std::set<std::string> arrived;
  std::map<std::string, int> statuses;
};

}  // namespace

TEST_CASE(
    "mesh: a planned stop of the callers' node answers requests that wait for "
    "a busy target") {
  // Guards against: a request that was read, and ran nowhere, ends with a
  // closed connection, so that its caller may not send it again.
  World world{91, 1};
  const auto running = world.Occupy();
  world.Node(1).Leave();
  CHECK(world.Await([&] { return world.statuses.size() == kCalls; }, kGrace));
  for (const auto &[id, status] : world.statuses) {
    CAPTURE(id);
    // Only what has not run is said not to have run.
    CHECK(status == (running.count(id) > 0 ? 502 : 503));
  }
  world.Run(kWork);
  CHECK(world.arrived == running);
}

TEST_CASE(
    "mesh: a planned stop of a target's node passes requests that wait there "
    "on to another target") {
  World world{92, 2};
  const auto running = world.Occupy();
  REQUIRE(world.Beat(3) == 200);
  world.Run(100ms);
  world.SetResponseDelay({});
  world.Node(2).Leave();
  CHECK(world.Await([&] { return world.statuses.size() == kCalls - kSlots; },
                    kGrace));
  for (const auto &[id, status] : world.statuses) {
    CAPTURE(id);
    CHECK(running.count(id) == 0);
    CHECK(status == 200);
  }
}
