#include "pollenring/node/downstream_levels.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace {

using pollenring::AdmissionLevel;
using pollenring::DownstreamLevelOptions;
using pollenring::DownstreamLevels;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::NodeId;
using std::chrono::milliseconds;

constexpr std::size_t kMaxLevels = 16;

[[nodiscard]] DownstreamLevelOptions PerWorkspace() {
  DownstreamLevelOptions options;
  options.lifetime = milliseconds{300};
  options.per_workspace = true;
  return options;
}

[[nodiscard]] AdmissionLevel MakeLevel(const std::string &service, NodeId node,
                                       int level_milli, int per_second = 100) {
  return {service, node, level_milli, per_second, 0, true};
}

}  // namespace

TEST_CASE("downstream levels: learned levels expire") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{PerWorkspace(), clock};
  levels.Learn("club", "front GET /",
               {MakeLevel("back", 1, 1000), MakeLevel("middle", 2, 500)});
  CHECK(levels.HighestOnCallPath("club", "front GET /").level == Approx(1.0));
  CHECK(levels.HighestOnCallPath("other", "front GET /").level == 0);
  CHECK(levels.HighestOnCallPath("club", "side GET /").level == 0);
  clock.Advance(std::chrono::seconds{1});
  CHECK(levels.HighestOnCallPath("club", "front GET /").level == 0);
}

TEST_CASE("downstream levels: unused routes are removed") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{PerWorkspace(), clock};
  // One hour of distinct workspaces and routes, each seen once.
  for (int i = 0; i < 360'000; ++i) {
    const std::string name = std::to_string(i);
    levels.Learn("workspace" + name, "front GET /" + name,
                 {MakeLevel("back", 1, 500)});
    clock.Advance(milliseconds{10});
  }
  CHECK(levels.Count() < 10'000);
  // Replies without levels add no entry; the first may trigger a sweep.
  levels.Learn("quiet", "quiet GET /", {});
  const std::size_t before = levels.Count();
  levels.Learn("quiet", "quiet GET /", {});
  CHECK(levels.Count() == before);
}

TEST_CASE("downstream levels: a rare route learns from replies of others") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  // A VM gets one request of a route every two seconds, from eight workspaces
  // in turn, and fifteen others per second; the deepest service always sheds.
  levels.Learn("workspace0", "deep", {MakeLevel("deepest", 7, 2400)});
  int refused = 0;
  for (int i = 1; i <= 20; ++i) {
    for (int other = 0; other < 30; ++other) {
      clock.Advance(milliseconds{66});
      AdmissionLevel received = MakeLevel("deepest", 7, 2400);
      received.on_call_path = false;
      received.age_ms = 150;
      levels.Learn("workspace1", "shallow", {received});
    }
    const std::string workspace = "workspace" + std::to_string(i % 8);
    if (levels.HighestOnCallPath(workspace, "deep").level > 2) {
      ++refused;
      continue;
    }
    levels.Learn(workspace, "deep", {MakeLevel("deepest", 7, 2400)});
  }
  // A call path that no reply confirms is tried again every ten seconds.
  CHECK(refused >= 16);
  CHECK(levels.HighestOnCallPath("workspace1", "shallow").level == 0);
}

TEST_CASE("downstream levels: nodes that echo levels do not keep them alive") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels one{DownstreamLevelOptions{}, clock};
  DownstreamLevels other{DownstreamLevelOptions{}, clock};
  one.Learn({}, "deep", {MakeLevel("deepest", 7, 1000)});
  for (int i = 0; i < 40; ++i) {
    clock.Advance(milliseconds{50});
    other.Learn({}, "deep", one.Shedding({}, "deep", kMaxLevels));
    one.Learn({}, "deep", other.Shedding({}, "deep", kMaxLevels));
  }
  CHECK(one.HighestOnCallPath({}, "deep").level == 0);
  CHECK(other.Shedding({}, "deep", kMaxLevels).empty());
}

