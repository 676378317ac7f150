#include "pollenring/mesh/mesh_node.h"

#include <catch2/catch.hpp>

#include "support/mesh_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::Headers;
using support::kConfig;
using support::MeshWorld;
using support::Replaced;
using support::Signed;
using World = support::MeshFleet;

}  // namespace

TEST_CASE("mesh: a request passes two nodes to its target") {
  World world{1, [](const HttpRequest &r) { return Signed(r, 200); }};
  const auto response = world.Call(1, "GET", "/read/1", Headers("id1"));
  CHECK(response.status == 200);
  CHECK(response.body == "from front for club");
  CHECK(FindHeader(response.headers, "x-pollenring-response-stamp") == "stamp");
  CHECK(FindHeader(response.headers, "x-pollenring-attempt-id") == "id1");
  auto unknown = Headers("id2");
  unknown[2].value = "Token other";
  CHECK(world.Call(1, "GET", "/read/1", unknown).status == 401);
  CHECK(world.Call(1, "GET", "/none/1", Headers("id3")).status == 404);
  CHECK(world.Call(1, "GET", "/read/1", Headers("id4"), "b.example").status ==
        404);
}

TEST_CASE(
    "mesh: a node without a configuration refuses requests with retry-after") {
  MeshWorld world{2};
  world.Store().SetDown(true);
  world.Start("front", [](const HttpRequest &r) { return Signed(r, 200); });
  world.Run(200ms);
  CHECK(world.Ready(1) == 503);
  const auto response = world.Call(1, "GET", "/read/1", Headers("id1"));
  CHECK(response.status == 503);
  CHECK_FALSE(FindHeader(response.headers, "retry-after").empty());
  world.Store().PutConfig(kConfig);
  world.Store().SetDown(false);
  CHECK(world.Await([&] { return world.Ready(1) == 200; }, 5s));
}

TEST_CASE(
    "mesh: a request that may have run is not retried nor reported as not "
    "run") {
  int runs = 0;
  // A 200 without the target's stamp leaves the outcome unknown.
  World world{3, [&runs](const HttpRequest &request) {
                if (request.method == "GET") return Signed(request, 200);
                ++runs;
                return HttpResponse{200, {}, "garbled"};
              }};
  for (int i = 0; i < 20; ++i) {
    const auto response =
        world.Call(1, "POST", "/write/1", Headers("write" + std::to_string(i)));
    CHECK(response.status == 502);
    CHECK(runs == i + 1);
  }
}

TEST_CASE("mesh: an idempotent request is retried at another target") {
  int failures = 0;
  World world{4, [&failures](const HttpRequest &request) {
                const bool fails =
                    request.path == "/read/fails" && failures++ == 0;
                return Signed(request, fails ? 500 : 200);
              }};
  // Successful responses fill the retry budget.
  for (int i = 0; i < 30; ++i) {
    CHECK(world.Call(1, "GET", "/read/1", Headers("r" + std::to_string(i)))
              .status == 200);
  }
  CHECK(world.Call(1, "GET", "/read/fails", Headers("again")).status == 200);
  CHECK(failures == 2);
}

TEST_CASE(
    "mesh: a draining target gets no calls once its heartbeat is "
    "acknowledged") {
  std::map<std::string, int> served;
  World world{5, [&served](const HttpRequest &request) {
                ++served[std::string{FindHeader(
                    request.headers, "x-pollenring-expect-instance")}];
                return Signed(request, 200);
              }};
  REQUIRE(world.Beat(2, "draining") == 200);
  const int before = served["i-2"];
  for (int i = 0; i < 40; ++i) {
    CHECK(world.Call(1, "GET", "/read/1", Headers("d" + std::to_string(i)))
              .status == 200);
  }
  CHECK(served["i-2"] == before);
  CHECK(served["i-3"] >= 40);
}

TEST_CASE("mesh: a new configuration version is active within two seconds") {
  const bool silent = GENERATE(false, true);
  CAPTURE(silent);
  World world{silent ? 9 : 6,
              [](const HttpRequest &r) { return Signed(r, 200); }};
  const std::string next =
      Replaced(Replaced(kConfig, "r3", "r9"), "/read/", "/moved/");
  // A watch without a reply ends by the node's own timeout.
  world.Store().SetWatchesUnresponsive(silent);
  world.Run(50ms);
  world.Store().PutConfig(next);
  if (silent) world.Run(1500ms);
  world.Store().SetWatchesUnresponsive(false);
  CHECK(world.Await(
      [&] {
        return world.Call(1, "GET", "/moved/1", Headers("m")).status == 200;
      },
      2s));
  // An older version that is read late does not become active.
  world.Store().PutConfig(kConfig);
  world.Run(300ms);
  CHECK(world.Call(1, "GET", "/moved/1", Headers("n")).status == 200);
}

TEST_CASE(
    "mesh: after the store dropped its history the configuration is read "
    "again") {
  World world{7, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.Store().PutConfig(Replaced(kConfig, "r3", "r4"));
  world.Store().CompactHistory();
  world.Run(100ms);
  world.Store().PutConfig(
      Replaced(Replaced(kConfig, "r3", "r9"), "/read/", "/moved/"));
  CHECK(world.Await(
      [&] {
        return world.Call(1, "GET", "/moved/1", Headers("m")).status == 200;
      },
      4s));
}

TEST_CASE("mesh: a draining node is not ready but still serves requests") {
  World world{8, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.Node(1).Leave();
  CHECK(world.Ready(1) == 503);
  const auto response = world.Call(1, "GET", "/read/1", Headers("l1"));
  CHECK(response.status == 200);
}
