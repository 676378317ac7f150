#include <array>
#include <cerrno>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "support/start_world.h"

namespace {

using namespace std::chrono_literals;
using support::Daemon;
using support::EventsOf;
using support::HeldAddress;
using support::StartWorld;

/*! @brief One of the sockets that a daemon opens. */
struct Listener {
  std::string setting;
  int port;
  int type;
};

const std::array<Listener, 6> kListeners{{
    {"listen.callers", 7000, SOCK_STREAM},
    {"listen.targets", 7001, SOCK_STREAM},
    {"listen.nodes", 7002, SOCK_STREAM},
    {"listen.nodes", 7002, SOCK_DGRAM},
    {"listen.operators", 7003, SOCK_STREAM},
    {"listen.ready", 7004, SOCK_STREAM},
}};

}  // namespace

TEST_CASE(
    "mesh daemon: an address that is held for a second delays the start") {
  // Guards against: a daemon that ends at once, so that the deployment never
  // comes up, because an address is still in use for a moment.
  StartWorld world{126};
  std::vector<std::unique_ptr<HeldAddress>> held;
  std::vector<Daemon *> daemons;
  const auto started_at = world.Now();
  for (std::size_t i = 0; i < kListeners.size(); ++i) {
    const int index = static_cast<int>(i) + 1;
    held.push_back(std::make_unique<HeldAddress>(
        world.At(index, kListeners[i].port), kListeners[i].type));
    daemons.push_back(&world.Start(world.MakeSettings(index)));
  }
  world.Run(1s);
  held.clear();
  for (std::size_t i = 0; i < kListeners.size(); ++i) {
    INFO(kListeners[i].setting << ' ' << kListeners[i].type);
    const int index = static_cast<int>(i) + 1;
    CHECK(world.Await([&] { return world.Readiness(index).status == 200; },
                      started_at + 5s - world.Now()));
    CHECK_FALSE(daemons[i]->Ended());
    const auto waits = EventsOf(*daemons[i], "address in use");
    REQUIRE_FALSE(waits.empty());
    CHECK(waits.front()["setting"] == kListeners[i].setting);
    CHECK(waits.front()["errno"] == EADDRINUSE);
    CHECK(waits.front()["address"] ==
          world.At(index, kListeners[i].port).Format());
  }
}

TEST_CASE("mesh daemon: an address that stays in use ends the start") {
  // Guards against: a start that fails without the listener and the error.
  StartWorld world{127};
  const HeldAddress held{world.At(1, 7001), SOCK_STREAM};
  pollenring::Settings settings = world.MakeSettings(1);
  settings.grace = 500ms;
  Daemon &daemon = world.Start(settings);
  REQUIRE(world.Await([&] { return daemon.Ended(); }, 5s));
  CHECK(daemon.ExitCode() == 3);
  const auto failures = EventsOf(daemon, "startup failed");
  REQUIRE(failures.size() == 1);
  CHECK(failures.front().value("reason", "") == "address");
  CHECK(failures.front().value("setting", "") == "listen.targets");
  CHECK(failures.front().value("errno", 0) == EADDRINUSE);
  CHECK(failures.front().value("waited_ms", 0) >= 500);
}

TEST_CASE("mesh daemon: an address of another VM ends the start at once") {
  // Guards against: a wait for an address that no process will free.
  StartWorld world{128};
  pollenring::Settings settings = world.MakeSettings(1);
  settings.operators = *pollenring::Address::Parse("192.0.2.1:7003");
  Daemon &daemon = world.Start(settings);
  REQUIRE(world.Await([&] { return daemon.Ended(); }, 3s));
  CHECK(daemon.ExitCode() == 3);
  const auto failures = EventsOf(daemon, "startup failed");
  REQUIRE(failures.size() == 1);
  CHECK(failures.front().value("setting", "") == "listen.operators");
  CHECK(failures.front().value("errno", 0) == EADDRNOTAVAIL);
}

TEST_CASE("mesh daemon: a stop while an address is in use ends it") {
  // Guards against: a daemon that can't be stopped until its wait is over.
  StartWorld world{129};
  const HeldAddress held{world.At(1, 7000), SOCK_STREAM};
  Daemon &daemon = world.Start(world.MakeSettings(1));
  REQUIRE(world.Await(
      [&] { return !EventsOf(daemon, "address in use").empty(); }, 5s));
  daemon.Signal(SIGTERM);
  REQUIRE(world.Await([&] { return daemon.Ended(); }, 1s));
  CHECK(daemon.ExitCode() == 0);
}

TEST_CASE("mesh daemon: invalid settings are named in the log") {
  // Guards against: findings that are on standard error only.
  StartWorld world{130};
  pollenring::Settings settings = world.MakeSettings(1);
  settings.node_secret = "short";
  Daemon &daemon = world.Start(settings);
  REQUIRE(world.Await([&] { return daemon.Ended(); }, 3s));
  CHECK(daemon.ExitCode() == 2);
  const auto failures = EventsOf(daemon, "startup failed");
  REQUIRE(failures.size() == 1);
  CHECK(failures.front().value("reason", "") == "settings");
  CHECK(failures.front()["findings"].dump().find("16 characters") !=
        std::string::npos);
}
