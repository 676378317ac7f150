#include <catch2/catch.hpp>

#include "pollenring/core/random.h"
#include "pollenring/mesh/mesh_node.h"
#include "support/mesh_fleet.h"
#include "support/raw_bytes.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::Headers;
using support::kConfig;
using support::Replaced;
using support::Signed;
using World = support::MeshFleet;

}  // namespace

TEST_CASE(
    "mesh: a withdrawn zone's target gets no calls but its callers are "
    "served") {
  std::map<std::string, int> served;
  World world{10, [&served](const HttpRequest &request) {
                ++served[std::string{FindHeader(
                    request.headers, "x-pollenring-expect-instance")}];
                return Signed(request, 200);
              }};
  // Nodes of odd numbers are in z1; the third has one of two deep targets.
  world.Store().Withdraw("z1", true);
  world.Run(500ms);
  const int before = served["i-3"];
  for (int i = 0; i < 30; ++i) {
    CHECK(world.Call(1, "GET", "/read/1", Headers("e" + std::to_string(i)))
              .status == 200);
  }
  CHECK(served["i-3"] == before);
  // Also when the calling node does not know of the withdrawal.
  pollenring::CallEnvelope envelope;
  envelope.root_id = "direct";
  envelope.service = "deep";
  envelope.method = "GET";
  envelope.path = "/read/1";
  envelope.remaining_us = 1'000'000;
  const auto direct = world.CallNode(3, envelope);
  REQUIRE(direct);
  CHECK(direct->outcome == pollenring::Outcome::kNotRun);
  CHECK(direct->reason == pollenring::Reason::kZoneWithdrawn);
  // Older builds get a reply in their wire version, with a reason it defines.
  const auto first = world.CallNode(3, envelope, pollenring::WireVersion::kV1);
  REQUIRE(first);
  CHECK(first->outcome == pollenring::Outcome::kNotRun);
  CHECK(first->reason == pollenring::Reason::kLeaving);
  const auto second = world.CallNode(3, envelope, pollenring::WireVersion::kV2);
  REQUIRE(second);
  CHECK(second->reason == pollenring::Reason::kZoneWithdrawn);
  CHECK(served["i-3"] == before);
  const auto status = world.GetOperatorPage(1, "/status");
  CHECK(status.find(R"("zone":"z1"}])") != std::string::npos);
  CHECK(status.find(R"("zones_withdrawn":[{"for_s":)") != std::string::npos);
  CHECK(world.GetOperatorPage(1, "/metrics")
            .find("pollenring_zones_withdrawn 1") != std::string::npos);
  // With both zones withdrawn, requests are refused as not executed.
  world.Store().Withdraw("z0", true);
  world.Run(500ms);
  const auto refused = world.Call(1, "GET", "/read/1", Headers("none"));
  CHECK(refused.status == 503);
  CHECK_FALSE(FindHeader(refused.headers, "retry-after").empty());
  // A withdrawal ends while the store is down, and its history is dropped.
  world.Store().SetDown(true);
  world.Run(300ms);
  world.Store().Withdraw("z1", false);
  world.Store().CompactHistory();
  world.Store().SetDown(false);
  CHECK(world.Await(
      [&] {
        return world.Call(1, "GET", "/read/1", Headers("back")).status == 200;
      },
      4s));
  CHECK(served["i-3"] > before);
}

TEST_CASE(
    "mesh: a cold target gets calls up to its cold-start limit and then all") {
  const bool said = GENERATE(true, false);
  CAPTURE(said);
  int served = 0;
  World world{said ? 11 : 12, [&served](const HttpRequest &request) {
                ++served;
                return Signed(request, 200);
              }};
  REQUIRE(world.Beat(2, "draining") == 200);
  if (said) {
    REQUIRE(world.Beat(3, "ready", 1500ms) == 200);
  } else {
    // After a withdrawal it counts as cold, whatever it last reported.
    world.Store().Withdraw("z1", true);
    world.Run(400ms);
    world.Store().Withdraw("z1", false);
    world.Run(400ms);
  }
  served = 0;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const auto response =
        world.Call(1, "GET", "/read/1", Headers("c" + std::to_string(i)));
    if (response.status == 200) continue;
    CHECK(response.status == 503);
    CHECK_FALSE(FindHeader(response.headers, "retry-after").empty());
    ++refused;
  }
  CHECK(served <= 5);
  CHECK(refused >= 35);
  world.Run(1600ms);
  served = 0;
  for (int i = 0; i < 20; ++i) {
    static_cast<void>(
        world.Call(1, "GET", "/read/1", Headers("w" + std::to_string(i))));
  }
  CHECK(served >= 18);
}

