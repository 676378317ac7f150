#include "pollenring/routing/router.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace {

using pollenring::CallVerdict;
using pollenring::ManualClock;
using pollenring::Member;
using pollenring::MemberState;
using pollenring::NodeId;
using pollenring::Router;
using pollenring::SeededRandom;
using pollenring::Target;
using pollenring::TargetState;

[[nodiscard]] Member Make(NodeId id, const std::string &zone,
                          std::uint32_t slots = 10) {
  Member member;
  member.id = id;
  member.incarnation = 1;
  member.zone = zone;
  member.region = "r";
  member.targets.push_back({"s", slots, TargetState::kWarm});
  return member;
}

struct Fixture {
  Fixture()
      : clock{std::chrono::hours{1}},
        random{1},
        router{"a", "r", {}, clock, random} {
    for (NodeId id = 1; id <= 9; ++id) {
      router.Update(Make(id, std::string(1, static_cast<char>('a' + id % 3))));
    }
  }

  NodeId Start() {
    const auto node = this->router.Choose("s", {});
    REQUIRE(node);
    this->router.Started("s", *node);
    return *node;
  }

  ManualClock clock;
  SeededRandom random;
  Router router;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "router: the own zone goes first while it has room") {
  std::map<NodeId, int> started;
  for (int i = 0; i < 24; ++i) ++started[this->Start()];
  for (const auto &[node, count] : started) CHECK(node % 3 == 0);
  for (int i = 0; i < 200; ++i) ++started[this->Start()];
  int elsewhere = 0;
  for (const auto &[node, count] : started) {
    if (node % 3 != 0) elsewhere += count;
  }
  CHECK(elsewhere > 100);
}

TEST_CASE_METHOD(Fixture,
                 "router: a failing target is set aside, probed back") {
  for (int i = 0; i < 200; ++i) {
    const NodeId node = this->Start();
    this->router.Finished(
        "s", node, node == 3 ? CallVerdict::kFailed : CallVerdict::kAnswered,
        std::nullopt);
  }
  int to_failing = 0;
  const auto round = [&](CallVerdict verdict) {
    to_failing = 0;
    for (int i = 0; i < 100; ++i) {
      const NodeId node = this->Start();
      if (node == 3) ++to_failing;
      this->router.Finished("s", node,
                            node == 3 ? verdict : CallVerdict::kAnswered,
                            std::nullopt);
    }
  };
  round(CallVerdict::kFailed);
  CHECK(to_failing <= 1);
  this->clock.Advance(std::chrono::seconds{9});
  // One trial, not a herd; and with its success the target is back.
  NodeId trial = this->Start();
  CHECK(trial == 3);
  for (int i = 0; i < 50; ++i) CHECK(this->Start() != 3);
  this->router.Finished("s", 3, CallVerdict::kAnswered, std::nullopt);
  this->clock.Advance(std::chrono::seconds{4});
  round(CallVerdict::kAnswered);
  CHECK(to_failing > 0);
}

TEST_CASE_METHOD(Fixture,
                 "router: leaving, draining and dead take no new work") {
  Member leaving = Make(3, "a");
  leaving.version = 2;
  leaving.state = MemberState::kLeaving;
  this->router.Update(leaving);
  Member draining = Make(6, "a");
  draining.targets.front().state = TargetState::kDraining;
  this->router.Update(draining);
  Member dead = Make(9, "a");
  dead.state = MemberState::kDead;
  this->router.Update(dead);
  for (int i = 0; i < 100; ++i) CHECK(this->Start() % 3 != 0);
  CHECK(this->router.Count("s") == 6);
}

TEST_CASE_METHOD(Fixture, "router: reported load counts more than a lie") {
  // Node 3 reports that it is full, though this node has sent it nothing.
  this->router.Started("s", 3);
  this->router.Finished("s", 3, CallVerdict::kAnswered,
                        pollenring::LoadReport{40, 10});
  int to_full = 0;
  for (int i = 0; i < 100; ++i) {
    const NodeId node = this->Start();
    if (node == 3) ++to_full;
    this->router.Finished("s", node, CallVerdict::kAnswered, std::nullopt);
  }
  CHECK(to_full <= 40);
}

