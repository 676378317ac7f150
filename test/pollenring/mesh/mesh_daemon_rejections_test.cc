#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "support/rejecting_target.h"
#include "support/start_world.h"

namespace {

using namespace std::chrono_literals;
using support::HeldAddress;
using support::RejectingTarget;
using support::StartWorld;

constexpr int kRequests = 400;
/*! @brief One request of so many is rejected once by each target. */
constexpr int kRejectEvery = 40;
constexpr int kTargets = 3;
constexpr int kFaultyTargets = 2;

[[nodiscard]] std::string IdOf(int index) {
  return "w" + std::to_string(index);
}

/*! @brief One daemon for callers, and three with targets. */
struct RejectionWorld : StartWorld {
  /*! @param holds Whether the address of a daemon is in use at its start. */
  RejectionWorld(int net, bool holds) : StartWorld{net} {
    if (holds) this->held.emplace(this->At(3, 7002), SOCK_DGRAM);
    std::set<std::string> rejected;
    for (int i = kRejectEvery / 2; i < kRequests; i += kRejectEvery)
      rejected.insert(IdOf(i));
    this->Start(this->MakeSettings(1, "front"));
    for (int i = 0; i < kTargets; ++i) {
      this->Start(this->MakeSettings(i + 2));
      this->targets.push_back(std::make_unique<RejectingTarget>(
          this->At(i + 2, 8000), rejected, i < kFaultyTargets));
    }
  }

  /*! @brief Waits until all daemons are ready and know their targets. */
  [[nodiscard]] bool AwaitStart(pollenring::Duration limit) {
    const auto until = this->Now() + limit;
    for (int i = 1; i <= kTargets + 1; ++i) {
      const std::string service = i == 1 ? "front" : "deep";
      const bool up = this->Await(
          [&] {
            return this->Readiness(i).status == 200 &&
                   this->Beat(i, service) == 200;
          },
          until - this->Now());
      if (!up) return false;
    }
    return true;
  }

  std::optional<HeldAddress> held;
  std::vector<std::unique_ptr<RejectingTarget>> targets;
};

/*! @brief Sends all requests in turn and checks that each has run as often as
 * its response states. */
void CheckRunsOnce(RejectionWorld &world) {
  REQUIRE(world.Await(
      [&] {
        return world
                   .Ask(1, 7000,
                        {"GET",
                         "/read/1",
                         support::Headers("warm"),
                         {},
                         "a.example"})
                   .status == 200;
      },
      5s));
  std::map<std::string, int> statuses;
  for (int i = 0; i < kRequests; ++i) {
    statuses[IdOf(i)] = world
                            .Ask(1, 7000,
                                 {"POST", "/write/1", support::Headers(IdOf(i)),
                                  "seats=12", "a.example"},
                                 3s)
                            .status;
    if (i % 100 != 0) continue;
    for (int node = 2; node < kTargets + 2; ++node)
      REQUIRE(world.Beat(node) == 200);
  }
  std::map<std::string, int> runs;
  int rejections = 0;
  int repeated = 0;
  for (const auto &target : world.targets) {
    for (const auto &[id, count] : target->Runs()) runs[id] += count;
    rejections += target->Rejected();
    repeated += target->Repeated();
  }
  CHECK(rejections > 0);
  CHECK(repeated > 0);
  for (const auto &[id, status] : statuses) {
    INFO(id << " was answered " << status);
    CHECK(runs[id] <= 1);
    CHECK((status != 200 || runs[id] == 1));
    CHECK((status != 503 || runs[id] == 0));
  }
}

}  // namespace

TEST_CASE(
    "mesh daemon: four nodes that start at once run rejected requests once") {
  // Guards against: a deployment of more than two nodes that doesn't come up,
  // and rejections that arrive a second time, late.
  RejectionWorld world{134, false};
  REQUIRE(world.AwaitStart(5s));
  CheckRunsOnce(world);
}

TEST_CASE("mesh daemon: four nodes start while an address of one is held") {
  // Guards against: one daemon that ends at its start keeps all callers out.
  RejectionWorld world{135, true};
  const auto started_at = world.Now();
  world.Run(1s);
  world.held.reset();
  REQUIRE(world.AwaitStart(started_at + 5s - world.Now()));
  CheckRunsOnce(world);
}