TEST_CASE(
    "downstream levels: one busy target of three gives a third of its level") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  levels.Learn({}, "deep", {MakeLevel("deepest", 1, 900)});
  levels.Learn({}, "deep", {MakeLevel("deepest", 2, 0)});
  levels.Learn({}, "deep", {MakeLevel("deepest", 3, 0)});
  CHECK(levels.HighestOnCallPath({}, "deep").level == Approx(0.3));
}

TEST_CASE(
    "downstream levels: a target without calls does not hide the others") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  levels.Learn({}, "deep", {MakeLevel("deepest", 1, 2400, 560)});
  levels.Learn({}, "deep", {MakeLevel("deepest", 2, 2400, 560)});
  levels.Learn({}, "deep", {MakeLevel("deepest", 3, 0, 3)});
  CHECK(levels.HighestOnCallPath({}, "deep").level > 2.3);
}

TEST_CASE(
    "downstream levels: few misattributed calls do not extend a call path") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  for (int i = 0; i < 200; ++i) {
    clock.Advance(milliseconds{10});
    levels.RecordCompleted("shallow");
    levels.RecordCompleted("deep");
    levels.LearnFromSubCall({}, i % 20 == 0 ? "shallow" : "deep",
                            {MakeLevel("deepest", 7, 1500)});
  }
  CHECK(levels.HighestOnCallPath({}, "deep").level == Approx(1.5));
  CHECK(levels.HighestOnCallPath({}, "shallow").level == 0);
}

TEST_CASE("downstream levels: levels on the call path are forwarded first") {
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  std::vector<AdmissionLevel> many;
  for (NodeId node = 1; node <= 40; ++node) {
    AdmissionLevel entry =
        MakeLevel("service" + std::to_string(node), node, 700);
    entry.on_call_path = node == 40;
    many.push_back(entry);
  }
  levels.Learn({}, "deep", many);
  const auto forwarded = levels.Shedding({}, "deep", kMaxLevels);
  REQUIRE(forwarded.size() == kMaxLevels);
  CHECK(forwarded.front().service == "service40");
  CHECK(forwarded.front().on_call_path);
}

TEST_CASE("downstream levels: a new node relies on reports of others") {
  // One of hundreds of nodes: it has seen no reply of the route yet; others
  // report what they have seen along with replies of other routes.
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels seen{DownstreamLevelOptions{}, clock};
  DownstreamLevels new_node{DownstreamLevelOptions{}, clock};
  for (int i = 0; i < 10; ++i) {
    seen.Learn({}, "deep", {MakeLevel("deepest", 7, 1500)});
    seen.Learn({}, "shallow", {});
  }
  AdmissionLevel received = MakeLevel("deepest", 7, 1500);
  received.on_call_path = false;
  new_node.Learn({}, "shallow", {received});
  CHECK(new_node.HighestOnCallPath({}, "deep").level == 0);
  new_node.LearnCallPathReports(seen.CallPathReports(kMaxLevels));
  CHECK(new_node.HighestOnCallPath({}, "deep").level == Approx(1.5));
  CHECK(new_node.HighestOnCallPath({}, "shallow").level == 0);
  // Reports of others do not count as own evidence.
  for (const auto &report : new_node.CallPathReports(kMaxLevels))
    CHECK_FALSE(report.on_call_path);
}

TEST_CASE("downstream levels: few wrong reports do not extend a call path") {
  // Each node estimates which routes make calls; one in four is wrong.
  ManualClock clock{std::chrono::hours{1}};
  DownstreamLevels levels{DownstreamLevelOptions{}, clock};
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    clock.Advance(milliseconds{10});
    AdmissionLevel received = MakeLevel("deepest", 7, 1500);
    received.on_call_path = false;
    levels.Learn({}, "other", {received});
    levels.LearnCallPathReports({{"download", "deepest", i % 4 == 0}});
    if (levels.HighestOnCallPath({}, "download").level > 0) ++refused;
  }
  CHECK(refused < 50);
}
