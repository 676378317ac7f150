#include "pollenring/contract/host_policy.h"

#include <catch2/catch.hpp>

#include "pollenring/admission/shed_levels.h"

namespace {

using pollenring::HostPolicy;
using pollenring::HostRoute;
using pollenring::HostTable;
using pollenring::Importance;
using pollenring::KeyedWorkspace;
using pollenring::PriorityOf;

[[nodiscard]] HostRoute Route(const std::string &name, const std::string &host,
                              const std::string &prefix) {
  HostRoute route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

/*! @brief Priority of a workspace's request on a route with a rank. */
[[nodiscard]] double PriorityIn(const HostTable &table, const std::string &key,
                                int route_rank, double sub_priority) {
  HostRoute route;
  route.rank = route_rank;
  const auto priority =
      table.RequestPriorityOf(route, table.WorkspaceOf(key), sub_priority);
  CHECK(priority.sub_priority >= 0);
  CHECK(priority.sub_priority < 1);
  return PriorityOf(priority.importance, priority.sub_priority);
}

}  // namespace

TEST_CASE("host table: workspace rank takes precedence over route rank") {
  HostPolicy policy;
  policy.workspaces = {{{"first", 5, 7, {}}, 0, {"k0"}},
                       {{"second", 5, 7, {}}, 1, {"k1"}},
                       {{"third", 5, 7, {}}, 4, {"k4"}},
                       {{"plain", 5, 7, {}}, std::nullopt, {"k"}}};
  const bool some_unranked = GENERATE(true, false);
  if (!some_unranked) policy.workspaces.pop_back();
  const HostTable table{policy};
  CHECK(table.WorkspacesRanked());
  CHECK(PriorityIn(table, "k0", 2, 0) > PriorityIn(table, "k1", 0, 0.99));
  CHECK(PriorityIn(table, "k1", 2, 0) > PriorityIn(table, "k4", 0, 0.99));
  // At equal workspace rank, route rank decides, then sub-priority.
  for (const std::string key : {"k0", "k1", "k4"}) {
    CHECK(PriorityIn(table, key, 0, 0) > PriorityIn(table, key, 1, 0.99));
    CHECK(PriorityIn(table, key, 1, 0) > PriorityIn(table, key, 2, 0.99));
    CHECK(PriorityIn(table, key, 1, 0.6) > PriorityIn(table, key, 1, 0.5));
  }
  // The lowest workspaces have their routes' priority.
  const std::string lowest = some_unranked ? "k" : "k4";
  CHECK(PriorityIn(table, lowest, 0, 0.5) == 2.5);
  CHECK(PriorityIn(table, lowest, 2, 0.25) == 0.25);
  if (!some_unranked) return;
  CHECK(PriorityIn(table, "k4", 2, 0) > PriorityIn(table, "k", 0, 0.99));
}

TEST_CASE(
    "host table: route ranks decide if all workspaces have the same rank") {
  HostPolicy policy;
  policy.workspaces = {{{"one", 5, 7, {}}, 1, {"k0"}},
                       {{"two", 5, 7, {}}, 1, {"k1"}}};
  const HostTable table{policy};
  const auto priority = table.RequestPriorityOf(Route("r", "a", "/"),
                                                table.WorkspaceOf("k0"), 0.25);
  CHECK_FALSE(table.WorkspacesRanked());
  CHECK(priority.importance == Importance::kHigh);
  CHECK(priority.sub_priority == 0.25);
  CHECK(PriorityIn(table, "k0", 0, 0) > PriorityIn(table, "k1", 1, 0.99));
}

TEST_CASE("host table: the longest matching prefix of a host wins") {
  HostPolicy policy;
  policy.routes = {Route("short", "a.example", "/x/"),
                   Route("long", "a.example", "/x/y/"),
                   Route("other", "b.example", "/x/y/z/")};
  const HostTable table{policy};
  REQUIRE(table.Find("a.example", "/x/y/z/1") != nullptr);
  CHECK(table.Find("a.example", "/x/y/z/1")->name == "long");
  CHECK(table.Find("a.example", "/x/z")->name == "short");
  CHECK(table.Find("a.example", "/x") == nullptr);
  CHECK(table.Find("c.example", "/x/") == nullptr);
}

TEST_CASE("host table: keys identify workspaces and rate 0 means no limit") {
  HostPolicy policy;
  policy.workspaces = {{{"club", 5, 7, {}}, 1, {"k1", "k2"}},
                       {{"free", 0, 0, {}}, 1, {"k3"}}};
  const HostTable table{policy};
  CHECK(table.NeedsKeys());
  REQUIRE(table.WorkspaceOf("k2") != nullptr);
  CHECK(table.WorkspaceOf("k2")->rate_limit.name == "club");
  CHECK(table.WorkspaceOf("k4") == nullptr);
  CHECK(table.WorkspaceOf("") == nullptr);
  REQUIRE(table.RateLimitOf("club") != nullptr);
  CHECK(table.RateLimitOf("club")->rate == 5);
  CHECK(table.RateLimitOf("free") == nullptr);
}
