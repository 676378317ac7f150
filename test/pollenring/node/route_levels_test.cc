#include "pollenring/node/route_levels.h"

#include <catch2/catch.hpp>
#include <string>

namespace {

using pollenring::ManualClock;
using pollenring::RouteLevels;

}  // namespace

TEST_CASE("route levels: what is heard counts for a moment, then goes") {
  ManualClock clock{std::chrono::hours{1}};
  RouteLevels levels{std::chrono::milliseconds{300}, clock};
  levels.Learn("club front GET /", {{"back", 1.0}, {"middle", 0.5}});
  const double first = levels.LevelOf("club front GET /");
  CHECK(first > 0);
  levels.Learn("club front GET /", {{"back", 1.0}});
  CHECK(levels.LevelOf("club front GET /") > first);
  CHECK(levels.LevelOf("other front GET /") == 0);
  clock.Advance(std::chrono::seconds{1});
  CHECK(levels.LevelOf("club front GET /") == 0);
}

TEST_CASE("route levels: routes that nobody asks for are forgotten") {
  ManualClock clock{std::chrono::hours{1}};
  RouteLevels levels{std::chrono::milliseconds{300}, clock};
  // Workspaces times routes, each seen once: an hour of them.
  for (int i = 0; i < 360'000; ++i) {
    levels.Learn("workspace" + std::to_string(i) + " front GET /",
                 {{"back", 0.5}});
    clock.Advance(std::chrono::milliseconds{10});
  }
  CHECK(levels.Count() < 10'000);
  // Answers without levels leave nothing behind.
  const std::size_t before = levels.Count();
  levels.Learn("quiet front GET /", {});
  CHECK(levels.Count() == before);
}
