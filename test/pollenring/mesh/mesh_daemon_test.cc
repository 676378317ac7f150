#include <catch2/catch.hpp>
#include <vector>

#include "support/daemon_world.h"

namespace {

using namespace std::chrono_literals;
using pollenring::BorrowRequest;
using support::DaemonWorld;
using support::kConfig;
using support::Replaced;

[[nodiscard]] BorrowRequest MakeBorrow(std::uint64_t borrower) {
  BorrowRequest request;
  request.borrower = borrower;
  request.loan = 1;
  request.want = 110;
  request.urgent = 100;
  return request;
}

}  // namespace

TEST_CASE(
    "mesh daemon: a loan returned after the burst was lowered closes no caller "
    "connection") {
  DaemonWorld world{61};
  std::vector<int> statuses;
  const auto begin = [&](const std::string &id) {
    for (int i = 0; i < 4; ++i) {
      world.Begin(id + std::to_string(i), statuses);
    }
  };
  world.Hold(true);
  begin("first");
  REQUIRE(world.Await([&] { return world.Held() == 4; }));
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 4; }));
  const std::uint64_t connects = world.Connects();
  begin("kept");
  REQUIRE(world.Await([&] { return world.Held() == 4; }));
  CHECK(world.Connects() == connects);
  // Two nodes hold a loan while the operator lowers the burst; one returns it.
  world.Borrow(MakeBorrow(77));
  world.Borrow(MakeBorrow(78));
  world.Store().PutConfig(Replaced(Replaced(kConfig, "r3", "r4"),
                                   "\"burst\":1000", "\"burst\":60"));
  REQUIRE(world.Await([&] {
    const auto figures = world.Ask(7003, {"GET", "/metrics", {}, {}, {}});
    return figures.body.find("pollenring_config_version 4") !=
           std::string::npos;
  }));
  BorrowRequest repayment = MakeBorrow(77);
  repayment.loan = 2;
  repayment.want = 0;
  repayment.urgent = 0;
  repayment.returns = {{1, 110}};
  world.Borrow(repayment);
  for (int i = 0; i < 20 && !world.Process().Ended(); ++i) {
    static_cast<void>(world.Ask(7004, {"GET", "/readiness", {}, {}, {}}));
  }
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 8; }));
  INFO(world.Process().Log());
  CHECK(statuses == std::vector<int>(8, 200));
  CHECK_FALSE(world.Process().Ended());
}

TEST_CASE("mesh daemon: a target identifier that is not text is rejected") {
  DaemonWorld world{65};
  std::vector<int> statuses;
  world.Hold(true);
  world.Begin("open", statuses);
  REQUIRE(world.Await([&] { return world.Held() == 1; }));
  for (const std::string kind : {"Heartbeat", "Deregister"}) {
    const auto response = world.Ask(
        7001, {"POST", "/Instances." + kind + "/i-\xff\xfe", {}, "{}", {}});
    CHECK(response.status == 400);
  }
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 1; }));
  INFO(world.Process().Log());
  CHECK(statuses.front() == 200);
  CHECK_FALSE(world.Process().Ended());
  CHECK(world.Process().Log().find("error contained") == std::string::npos);
}