TEST_CASE("mesh: requests that reached no target are refused as not executed") {
  World world{13, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.StopTarget(2);
  world.StopTarget(3);
  for (int i = 0; i < 6; ++i) {
    const auto response =
        world.Call(1, "POST", "/write/1", Headers("n" + std::to_string(i)));
    // A kept-alive connection may serve one more request.
    if (i == 0 && response.status == 200) continue;
    CHECK(response.status == 503);
    CHECK_FALSE(FindHeader(response.headers, "retry-after").empty());
  }
}

TEST_CASE("mesh: malformed replies of the store change nothing") {
  World world{14, [](const HttpRequest &r) { return Signed(r, 200); }};
  for (
      const std::string text :
      {"", "[]", "{", "7", R"({"rows":7})", R"({"rows":[7],"row_version":9})",
       R"({"rows":[],"row_version":9,"has_more":"no"})",
       R"({"rows":[],"row_version":"9"})",
       R"({"rows":[{"key":7,"row_version":1,"value":"e30="}],"row_version":9})",
       R"({"rows":[{"key":"config","row_version":99,"value":"====",
           "is_deleted":7}],"row_version":99})",
       R"({"rows":[{"key":"config","row_version":99,"value":"e30="}],
           "row_version":99})"}) {
    CAPTURE(text);
    world.Store().SetFixedResponse(text);
    world.Run(700ms);
    for (int i = 1; i <= 3; ++i) REQUIRE(world.Beat(i) == 200);
    CHECK(world.Call(1, "GET", "/read/1", Headers("n")).status == 200);
  }
  world.Store().SetFixedResponse(std::nullopt);
}

TEST_CASE("mesh: malformed input at any port ends no node") {
  World world{15, [](const HttpRequest &r) { return Signed(r, 200); }};
  pollenring::SeededRandom random{21};
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  for (int i = 0; i < 200; ++i) {
    std::string bytes = i % 3 == 0 ? preface : std::string{};
    if (i % 5 == 0) bytes = "POST /Instances.Heartbeat/i-2 HTTP/1.1\r\n";
    const std::size_t size = random.Index(300);
    for (std::size_t at = 0; at < size; ++at) {
      bytes.push_back(static_cast<char>(random.Index(256)));
    }
    for (const int port : {7000, 7001, 7002, 7003, 7004}) {
      support::SendBytes(world.At(2, port), SOCK_STREAM, bytes);
    }
    support::SendBytes(world.At(2, 7002), SOCK_DGRAM, bytes);
    if (i % 20 == 0) world.Run(10ms);
  }
  world.Run(300ms);
  CHECK(world.Call(2, "GET", "/read/1", Headers("after")).status == 200);
  CHECK(world.Ready(2) == 200);
}

