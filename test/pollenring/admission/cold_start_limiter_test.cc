#include "pollenring/admission/cold_start_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "pollenring/admission/admission.h"
#include "pollenring/core/random.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Admission;
using pollenring::AdmissionActions;
using pollenring::AdmissionOptions;
using pollenring::AdmissionRequest;
using pollenring::ColdStartLimit;
using pollenring::ColdStartLimiter;
using pollenring::Duration;
using pollenring::Importance;
using pollenring::LevelTrigger;
using pollenring::ManualClock;
using pollenring::QueueOrder;
using pollenring::Reason;
using pollenring::SeededRandom;
using pollenring::Time;

[[nodiscard]] AdmissionOptions Options() {
  AdmissionOptions options;
  options.limit.fixed = true;
  options.level_trigger = LevelTrigger::kOfferedLoad;
  options.order = QueueOrder::kSoftDeadline;
  return options;
}

/*! @brief A target that crashes above its cold-start limit and restarts cold.
 */
class FragileTarget {
 public:
  explicit FragileTarget(const ManualClock &clock) : clock{clock} {
    this->Restart();
  }

  /*! @brief Receives a request. @return True if it is served. */
  bool Receive() {
    if (this->Down()) return false;
    const Time now = this->clock.Now();
    if (!this->Cold()) return true;
    this->arrivals.push_back(now);
    while (this->arrivals.front() <= now - 1s) this->arrivals.pop_front();
    this->max_in_window = std::max(this->max_in_window, this->arrivals.size());
    if (this->arrivals.size() <= kColdLimit) return true;
    ++this->crashes;
    this->up_at = now + 300ms;
    this->Restart();
    return false;
  }

  [[nodiscard]] bool Down() const { return this->clock.Now() < this->up_at; }
  [[nodiscard]] bool Cold() const { return this->clock.Now() < this->warm_at; }
  [[nodiscard]] Time WarmAt() const { return this->warm_at; }

  /*! @brief Turns cold without a crash, as after an evacuation. */
  void TurnCold() { this->warm_at = this->clock.Now() + 3s; }

  static constexpr std::size_t kColdLimit = 26;
  std::size_t max_in_window{}; /*!< Most requests in one second while cold. */
  int crashes{};

 private:
  void Restart() {
    this->arrivals.clear();
    this->warm_at = std::max(this->up_at, this->clock.Now()) + 3s;
  }

  const ManualClock &clock;
  std::deque<Time> arrivals;
  Time up_at{};
  Time warm_at{};
};

/*! @brief A target under load, with its admission and heartbeats. */
struct ColdTargetSimulation {
  ColdTargetSimulation(std::uint64_t seed, const ColdStartLimit &tolerance)
      : random{seed}, admission{45, Options(), clock}, target{clock} {
    this->admission.SetColdStartLimit(tolerance);
  }

  void Do(const AdmissionActions &actions) {
    for (const auto &shed : actions.shed) {
      ++this->refused;
      CHECK(shed.reason != Reason::kDeadline);
    }
    for (const std::uint64_t id : actions.start) {
      if (this->target.Receive()) {
        ++this->served;
        this->ends.emplace(this->clock.Now() + 30ms, id);
      } else {
        this->ends.emplace(this->clock.Now(), id);
      }
    }
  }

  void Run(Duration length, double per_second) {
    const Time until = this->clock.Now() + length;
    while (this->clock.Now() < until) {
      this->clock.Advance(1ms);
      const Time now = this->clock.Now();
      while (!this->ends.empty() && this->ends.begin()->first <= now) {
        const std::uint64_t id = this->ends.begin()->second;
        this->ends.erase(this->ends.begin());
        this->Do(this->admission.Finish(id, Duration{0}, false));
      }
      if (now >= this->next_heartbeat) {
        this->next_heartbeat = now + 1500ms;
        this->admission.SetColdUntil(this->target.WarmAt());
      }
      for (double due = per_second / 1000; due > 0; due -= 1) {
        if (!this->random.Chance(std::min(1.0, due))) continue;
        AdmissionRequest request;
        request.id = ++this->last;
        request.sub_priority = this->random.Fraction();
        request.importance = Importance::kNormal;
        request.deadline = now + 700ms;
        request.soft_deadline = now + 300ms;
        this->Do(this->admission.Offer(request));
      }
      this->Do(this->admission.Tick());
    }
  }

  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random;
  Admission admission;
  FragileTarget target;
  std::multimap<Time, std::uint64_t> ends;
  Time next_heartbeat{};
  std::uint64_t last{};
  int served{};
  int refused{};
};