TEST_CASE_METHOD(Fixture, "router: with all set aside, each is still tried") {
  for (int i = 0; i < 200; ++i) {
    const auto node = this->router.Choose("s", {});
    if (!node) continue;
    this->router.Started("s", *node);
    this->router.Finished("s", *node, CallVerdict::kFailed, std::nullopt);
  }
  std::vector<NodeId> tried;
  for (int i = 0; i < 9; ++i) {
    const auto node = this->router.Choose("s", tried);
    REQUIRE(node);
    CHECK(std::count(tried.begin(), tried.end(), *node) == 0);
    tried.push_back(*node);
  }
  CHECK_FALSE(this->router.Choose("s", tried));
  // One that answers is usable again, and the others get trials only.
  this->router.Finished("s", 4, CallVerdict::kAnswered, std::nullopt);
  CHECK(this->Start() == 4);
  CHECK_FALSE(this->router.Choose("s", {4}));
}

namespace {

/*! @brief A router in zone "a" that prefers the soonest answer. */
struct SoonestWorld {
  SoonestWorld(std::uint64_t seed, const std::vector<std::string> &zones)
      : random{seed}, router{"a", "r", Options(), this->clock, this->random} {
    for (const auto &zone : zones) {
      Member member;
      member.id = ++this->nodes;
      member.zone = zone;
      member.region = "r";
      member.targets = {{"s", 20, pollenring::TargetState::kWarm}};
      this->router.Update(member);
    }
  }

  /*! @brief Starts a call. @return The node that was chosen. */
  pollenring::NodeId Start() {
    const auto node = this->router.Choose("s", {});
    REQUIRE(node);
    this->router.Started("s", *node);
    return *node;
  }

