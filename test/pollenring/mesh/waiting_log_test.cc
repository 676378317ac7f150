#include <string>

#include "support/start_world.h"

namespace {

using namespace std::chrono_literals;
using support::Daemon;
using support::EventsOf;
using support::StartWorld;

}  // namespace

TEST_CASE("mesh daemon: a node that isn't ready says what it waits for") {
  // Guards against: a start that hangs without a line in the log.
  StartWorld world{132};
  world.Store().SetDown(true);
  Daemon &daemon = world.Start(world.MakeSettings(1));
  REQUIRE(
      world.Await([&] { return EventsOf(daemon, "waiting").size() >= 2; }, 5s));
  const auto line = EventsOf(daemon, "waiting").back();
  REQUIRE_FALSE(line["waiting_for"].empty());
  CHECK(line["waiting_for"].front()["condition"] == "configuration");
  CHECK(line["waiting_for"].front()["for_ms"] >= 1000);
  const auto response = world.Readiness(1);
  CHECK(response.status == 503);
  CHECK(response.body.find("configuration") != std::string::npos);
  world.Store().SetDown(false);
  CHECK(world.Await([&] { return world.Readiness(1).status == 200; }, 5s));
  const auto lines = EventsOf(daemon, "waiting").size();
  world.Run(2500ms);
  CHECK(EventsOf(daemon, "waiting").size() == lines);
}
