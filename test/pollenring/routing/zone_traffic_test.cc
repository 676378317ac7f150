#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "pollenring/routing/router.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CallVerdict;
using pollenring::LoadBalancingPolicy;
using pollenring::LoadReport;
using pollenring::ManualClock;
using pollenring::Member;
using pollenring::MemberState;
using pollenring::NodeId;
using pollenring::Router;
using pollenring::RouterOptions;
using pollenring::SeededRandom;
using pollenring::TargetState;

constexpr NodeId kNear = 1;
constexpr NodeId kFar = 2;
constexpr std::uint32_t kSlots = 100;

/*! @brief Two targets that report their times: a slow one in the own zone and
 * one that is faster in another. */
class TwoZones {
 public:
  TwoZones() {
    this->Add(kNear, "a");
    this->Add(kFar, "b");
    for (int i = 0; i < 50; ++i) {
      this->Report(kNear, 280'000, 10);
      this->Report(kFar, 230'000, 10);
    }
  }

  void Report(NodeId node, std::uint32_t service_us, std::uint32_t running) {
    LoadReport report;
    report.in_progress = running;
    report.limit = kSlots;
    report.service_us = service_us;
    report.kind_samples = 1000;
    this->router.Started("s", node);
    this->router.Finished("s", node, CallVerdict::kAnswered, report,
                          pollenring::Duration{service_us}, "upload");
    this->clock.Advance(10ms);
  }

  /*! @brief Fraction of calls with such a body that stay in the own zone. */
  [[nodiscard]] double NearFraction(std::size_t body_bytes) {
    constexpr int kCalls = 400;
    int near = 0;
    for (int i = 0; i < kCalls; ++i) {
      const auto node =
          this->router.Choose("s", {}, {}, {"upload", 1200ms, body_bytes});
      if (node == kNear) ++near;
    }
    return static_cast<double>(near) / kCalls;
  }

 private:
  void Add(NodeId node, const std::string &zone) {
    Member member;
    member.id = node;
    member.incarnation = 1;
    member.state = MemberState::kAlive;
    member.zone = zone;
    member.region = "r";
    member.targets.push_back({"s", kSlots, TargetState::kWarm});
    this->router.Update(member);
  }

  static RouterOptions Options() {
    RouterOptions options;
    options.order = LoadBalancingPolicy::kLeastLatency;
    return options;
  }

  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  Router router{"a", "r", Options(), clock, random};
};

}  // namespace

TEST_CASE("router: large bodies stay in their zone while it has room") {
  // Guards against uploads that cross zones for a gain that callers don't
  // notice: traffic between zones is paid for by volume.
  TwoZones zones;
  CHECK(zones.NearFraction(0) < 0.7);
  CHECK(zones.NearFraction(std::size_t{60} * 1024) > 0.9);
  // A full target costs callers more than the traffic.
  for (int i = 0; i < 50; ++i) zones.Report(kNear, 280'000, 97);
  CHECK(zones.NearFraction(std::size_t{60} * 1024) < 0.2);
}