  /*! @brief Starts calls that all take 30 ms. @return How many each got. */
  std::map<NodeId, int> Spread(int calls) {
    std::map<NodeId, int> started;
    for (int i = 0; i < calls; ++i) {
      const NodeId node = this->Start();
      ++started[node];
      this->clock.Advance(std::chrono::milliseconds{5});
      this->router.Finished("s", node, CallVerdict::kAnswered, std::nullopt,
                            pollenring::Duration{30'000});
    }
    return started;
  }

  static pollenring::RouterOptions Options() {
    pollenring::RouterOptions options;
    options.order = pollenring::LoadBalancingPolicy::kLeastLatency;
    return options;
  }

  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random;
  Router router;
  pollenring::NodeId nodes{};
};

}  // namespace

TEST_CASE(
    "router: the target that answers soonest gets most, until it is full") {
  SoonestWorld world{9, {"b", "b", "a"}};
  std::map<pollenring::NodeId, int> started;
  // The third is in this zone and takes three times as long.
  const auto took = [](pollenring::NodeId id) {
    return pollenring::Duration{id == 3 ? 90'000 : 30'000};
  };
  for (int i = 0; i < 400; ++i) {
    const pollenring::NodeId node = world.Start();
    ++started[node];
    world.clock.Advance(std::chrono::milliseconds{5});
    world.router.Finished("s", node, pollenring::CallVerdict::kAnswered,
                          std::nullopt, took(node));
  }
  CHECK(started[3] < 40);
  CHECK(started[1] > 100);
  CHECK(started[2] > 100);
  // With the sooner ones overfull it takes its part.
  started.clear();
  for (int i = 0; i < 80; ++i) {
    const pollenring::NodeId node = world.Start();
    ++started[node];
  }
  CHECK(started[3] > 8);
}

TEST_CASE(
    "router: a target that breaks off a fifth of its answers is left alone") {
  SoonestWorld world{5, {"a", "a"}};
  const auto play = [&](int calls, double broken) {
    int to_second = 0;
    for (int i = 0; i < calls; ++i) {
      const pollenring::NodeId node = world.Start();
      world.clock.Advance(std::chrono::milliseconds{5});
      if (node == 2) ++to_second;
      const bool fails = node == 2 && world.random.Chance(broken);
      world.router.Finished(
          "s", node,
          fails ? pollenring::CallVerdict::kFailed
                : pollenring::CallVerdict::kAnswered,
          std::nullopt,
          fails ? pollenring::Duration{0} : pollenring::Duration{30'000});
    }
    return to_second;
  };
  CHECK(play(1000, 0) > 350);
  // Failures in a row alone leave it 88 calls of these 1500.
  CHECK(play(1500, 0.2) < 40);
  CHECK(play(2000, 0) > 400);
  CHECK(play(1000, 0) > 350);
}

TEST_CASE("router: what fails at all targets alike leaves them all in use") {
  SoonestWorld world{5, {"a", "a"}};
  std::map<pollenring::NodeId, int> started;
  for (int i = 0; i < 2000; ++i) {
    const pollenring::NodeId node = world.Start();
    ++started[node];
    world.clock.Advance(std::chrono::milliseconds{5});
    world.router.Finished("s", node,
                          world.random.Chance(0.4)
                              ? pollenring::CallVerdict::kFaulty
                              : pollenring::CallVerdict::kAnswered,
                          std::nullopt, pollenring::Duration{30'000});
  }
  CHECK(started[1] > 600);
  CHECK(started[2] > 600);
}

TEST_CASE("router: targets of withdrawn zones get nothing until given back") {
  SoonestWorld world{4, {"a", "b", "c"}};
  std::vector<Member> members;
  for (NodeId id = 1; id <= 3; ++id) {
    Member member = Make(id, std::string(1, static_cast<char>('a' + id - 1)));
    members.push_back(member);
  }
  const auto follow = [&](const std::vector<std::string> &zones) {
    REQUIRE(world.router.Withdraw(zones));
    for (const auto &member : members) world.router.Update(member);
  };
  follow({"a", "c"});
  for (int i = 0; i < 50; ++i) CHECK(world.Start() == 2);
  follow({"a", "b", "c"});
  CHECK_FALSE(world.router.Choose("s", {}));
  CHECK(world.router.Count("s") == 0);
  follow({});
  CHECK(world.Spread(90).size() == 3);
  CHECK_FALSE(world.router.Withdraw({}));
}

TEST_CASE("router: a request stays in the regions that it names") {
  SoonestWorld world{6, {"a", "a", "a"}};
  Member away = Make(4, "far");
  away.region = "q";
  world.router.Update(away);
  for (int i = 0; i < 60; ++i) {
    const auto there = world.router.Choose("s", {}, {"q"});
    REQUIRE(there);
    CHECK(*there == 4);
    const auto here = world.router.Choose("s", {}, {"r"});
    REQUIRE(here);
    CHECK(*here != 4);
  }
  CHECK_FALSE(world.router.Choose("s", {4}, {"q"}));
  CHECK_FALSE(world.router.Choose("s", {}, {"none"}));
  // Also when all targets there are set aside, and others are not.
  for (int i = 0; i < 3; ++i) {
    world.router.Started("s", 4);
    world.router.Finished("s", 4, CallVerdict::kFailed, std::nullopt);
  }
  CHECK(world.router.Choose("s", {}, {"q"}) == NodeId{4});
}

TEST_CASE("router: a target is warm again when it said that it would be") {
  SoonestWorld world{8, {"a", "a"}};
  world.router.Started("s", 1);
  pollenring::LoadReport cold{1, 20};
  cold.cold_ms = 2000;
  world.router.Finished("s", 1, CallVerdict::kShed, cold);
  CHECK(world.router.HasWarm("s"));
  world.router.Started("s", 2);
  world.router.Finished("s", 2, CallVerdict::kShed, cold);
  CHECK_FALSE(world.router.HasWarm("s"));
  world.clock.Advance(std::chrono::milliseconds{2001});
  CHECK(world.router.HasWarm("s"));
  const auto started = world.Spread(90);
  CHECK(started.at(1) > 20);
  CHECK(started.at(2) > 20);
}
