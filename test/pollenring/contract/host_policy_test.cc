#include "pollenring/contract/host_policy.h"

#include <catch2/catch.hpp>

namespace {

using pollenring::HostPolicy;
using pollenring::HostRoute;
using pollenring::HostTable;

[[nodiscard]] HostRoute Route(const std::string &name, const std::string &host,
                              const std::string &prefix) {
  HostRoute route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

}  // namespace

TEST_CASE("host table: the longest prefix of the host wins") {
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

TEST_CASE("host table: keys name workspaces, rate 0 is no limit") {
  HostPolicy policy;
  policy.workspaces = {{{"club", 5, 7, {}}, 1, {"k1", "k2"}},
                       {{"free", 0, 0, {}}, 1, {"k3"}}};
  const HostTable table{policy};
  CHECK(table.NeedsKeys());
  REQUIRE(table.WorkspaceOf("k2") != nullptr);
  CHECK(table.WorkspaceOf("k2")->share.name == "club");
  CHECK(table.WorkspaceOf("k4") == nullptr);
  CHECK(table.WorkspaceOf("") == nullptr);
  REQUIRE(table.ShareOf("club") != nullptr);
  CHECK(table.ShareOf("club")->rate == 5);
  CHECK(table.ShareOf("free") == nullptr);
}