constexpr ColdStartLimit kTolerance{20, 1100ms};

}  // namespace

TEST_CASE("cold start limiter: no window exceeds the limit") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(20)));
  CAPTURE(seed);
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{seed};
  ColdStartLimiter gate{clock};
  gate.SetLimit({20, 1s});
  gate.SetColdUntil(clock.Now() + 1h);
  std::deque<Time> sent;
  std::uint64_t id = 0;
  for (int i = 0; i < 20'000; ++i) {
    clock.Advance(Duration{static_cast<std::int64_t>(random.Index(1000))});
    if (!gate.HasRoom()) continue;
    gate.RecordSent(++id);
    // Requests that the target rejected don't count.
    if (random.Chance(0.3)) {
      gate.Uncount(id);
      continue;
    }
    sent.push_back(clock.Now());
    while (sent.front() <= clock.Now() - 1s) sent.pop_front();
    REQUIRE(sent.size() <= 20);
  }
}

TEST_CASE("cold start limiter: a rejected request is uncounted") {
  ManualClock clock{std::chrono::hours{1}};
  ColdStartLimiter gate{clock};
  gate.SetLimit({2, 1s});
  gate.SetColdUntil(clock.Now() + 1h);
  gate.RecordSent(1);
  gate.RecordSent(2);
  CHECK_FALSE(gate.HasRoom());
  gate.Uncount(1);
  CHECK(gate.HasRoom());
  // Only once, and only for a request that was sent.
  gate.Uncount(1);
  gate.Uncount(7);
  gate.RecordSent(3);
  CHECK_FALSE(gate.HasRoom());
}

TEST_CASE("cold start limiter: it ends with the cold period") {
  ManualClock clock{std::chrono::hours{1}};
  ColdStartLimiter gate{clock};
  gate.SetLimit({1, 1s});
  CHECK_FALSE(gate.Active());
  gate.SetColdUntil(clock.Now() + 300ms);
  gate.RecordSent(1);
  CHECK_FALSE(gate.HasRoom());
  CHECK(gate.ColdFor() == Duration{300ms});
  clock.Advance(300ms);
  CHECK(gate.HasRoom());
  CHECK(gate.ColdFor() == Duration{0});
  // A report that the target is warm takes effect immediately.
  gate.SetColdUntil(clock.Now() + 3s);
  gate.RecordSent(2);
  CHECK_FALSE(gate.HasRoom());
  gate.SetColdUntil(clock.Now());
  CHECK(gate.HasRoom());
}

TEST_CASE(
    "cold start limiter: a target that starts cold under full load recovers") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(8)));
  CAPTURE(seed);
  SECTION("without a bound it crashes again and again") {
    ColdTargetSimulation world{seed, {}};
    world.Run(15s, 900);
    CHECK(world.target.crashes >= 4);
  }
  SECTION("with it, all is served three seconds later") {
    ColdTargetSimulation world{seed, kTolerance};
    world.Run(3100ms, 900);
    CHECK(world.target.crashes == 0);
    CHECK(world.target.max_in_window <= FragileTarget::kColdLimit);
    CHECK(world.served >= 40);
    const int before = world.served;
    world.Run(2s, 900);
    CHECK(world.served - before > 0.95 * 1800);
  }
}

TEST_CASE(
    "cold start limiter: waiting requests are not sent when a target turns "
    "cold") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(8)));
  CAPTURE(seed);
  ColdTargetSimulation world{seed, kTolerance};
  world.Run(4s, 2400);
  REQUIRE(world.admission.Waiting() > 0);
  world.target.TurnCold();
  world.target.max_in_window = 0;
  world.admission.SetColdUntil(world.target.WarmAt());
  world.next_heartbeat = world.clock.Now() + 1500ms;
  world.Run(2900ms, 1800);
  CHECK(world.target.crashes == 0);
  CHECK(world.target.max_in_window <= FragileTarget::kColdLimit);
}

TEST_CASE("cold start limiter: levels are reset when the target is warm") {
  ColdTargetSimulation world{3, kTolerance};
  world.Run(2s, 900);
  // The cold-start limit is 2 % of the offered load.
  CHECK(world.admission.AdmissionLevelOf({}) > 1.5);
  world.Run(1200ms, 900);
  CHECK(world.admission.AdmissionLevelOf({}) < 0.2);
}
