#include "pollenring/membership/store_watcher_role.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "support/member_fleet.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Duration;
using pollenring::StoreWatcherOptions;
using pollenring::StoreWatcherRole;
using pollenring::Time;
using support::MemberFleet;

/*! @brief Nodes that watch a store whenever their role says so. */
class Watchers {
 public:
  explicit Watchers(MemberFleet &fleet) : fleet{fleet} {}

  /*! @brief Whether the store responds to a node. */
  std::function<bool(int)> store_responds = [](int) { return true; };

  /*! @brief Runs the fleet and its watches. @param length For this long. */
  void Run(std::chrono::milliseconds duration) {
    constexpr auto kStep = 100ms;
    for (auto passed = 0ms; passed < duration; passed += kStep) {
      this->fleet.Run(kStep);
      this->now += kStep;
      for (int i = 0; i < this->fleet.Size(); ++i) this->Step(i);
    }
  }

  /*! @brief Maximum age of the last store contact over the live nodes. */
  [[nodiscard]] Duration Oldest() const {
    Duration oldest{0};
    for (int i = 0; i < this->fleet.Size(); ++i) {
      const auto *membership = this->fleet.At(i);
      if (membership == nullptr) continue;
      oldest = std::max(
          oldest, this->fleet.clock.Now() - membership->LastStoreContact());
    }
    return oldest;
  }

  int calls{};

 private:
  void Step(int index) {
    auto *membership = this->fleet.At(index);
    if (membership == nullptr) return;
    const StoreWatcherRole duty{*membership, this->versions,
                                StoreWatcherOptions{}, this->fleet.clock};
    Time &due = this->due[index];
    if (!duty.ShouldWatch() || this->now < due) return;
    ++this->calls;
    const bool responded = this->store_responds(index);
    due = this->now +
          (responded ? duty.NextWatch(this->fleet.random) : Duration{800ms});
    if (responded) membership->RecordStoreContact();
  }

  MemberFleet &fleet;
  pollenring::PeerVersions versions; /*!< All run the same build. */
  Time now{};
  std::map<int, Time> due;
};

}  // namespace

TEST_CASE(
    "store watcher role: calls do not grow with the fleet and reports reach "
    "all nodes") {
  for (const int size : {30, 100, 300}) {
    MemberFleet fleet{size, 4};
    Watchers watchers{fleet};
    watchers.Run(20s);
    watchers.calls = 0;
    Duration oldest{0};
    for (int i = 0; i < 20; ++i) {
      watchers.Run(1s);
      oldest = std::max(oldest, watchers.Oldest());
    }
    INFO("nodes " << size << ", calls " << watchers.calls << ", oldest "
                  << oldest.count());
    // Six designated watchers, a call each 1.1 to 2.2 s, in steps of 100 ms.
    CHECK(watchers.calls < 6 * 20);
    CHECK(watchers.calls > 6 * 20 / 3);
    CHECK(oldest < 2500ms);
  }
}

TEST_CASE(
    "store watcher role: other nodes take over from killed or rejected "
    "watchers") {
  const pollenring::PeerVersions versions;
  for (const auto seed : support::Seeds(4)) {
    INFO("seed " << seed);
    MemberFleet fleet{100, seed};
    Watchers watchers{fleet};
    watchers.Run(20s);
    // The store rejects all designated watchers and a third of the others.
    std::set<int> rejected;
    for (int i = 0; i < fleet.Size(); ++i) {
      const StoreWatcherRole duty{*fleet.At(i), versions, StoreWatcherOptions{},
                                  fleet.clock};
      if (duty.IsDesignated() || i % 3 == 0) rejected.insert(i);
    }
    watchers.store_responds = [&rejected](int node) {
      return rejected.count(node) == 0;
    };
    watchers.Run(4s);
    CHECK(watchers.Oldest() < 4s);
    watchers.calls = 0;
    watchers.Run(10s);
    CHECK(watchers.Oldest() < 4500ms);
    // Far from one call a second for each of 100 nodes.
    CHECK(watchers.calls < 300);
    watchers.store_responds = [](int) { return true; };
    // All designated watchers are killed at once, while the last store contact
    // is already old.
    std::vector<int> on_duty;
    for (int i = 0; i < fleet.Size(); ++i) {
      const StoreWatcherRole duty{*fleet.At(i), versions, StoreWatcherOptions{},
                                  fleet.clock};
      if (duty.IsDesignated()) on_duty.push_back(i);
    }
    for (const int node : on_duty) fleet.Kill(node);
    watchers.Run(4s);
    CHECK(watchers.Oldest() < 3500ms);
  }
}

TEST_CASE("store watcher role: an isolated node watches the store") {
  MemberFleet fleet{12, 2};
  Watchers watchers{fleet};
  watchers.Run(10s);
  for (int i = 1; i < 12; ++i) fleet.network.partitions.insert({0, i});
  watchers.Run(4s);
  const pollenring::PeerVersions versions;
  const StoreWatcherRole duty{*fleet.At(0), versions, StoreWatcherOptions{},
                              fleet.clock};
  CHECK(duty.ShouldWatch());
}

TEST_CASE(
    "store watcher role: nodes that report no zone withdrawals don't count") {
  // Of 30 nodes the first ten run this build, the others V1.
  MemberFleet fleet{30, 5};
  fleet.Run(10s);
  pollenring::PeerVersions versions;
  for (int i = 10; i < fleet.Size(); ++i) {
    versions.MessageReceived(fleet.At(i)->Self().id,
                             pollenring::WireVersion::kV1);
  }
  std::map<std::string, int> on_duty;
  for (int i = 0; i < 10; ++i) {
    const StoreWatcherRole duty{*fleet.At(i), versions, StoreWatcherOptions{},
                                fleet.clock};
    if (duty.IsDesignated()) ++on_duty[fleet.At(i)->Self().zone];
  }
  REQUIRE(on_duty.size() == 3);
  for (const auto &[zone, nodes] : on_duty) CHECK(nodes == 2);
}
