#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "support/crash_world.h"

namespace {

using namespace std::chrono_literals;
using support::CrashWorld;

/*! @brief Time after which nodes that are in contact know of a crash. */
constexpr auto kContactTime = 1s;

/*! @brief Sends the guilty request ten times a second at all nodes in turn,
 * and sixty others a second, for seven seconds. */
void SendGuiltyAmongOthers(CrashWorld &world) {
  for (int i = 0; i < 60; ++i) {
    world.Send("/read/guilty");
    for (int j = 0; j < 6; ++j)
      world.Send("/read/" + std::to_string(10 * i + j));
    world.Run(100ms);
  }
  world.Run(1s);
}

/*! @brief Counts requests other than the guilty one, by status. */
[[nodiscard]] std::map<int, int> Bystanders(const CrashWorld &world) {
  std::map<int, int> statuses;
  for (const auto &[path, results] : world.results) {
    if (path == "/read/guilty") continue;
    for (const auto &[status, count] : results) statuses[status] += count;
  }
  return statuses;
}

}  // namespace

TEST_CASE(
    "mesh: a request that crashes its targets reaches three more of them at "
    "most") {
  CrashWorld world{61, 4, {60ms, 400ms, {"/read/guilty"}}};
  SendGuiltyAmongOthers(world);
  CAPTURE(world.Crashes());
  CHECK(world.StartedAfterThird(kContactTime) <= 3);
}

TEST_CASE("mesh: requests beside one that crashes its targets are served") {
  CrashWorld world{62, 4, {60ms, 400ms, {"/read/guilty"}}};
  SendGuiltyAmongOthers(world);
  auto statuses = Bystanders(world);
  CHECK(statuses[200] >= 340);
  // Only the guilty one is refused for it.
  CHECK(world.quarantined.size() == 1);
  CHECK(world.quarantined["/read/guilty"] > 0);
  for (int i = 0; i < 60; ++i) {
    world.Send("/read/" + std::to_string(10 * i));
    world.Run(10ms);
  }
  world.Run(1s);
  CHECK(Bystanders(world)[200] - statuses[200] == 60);
  // The answer to the guilty one says that it has not run, and when to return.
  const auto refused =
      world.world.Call(1, "GET", "/read/guilty", support::Headers("last"));
  CHECK(refused.status == 503);
  CHECK(refused.body.find("quarantined") != std::string::npos);
  const auto retry_after = FindHeader(refused.headers, "retry-after");
  REQUIRE_FALSE(retry_after.empty());
  CHECK(std::stod(std::string{retry_after}) > 30);
  // An operator sees it at one node, and releases it at all of them.
  const auto status =
      nlohmann::json::parse(world.world.GetOperatorPage(1, "/status"));
  const auto &held = status["quarantine"];
  REQUIRE_FALSE(held.empty());
  CHECK(held.front()["standing"] == "blocked");
  const std::string fingerprint = held.front()["fingerprint"];
  const std::string release = "/quarantine/release/";
  CHECK(world.world.PostToOperator(2, release + "x") == 400);
  CHECK(world.world.PostToOperator(2, release + "0000000000000001") == 404);
  const int crashes = world.Crashes();
  CHECK(world.world.PostToOperator(2, release + fingerprint) == 200);
  world.Run(2s);
  world.Send("/read/guilty");
  world.Run(500ms);
  CHECK(world.Crashes() > crashes);
}

TEST_CASE("mesh: targets that crash for another cause block no request") {
  CrashWorld world{63, 4, {60ms, 400ms, {}}};
  for (int i = 0; i < 60; ++i) {
    // The same requests come again and again, and run when targets end.
    for (int j = 0; j < 6; ++j) world.Send("/read/" + std::to_string(j));
    world.Run(30ms);
    if (i % 5 == 4) {
      for (const auto &target : world.targets) {
        if (i % 10 == 4) target->Crash();
      }
      world.targets.front()->Crash();
    }
    world.Run(70ms);
  }
  world.Run(1s);
  CHECK(world.quarantined.empty());
  const int served = Bystanders(world)[200];
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 6; ++j) world.Send("/read/" + std::to_string(j));
    world.Run(100ms);
  }
  world.Run(1s);
  CHECK(Bystanders(world)[200] - served == 120);
}
