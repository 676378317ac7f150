#include <catch2/catch.hpp>
#include <map>

#include "support/seeds.h"
#include "support/watched_fleet.h"

namespace {

using namespace std::chrono_literals;
using support::WatchedFleet;

/*! @brief Time in which a change must be active on undisturbed nodes, as
 * deployments of this size ask for. */
[[nodiscard]] std::chrono::milliseconds ApplyWithin(int size) {
  if (size <= 16) return 2000ms;
  return size <= 87 ? 2500ms : 3000ms;
}

/*! @brief How watchers are disturbed. */
enum class Disturbance { kKilled, kFrozen, kUnserved };

void Disturb(WatchedFleet &fleet, int node, Disturbance how) {
  if (how == Disturbance::kKilled) fleet.Kill(node);
  if (how == Disturbance::kFrozen) fleet.members.Freeze(node);
  if (how == Disturbance::kUnserved) fleet.unserved.insert(node);
}

/*! @brief Counts nodes that lack the newest version. */
[[nodiscard]] int Late(const WatchedFleet &fleet,
                       const std::set<int> &disturbed) {
  int late = 0;
  for (int i = 0; i < fleet.members.Size(); ++i) {
    if (disturbed.count(i) == 0 && !fleet.UpToDate(i)) ++late;
  }
  return late;
}

}  // namespace

TEST_CASE("config propagation: a change reaches all nodes in time") {
  for (const int size : {16, 87, 194}) {
    for (const auto seed : support::Seeds(2)) {
      CAPTURE(size, seed);
      WatchedFleet fleet{size, seed};
      fleet.Run(8s);
      for (int i = 0; i < 4; ++i) {
        fleet.Change();
        fleet.Run(ApplyWithin(size));
        CHECK(Late(fleet, {}) == 0);
        fleet.Run(700ms);
      }
    }
  }
}

TEST_CASE(
    "config propagation: a change is active in time although all designated "
    "watchers fail with it") {
  const auto how = GENERATE(Disturbance::kKilled, Disturbance::kFrozen,
                            Disturbance::kUnserved);
  for (const int size : {16, 87}) {
    for (const auto seed : support::Seeds(12)) {
      CAPTURE(static_cast<int>(how), size, seed);
      WatchedFleet fleet{size, seed};
      fleet.Run(8s);
      const auto disturbed = fleet.Designated();
      for (const int node : disturbed) Disturb(fleet, node, how);
      fleet.Run(std::chrono::milliseconds{fleet.members.random.Index(400)});
      fleet.Change();
      fleet.Run(ApplyWithin(size));
      CHECK(Late(fleet, disturbed) == 0);
    }
  }
}

TEST_CASE(
    "config propagation: a node that only the store reaches has changes in "
    "time") {
  for (const int size : {16, 87}) {
    for (const auto seed : support::Seeds(6)) {
      CAPTURE(size, seed);
      WatchedFleet fleet{size, seed};
      fleet.Run(8s);
      const int node = static_cast<int>(
          fleet.members.random.Index(static_cast<std::size_t>(size)));
      fleet.Isolate(node);
      for (int i = 0; i < 6; ++i) {
        fleet.Run(std::chrono::milliseconds{fleet.members.random.Index(2000)});
        fleet.Change();
        fleet.Run(ApplyWithin(size));
        CHECK(fleet.UpToDate(node));
      }
    }
  }
}

TEST_CASE(
    "config propagation: nodes cut off from all designated watchers have "
    "changes in time") {
  constexpr int kSize = 87;
  for (const auto seed : support::Seeds(8)) {
    CAPTURE(seed);
    WatchedFleet fleet{kSize, seed};
    fleet.Run(8s);
    const auto designated = fleet.Designated();
    std::set<int> cut;
    while (cut.size() < 15) {
      const int node = static_cast<int>(fleet.members.random.Index(kSize));
      if (designated.count(node) == 0) cut.insert(node);
    }
    for (int i = 0; i < kSize; ++i) {
      for (const int node : cut) {
        if (cut.count(i) == 0)
          fleet.members.network.partitions.insert({node, i});
      }
    }
    for (int i = 0; i < 6; ++i) {
      fleet.Run(std::chrono::milliseconds{fleet.members.random.Index(2000)});
      fleet.Change();
      fleet.Run(ApplyWithin(kSize));
      CHECK(Late(fleet, {}) == 0);
    }
  }
}

TEST_CASE(
    "config propagation: a node that stood still reports no store contact "
    "younger than it is") {
  for (const auto seed : support::Seeds(6)) {
    CAPTURE(seed);
    WatchedFleet fleet{87, seed};
    fleet.Run(8s);
    for (int i = 0; i < 20; ++i) fleet.members.Freeze(i);
    fleet.Run(1s);
    // From now on the store serves nobody.
    for (int i = 0; i < 87; ++i) fleet.unserved.insert(i);
    fleet.Run(5s);
    for (int i = 0; i < 20; ++i) fleet.members.Thaw(i);
    fleet.Run(500ms);
    for (int i = 0; i < 87; ++i) {
      CHECK(fleet.members.At(i)->LastStoreContact() <=
            fleet.last_contact + 100ms);
    }
  }
}

TEST_CASE(
    "config propagation: a change reaches nodes whose connections went silent "
    "before it in time") {
  for (const int size : {16, 87, 194}) {
    for (const double fraction : {0.7, 1.0}) {
      for (const auto seed : support::Seeds(2)) {
        CAPTURE(size, fraction, seed);
        WatchedFleet fleet{size, seed};
        fleet.Run(8s);
        fleet.Sever(fraction);
        // Longer than the time after which disturbed nodes are in touch.
        fleet.Run(4500ms);
        for (int i = 0; i < 3; ++i) {
          fleet.Change();
          fleet.Run(ApplyWithin(size));
          CHECK(Late(fleet, {}) == 0);
          fleet.Run(700ms);
        }
      }
    }
  }
}
