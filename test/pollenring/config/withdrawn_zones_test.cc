#include "pollenring/config/withdrawn_zones.h"

#include <catch2/catch.hpp>

#include "support/member_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::ApplyZoneChanges;
using pollenring::WithdrawnZones;
using pollenring::ZoneWithdrawals;

}  // namespace

TEST_CASE("withdrawn zones: an older report never becomes active again") {
  WithdrawnZones zones;
  CHECK_FALSE(zones.HasRevision());
  CHECK_FALSE(zones.Contains("a"));
  CHECK(zones.Merge({4, {}}));
  CHECK(zones.HasRevision());
  CHECK(zones.Merge({9, {"a"}}));
  CHECK(zones.Contains("a"));
  // A late report, and one of the same revision.
  CHECK_FALSE(zones.Merge({7, {}}));
  CHECK_FALSE(zones.Merge({9, {}}));
  CHECK(zones.Contains("a"));
  // A newer one with the same zones is no change, but raises the revision.
  CHECK_FALSE(zones.Merge({12, {"a"}}));
  CHECK_FALSE(zones.Merge({11, {}}));
  CHECK(zones.Merge({13, {}}));
  CHECK_FALSE(zones.Contains("a"));
}

TEST_CASE("withdrawn zones: changes apply in their order") {
  const ZoneWithdrawals withdrawals = ApplyZoneChanges(
      {3, {"b"}}, 8,
      {{"a", true}, {"b", false}, {"c", true}, {"c", false}, {"a", true}});
  CHECK(withdrawals.revision == 8);
  CHECK(withdrawals.zones == std::vector<std::string>{"a"});
  CHECK(ApplyZoneChanges(withdrawals, 9, {{"a", false}, {"a", true}}).zones ==
        withdrawals.zones);
}

TEST_CASE(
    "withdrawn zones: a report reaches the complete fleet despite restarts and "
    "pauses") {
  const int size = GENERATE(87, 300);
  const std::uint64_t seed = GENERATE(3, 17, 29);
  CAPTURE(size, seed);
  support::MemberFleet fleet{size, seed};
  fleet.Run(6s);
  const auto report = [&fleet](int index, const ZoneWithdrawals &withdrawals) {
    auto &node = *fleet.nodes[static_cast<std::size_t>(index)];
    if (node.zones.Merge(withdrawals)) node.membership.SetZones(withdrawals);
  };
  // Six designated watchers receive it; one receives an older one late.
  for (int i = 0; i < 6; ++i) report(i * size / 6, {100, {"a"}});
  for (int i = 1; i < size; i += 17) fleet.Kill(i);
  auto &frozen = *fleet.nodes[2];
  frozen.frozen = true;
  fleet.Run(1s);
  for (int i = 1; i < size; i += 17) fleet.Boot(i);
  report(size / 6, {90, {}});
  fleet.Run(2500ms);
  int older = 0;
  for (int i = 0; i < size; ++i) {
    if (i == 2) continue;
    const auto &node = *fleet.nodes[static_cast<std::size_t>(i)];
    if (!node.zones.Contains("a")) ++older;
  }
  CHECK(older == 0);
  // A node that resumes holds an old report, which the others ignore.
  frozen.frozen = false;
  fleet.Run(1s);
  CHECK(frozen.zones.Contains("a"));
  report(0, {120, {}});
  fleet.Run(3s);
  int withdrawn = 0;
  for (int i = 0; i < size; ++i) {
    const auto &node = *fleet.nodes[static_cast<std::size_t>(i)];
    if (node.zones.Contains("a")) ++withdrawn;
  }
  CHECK(withdrawn == 0);
}

TEST_CASE("withdrawn zones: a later era replaces a newer revision") {
  WithdrawnZones zones;
  CHECK(zones.Merge({90, {"a"}, 2}));
  // The store returned from an older copy.
  CHECK(zones.Merge({70, {}, 3}));
  CHECK_FALSE(zones.Contains("a"));
  CHECK_FALSE(zones.Merge({95, {"a"}, 2}));
  // Builds that don't report the era may hold an earlier one.
  CHECK_FALSE(zones.Merge({96, {"a"}}));
  CHECK_FALSE(zones.Contains("a"));
  CHECK(zones.Merge({71, {"b"}, 3}));
}

TEST_CASE(
    "withdrawn zones: a later era reaches the complete fleet despite restarts "
    "and late reports") {
  const int size = GENERATE(87, 300);
  const std::uint64_t seed = GENERATE(3, 17, 29);
  CAPTURE(size, seed);
  support::MemberFleet fleet{size, seed};
  fleet.Run(6s);
  const auto report = [&fleet](int index, const ZoneWithdrawals &withdrawals) {
    auto &node = *fleet.nodes[static_cast<std::size_t>(index)];
    node.zones.Merge(withdrawals);
    node.membership.SetZones(node.zones.Newest());
  };
  for (int i = 0; i < 6; ++i) report(i * size / 6, {100, {"a"}, 1});
  fleet.Run(3s);
  // One watcher reads the restored store, another one answers late.
  report(0, {40, {"b"}, 2});
  for (int i = 1; i < size; i += 17) fleet.Kill(i);
  fleet.Freeze(2);
  fleet.Run(1s);
  for (int i = 1; i < size; i += 17) fleet.Boot(i);
  report(3 * size / 6, {120, {"a"}, 1});
  fleet.Thaw(2);
  fleet.Run(2500ms);
  int outdated = 0;
  for (const auto &node : fleet.nodes) {
    const bool current =
        node->zones.Contains("b") && !node->zones.Contains("a");
    if (!current) ++outdated;
  }
  CHECK(outdated == 0);
}
