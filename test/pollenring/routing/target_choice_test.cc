#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pollenring/routing/router.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CallVerdict;
using pollenring::Duration;
using pollenring::LoadReport;
using pollenring::ManualClock;
using pollenring::NodeId;
using pollenring::Router;
using pollenring::SeededRandom;

constexpr Duration kObjective = 300ms;

/*! @brief A router that knows two targets, of which the second is slow. */
struct TwoTargets {
  explicit TwoTargets(const std::vector<std::string> &zones = {"a", "a"}) {
    for (NodeId id = 1; id <= 2; ++id) {
      pollenring::Member member;
      member.id = id;
      member.zone = zones[id - 1];
      member.region = "r";
      member.targets = {{"s", 100, pollenring::TargetState::kWarm}};
      this->router.Update(member);
    }
  }

  void Report(NodeId node, const std::string &kind, std::uint32_t us,
              std::uint32_t slowness = 100, std::uint32_t load = 10) {
    LoadReport report;
    report.in_progress = load;
    report.limit = 100;
    report.service_us = us;
    report.slowness = slowness;
    report.kind_samples = 1000;
    this->router.Started("s", node);
    this->router.Finished("s", node, CallVerdict::kAnswered, report, 50ms,
                          kind);
  }

  /*! @brief Chooses a hundred times. @return How often the first target. */
  int First() {
    int first = 0;
    for (int i = 0; i < 100; ++i) {
      const auto node = this->router.Choose("s", {}, {}, {"light", kObjective});
      if (node == NodeId{1}) ++first;
    }
    return first;
  }

  [[nodiscard]] static pollenring::RouterOptions Options() {
    pollenring::RouterOptions options;
    options.order = pollenring::LoadBalancingPolicy::kLeastLatency;
    return options;
  }

  ManualClock clock{1h};
  SeededRandom random{3};
  Router router{"a", "r", Options(), clock, random};
};

}  // namespace

// Guards against taking a target for slow since it serves heavier kinds.
TEST_CASE("placement: a target's speed does not depend on its mix") {
  TwoTargets world;
  for (int i = 0; i < 200; ++i) {
    world.Report(1, "light", 20'000);
    world.Report(2, "heavy", 80'000);
    if (i % 10 == 0) world.Report(2, "light", 20'000);
  }
  const int first = world.First();
  CHECK(first > 30);
  CHECK(first < 70);
  for (int i = 0; i < 50; ++i) world.Report(2, "heavy", 160'000);
  CHECK(world.First() > 95);
}

// Guards against avoiding a target for ever after one report of slowness.
TEST_CASE("placement: reported slowness counts less with its age") {
  TwoTargets world;
  world.Report(1, "light", 20'000);
  world.Report(2, "light", 20'000, 400);
  CHECK(world.First() == 100);
  world.clock.Advance(3s);
  world.Report(1, "light", 20'000);
  const int first = world.First();
  CHECK(first > 25);
  CHECK(first < 75);
}

// Guards against all nodes choosing the target that was idle a while ago.
TEST_CASE("placement: an old report of load draws few calls") {
  TwoTargets world;
  world.Report(1, "light", 20'000, 100, 10);
  world.Report(2, "light", 20'000, 100, 95);
  CHECK(world.First() == 100);
  world.clock.Advance(3s);
  const int first = world.First();
  CHECK(first > 25);
  CHECK(first < 75);
}

// Guards against bytes between zones for which callers gain nothing.
TEST_CASE("placement: another zone is used for a gain that callers notice") {
  TwoTargets world{{"a", "b"}};
  world.Report(1, "light", 20'000);
  world.Report(2, "light", 16'000);
  CHECK(world.First() == 100);
  for (int i = 0; i < 20; ++i) world.Report(2, "light", 6'000);
  for (int i = 0; i < 20; ++i) world.Report(1, "light", 60'000);
  CHECK(world.First() == 0);
}
