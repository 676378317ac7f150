#include <chrono>
#include <string>

#include "support/start_world.h"

namespace {

using namespace std::chrono_literals;
using support::Daemon;
using support::EventsOf;
using support::StartWorld;

}  // namespace

TEST_CASE("mesh daemon: a store that answers late delays the start only") {
  // Guards against: nodes that never get ready because the store takes longer
  // for each call than the usual time limit.
  const auto [net, delay] = GENERATE(
      table<int, std::chrono::milliseconds>({{131, 1000ms}, {133, 2000ms}}));
  StartWorld world{net};
  world.Store().SetDelay(delay);
  Daemon &front = world.Start(world.MakeSettings(1, "front"));
  world.Start(world.MakeSettings(2));
  INFO(front.Log());
  for (const int index : {1, 2}) {
    CHECK(
        world.Await([&] { return world.Readiness(index).status == 200; }, 15s));
  }
  CHECK_FALSE(EventsOf(front, "store call timed out").empty());
  REQUIRE(world.Beat(2) == 200);
  CHECK(world.Await(
      [&] {
        return world.Ask(1, 7003, {"GET", "/status", {}, {}, {}})
                   .body.find(world.At(2, 7002).Format()) != std::string::npos;
      },
      15s));
}
