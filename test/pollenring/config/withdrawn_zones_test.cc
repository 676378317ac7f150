#include "pollenring/config/withdrawn_zones.h"

#include <catch2/catch.hpp>

#include "support/member_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::ApplyZoneChanges;
using pollenring::WithdrawnZones;
using pollenring::ZoneWithdrawals;

}  // namespace

TEST_CASE("withdrawn zones: an older word is never in force again") {
  WithdrawnZones zones;
  CHECK_FALSE(zones.HasRevision());
  CHECK_FALSE(zones.Contains("a"));
  CHECK(zones.Take({4, {}}));
  CHECK(zones.HasRevision());
  CHECK(zones.Take({9, {"a"}}));
  CHECK(zones.Contains("a"));
  // Late, and the same once more.
  CHECK_FALSE(zones.Take({7, {}}));
  CHECK_FALSE(zones.Take({9, {}}));
  CHECK(zones.Contains("a"));
  // A newer one that says the same is no change, but counts as newer.
  CHECK_FALSE(zones.Take({12, {"a"}}));
  CHECK_FALSE(zones.Take({11, {}}));
  CHECK(zones.Take({13, {}}));
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
    "withdrawn zones: a word reaches a whole fleet, with cuts, restarts "
    "and pauses") {
  const int size = GENERATE(87, 300);
  const std::uint64_t seed = GENERATE(3, 17, 29);
  CAPTURE(size, seed);
  support::MemberFleet fleet{size, seed};
  fleet.Run(6s);
  const auto tell = [&fleet](int index, const ZoneWithdrawals &withdrawals) {
    auto &node = *fleet.nodes[static_cast<std::size_t>(index)];
    if (node.zones.Take(withdrawals)) node.membership.SetZones(withdrawals);
  };
  // Six nodes on duty hear of it; of another, one hears late.
  for (int i = 0; i < 6; ++i) tell(i * size / 6, {100, {"a"}});
  for (int i = 1; i < size; i += 17) fleet.Kill(i);
  auto &frozen = *fleet.nodes[2];
  frozen.frozen = true;
  fleet.Run(1s);
  for (int i = 1; i < size; i += 17) fleet.Boot(i);
  tell(size / 6, {90, {}});
  fleet.Run(2500ms);
  int older = 0;
  for (int i = 0; i < size; ++i) {
    if (i == 2) continue;
    const auto &node = *fleet.nodes[static_cast<std::size_t>(i)];
    if (!node.zones.Contains("a")) ++older;
  }
  CHECK(older == 0);
  // One that wakes holds old news, which nobody takes from it.
  frozen.frozen = false;
  fleet.Run(1s);
  CHECK(frozen.zones.Contains("a"));
  tell(0, {120, {}});
  fleet.Run(3s);
  int withdrawn = 0;
  for (int i = 0; i < size; ++i) {
    const auto &node = *fleet.nodes[static_cast<std::size_t>(i)];
    if (node.zones.Contains("a")) ++withdrawn;
  }
  CHECK(withdrawn == 0);
}
