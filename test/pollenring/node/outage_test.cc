#include <catch2/catch.hpp>
#include <csignal>

#include "support/cluster.h"
#include "support/stream.h"

using support::Cluster;
using support::Describe;
using support::Prepare;
using support::Stream;

TEST_CASE("always: a configuration survives restarts while the store is down") {
  Cluster cluster{17};
  Prepare(cluster);
  const std::string key = cluster.IssueKey(4, "club");
  const auto version = cluster.Status(4).value("config_version", 0ULL);
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5, 6}, 6));
  cluster.ControlPlatform({{"down", true}});
  // With the store down, a restarted node has only the seeds in its settings;
  // the others find it again by probing its known address.
  cluster.Signal("node3", SIGKILL);
  cluster.StartNode(3, "c");
  CHECK(cluster.Await(
      [&] {
        const auto status = cluster.Status(3);
        return status.is_object() &&
               status.value("config_version", 0ULL) == version;
      },
      std::chrono::seconds{20}));
  CHECK(cluster.Await(
      [&] {
        const auto response = cluster.Get(3, "/front/week", key);
        return response && response->status == 200;
      },
      std::chrono::seconds{20}));
}

namespace {

/*! @brief Five nodes, of which the first holds every slot. */
[[nodiscard]] std::string StartWithOneHolder(Cluster &cluster) {
  cluster.StartNode(1, "a");
  cluster.StartTarget(1, {"front", 16, 2, "middle:/x"});
  REQUIRE(cluster.AwaitReady({1}, 1));
  REQUIRE(cluster.Publish(1, support::GraphDocuments()) == 200);
  std::string key = cluster.IssueKey(1, "club");
  cluster.StartNode(2, "b");
  cluster.StartTarget(2, {"front", 16, 2, "middle:/x"});
  cluster.StartNode(3, "c");
  cluster.StartTarget(3, {"middle", 16, 2, "back:/x"});
  cluster.StartNode(4, "a");
  cluster.StartTarget(4, {"middle", 16, 2, "back:/x"});
  cluster.StartNode(5, "b");
  cluster.StartTarget(5, {"back", 16, 2, ""});
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5}, 5));
  return key;
}

}  // namespace

TEST_CASE("always: a lost holder is replaced while the store is down") {
  Cluster cluster{18};
  const std::string key = StartWithOneHolder(cluster);
  cluster.ControlPlatform({{"down", true}});
  cluster.Signal("node1", SIGKILL);
  CHECK(cluster.Await(
      [&] {
        const auto response = cluster.Get(2, "/front/week", key);
        return response && response->status == 200;
      },
      std::chrono::seconds{20}));
}

TEST_CASE("always: a planned stop while the store is down fails no request") {
  Cluster cluster{19};
  const std::string key = StartWithOneHolder(cluster);
  cluster.ControlPlatform({{"down", true}});
  Stream stream{cluster, {2, 3, 4, 5}, key, std::chrono::milliseconds{20}};
  cluster.Run(std::chrono::milliseconds{500});
  cluster.Signal("node1", SIGTERM);
  const auto code = cluster.AwaitEnd("node1", std::chrono::seconds{20});
  REQUIRE(code);
  CHECK(*code == 0);
  cluster.Run(std::chrono::seconds{3});
  stream.Stop();
  INFO(Describe(stream.results));
  CHECK(stream.bad == 0);
  CHECK(stream.good > 100);
}
