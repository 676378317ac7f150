#include <catch2/catch.hpp>

#include "support/mesh_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using support::Headers;
using support::kConfig;
using support::Replaced;
using support::Signed;
using World = support::MeshFleet;

/*! @brief Time in which a change must be active. */
constexpr auto kApplyWithin = 2s;

/*! @brief Writes rows of the nodes' own that the copy will lack. */
void WriteBeyondCopy(World &world, int rows) {
  world.Store().TakeCopy();
  for (int i = 0; i < rows; ++i)
    world.Store().Put("row" + std::to_string(i), "x");
  // Watches end and continue from the newest version.
  world.Run(2500ms);
}

}  // namespace

TEST_CASE(
    "mesh: a change after the store returned from an older copy is active in "
    "time") {
  const int written_after = GENERATE(0, 3, 20);
  CAPTURE(written_after);
  World world{50 + written_after,
              [](const HttpRequest &r) { return Signed(r, 200); }};
  WriteBeyondCopy(world, 6);
  world.Store().ReturnFromCopy();
  world.Store().PutConfig(
      Replaced(Replaced(kConfig, "r3", "r9"), "/read/", "/moved/"));
  for (int i = 0; i < written_after; ++i) world.Store().Put("later", "x");
  CHECK(world.Await(
      [&] {
        return world.Call(1, "GET", "/moved/1", Headers("m")).status == 200;
      },
      kApplyWithin));
}

TEST_CASE(
    "mesh: a zone withdrawn after the store returned from an older copy gets "
    "no calls") {
  World world{75, [](const HttpRequest &r) { return Signed(r, 200); }};
  WriteBeyondCopy(world, 6);
  world.Store().ReturnFromCopy();
  world.Store().Withdraw("z0", true);
  world.Store().Withdraw("z1", true);
  CHECK(world.Await(
      [&] {
        return world.Call(1, "GET", "/read/1", Headers("w")).status == 503;
      },
      kApplyWithin));
}

TEST_CASE(
    "mesh: a deregistration is stored again after the store returned from an "
    "older copy") {
  World world{76, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.Store().TakeCopy();
  REQUIRE(world.Beat(2, "draining") == 200);
  REQUIRE(world.Await([&] { return world.Store().Has("departed/"); }, 2s));
  world.Run(500ms);
  world.Store().ReturnFromCopy();
  CHECK_FALSE(world.Store().Has("departed/"));
  CHECK(world.Await([&] { return world.Store().Has("departed/"); }, 8s));
}