TEST_CASE("mesh: requests accepted before a planned stop get a response") {
  World world{16, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.Node(1).Leave();
  int served = 0;
  // Callers learn of it after two seconds; some send until the port closes.
  for (int i = 0; i < 600; ++i) {
    const auto response =
        world.Call(1, "GET", "/read/1", Headers("s" + std::to_string(i)));
    if (response.status == 0) break;
    CHECK((response.status == 200 || response.status == 503));
    if (response.status == 200) ++served;
    world.Run(5ms);
  }
  CHECK(served > 100);
}

TEST_CASE("mesh: a planned stop under load aborts no request") {
  World world{18, [](const HttpRequest &r) { return Signed(r, 200); }};
  world.SetResponseDelay(15ms);
  std::map<int, int> statuses;
  int open = 0;
  const auto send = [&](int node, int number) {
    ++open;
    world.BeginCall(node, "/read/1", Headers("n" + std::to_string(number)),
                    [&](const HttpResponse &response) {
                      --open;
                      ++statuses[response.status];
                    });
  };
  // The entry node and one of two targets' nodes drain with work in progress.
  for (int i = 0; i < 400; ++i) {
    if (i == 100) world.Node(2).Leave();
    if (i == 150) world.Node(1).Leave();
    send(1, 2 * i);
    send(3, 2 * i + 1);
    world.Run(10ms);
  }
  REQUIRE(world.Await([&open] { return open == 0; }, 4s));
  CAPTURE(statuses[200], statuses[503], statuses[502], statuses[0]);
  // A target may refuse calls beyond its slots, but completes those it
  // accepted.
  CHECK(statuses[200] + statuses[503] == 800);
  CHECK(statuses[200] > 600);
}

TEST_CASE("mesh: a request stays in its allowed regions or is refused") {
  support::MeshWorld world{19};
  std::map<std::string, int> served;
  const std::string homes =
      R"("service":"deep","allowed_regions":["east","north"],)";
  world.Store().PutConfig(Replaced(
      Replaced(kConfig, R"("service":"deep",)", homes), R"("burst":1000}])",
      R"("burst":1000,"allowed_regions":["east","west"]}])"));
  const auto endpoint = [&served](const std::string &region) {
    return [&served, region](const HttpRequest &request) {
      ++served[region];
      return Signed(request, 200);
    };
  };
  world.Start("front", endpoint("front"), "west");
  for (const std::string region : {"west", "north", "east"}) {
    world.Start("deep", endpoint(region), region);
  }
  for (int i = 1; i <= 4; ++i) {
    REQUIRE(world.Await([&] { return world.Ready(i) == 200; }, 8s));
    REQUIRE(world.Beat(i) == 200);
  }
  const auto call = [&world](const std::string &id) {
    return world.Call(1, "GET", "/read/1", Headers(id)).status;
  };
  REQUIRE(world.Await([&] { return call("first") == 200; }, 5s));
  for (int i = 0; i < 30; ++i) CHECK(call("h" + std::to_string(i)) == 200);
  // East is the only region that both the route and the workspace allow.
  CHECK(served["east"] >= 31);
  world.StopTarget(4);  // Open connections are still served.
  REQUIRE(world.Await([&] { return call("last") == 503; }, 2s));
  for (int i = 0; i < 10; ++i) CHECK(call("s" + std::to_string(i)) == 503);
  CHECK(served["west"] + served["north"] + served["front"] == 0);
  // The other route is limited by the workspace's regions only.
  REQUIRE(world.Call(1, "GET", "/write/1", Headers("w")).status == 200);
  CHECK(served["west"] == 1);
}

TEST_CASE(
    "mesh: after a node restart a deregistered target is not used again") {
  World world{17, [](const HttpRequest &r) { return Signed(r, 200); }};
  REQUIRE(world.Beat(2, "draining") == 200);
  REQUIRE(world.Await([&] { return world.Store().Has("departed/"); }, 2s));
  // An earlier process of the fourth node has stored a deregistration.
  world.Store().Put("departed/" + world.At(4, 7002).Format(),
                    R"({"instance":"i-4","born":5})");
  int served = 0;
  world.Start("left", [&served](const HttpRequest &r) {
    ++served;
    return Signed(r, 200);
  });
  const std::string next =
      Replaced(Replaced(kConfig, "r3", "r9"), "\"service\":\"deep\"",
               "\"service\":\"left\"");
  world.Store().PutConfig(next);
  REQUIRE(world.Await([&] { return world.Ready(4) == 200; }, 8s));
  // A late heartbeat of the deregistered instance.
  REQUIRE(world.Beat(4) == 200);
  world.Run(500ms);
  for (int i = 0; i < 10; ++i) {
    CHECK(world.Call(4, "GET", "/read/1", Headers("l" + std::to_string(i)))
              .status == 503);
  }
  CHECK(served == 0);
  // A restarted target is used, even with the same identifier.
  REQUIRE(world.Beat(4, "ready", {}, 6) == 200);
  CHECK(world.Await(
      [&] {
        return world.Call(4, "GET", "/read/1", Headers("new")).status == 200;
      },
      4s));
}

TEST_CASE("mesh: a target deregisters from a node that does not know it yet") {
  // The node has just started; the deregistration carries no start time.
  World world{38, [](const HttpRequest &r) { return Signed(r, 200); }};
  int served = 0;
  world.Start("left", [&served](const HttpRequest &r) {
    ++served;
    return Signed(r, 200);
  });
  world.Store().PutConfig(Replaced(Replaced(kConfig, "r3", "r9"),
                                   "\"service\":\"deep\"",
                                   "\"service\":\"left\""));
  REQUIRE(world.Await([&] { return world.Ready(4) == 200; }, 8s));
  REQUIRE(world.Deregister(4) == 200);
  // A heartbeat sent before the deregistration.
  REQUIRE(world.Beat(4) == 200);
  world.Run(500ms);
  for (int i = 0; i < 10; ++i) {
    CHECK(world.Call(4, "GET", "/read/1", Headers("l" + std::to_string(i)))
              .status == 503);
  }
  CHECK(served == 0);
}

TEST_CASE("mesh: groups of nodes that started in isolation merge") {
  // After a complete power loss nodes find only those few that are already up,
  // and no others while the store is down.
  support::MeshWorld world{20};
  world.Store().PutConfig(kConfig);
  world.Store().SetDown(true);
  const auto respond = [](const HttpRequest &r) { return Signed(r, 200); };
  world.Start("front", respond, "r", {2});
  world.Start("back", respond, "r", {1});
  world.Start("front", respond, "r", {4});
  world.Start("back", respond, "r", {3});
  const auto known = [&world](int index) {
    const auto status =
        nlohmann::json::parse(world.GetOperatorPage(index, "/status"));
    return status.at("members").size();
  };
  REQUIRE(world.Await([&] { return known(1) == 2 && known(3) == 2; }, 3s));
  world.Run(1s);
  REQUIRE(known(2) == 2);
  world.Store().SetDown(false);
  const auto all = [&known] {
    for (int index = 1; index <= 4; ++index) {
      if (known(index) != 4) return false;
    }
    return true;
  };
  CHECK(world.Await(all, 6s));
}
