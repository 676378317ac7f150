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
  options.level_cause = LevelTrigger::kOfferedLoad;
  options.order = QueueOrder::kSoftDeadline;
  return options;
}

/*! @brief A target that crashes when it gets more than it bears while cold, and
 * comes back cold. */
class FragileTarget {
 public:
  explicit FragileTarget(const ManualClock &clock) : clock{clock} {
    this->Restart();
  }

  /*! @brief A request arrives. @return Whether it is served. */
  bool Receive() {
    if (this->Down()) return false;
    const Time now = this->clock.Now();
    if (!this->Cold()) return true;
    this->arrivals.push_back(now);
    while (this->arrivals.front() <= now - 1s) this->arrivals.pop_front();
    this->most = std::max(this->most, this->arrivals.size());
    if (this->arrivals.size() <= kBears) return true;
    ++this->crashes;
    this->up_at = now + 300ms;
    this->Restart();
    return false;
  }

  [[nodiscard]] bool Down() const { return this->clock.Now() < this->up_at; }
  [[nodiscard]] bool Cold() const { return this->clock.Now() < this->warm_at; }
  [[nodiscard]] Time WarmAt() const { return this->warm_at; }

  /*! @brief It turns cold without a crash, as after an evacuation. */
  void TurnCold() { this->warm_at = this->clock.Now() + 3s; }

  static constexpr std::size_t kBears = 26;
  std::size_t most{}; /*!< Most requests in one second while cold. */
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

/*! @brief One target under load, with its admission and its heartbeats. */
struct ColdWorld {
  ColdWorld(std::uint64_t seed, const ColdStartLimit &tolerance)
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
      if (now >= this->next_beat) {
        this->next_beat = now + 1500ms;
        this->admission.SetColdUntil(this->target.WarmAt());
      }
      for (double due = per_second / 1000; due > 0; due -= 1) {
        if (!this->random.Chance(std::min(1.0, due))) continue;
        AdmissionRequest ticket;
        ticket.id = ++this->last;
        ticket.sub_priority = this->random.Fraction();
        ticket.importance = Importance::kNormal;
        ticket.deadline = now + 700ms;
        ticket.soft_deadline = now + 300ms;
        this->Do(this->admission.Offer(ticket));
      }
      this->Do(this->admission.Tick());
    }
  }

  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random;
  Admission admission;
  FragileTarget target;
  std::multimap<Time, std::uint64_t> ends;
  Time next_beat{};
  std::uint64_t last{};
  int served{};
  int refused{};
};

constexpr ColdStartLimit kTolerance{20, 1100ms};

}  // namespace

TEST_CASE("cold gate: no window holds more than is borne") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(20)));
  CAPTURE(seed);
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{seed};
  ColdStartLimiter gate{clock};
  gate.SetTolerance({20, 1s});
  gate.SetColdUntil(clock.Now() + 1h);
  std::deque<Time> sent;
  std::uint64_t id = 0;
  for (int i = 0; i < 20'000; ++i) {
    clock.Advance(Duration{static_cast<std::int64_t>(random.Index(1000))});
    if (!gate.HasRoom()) continue;
    gate.Sent(++id);
    // Those that the target turned away don't count.
    if (random.Chance(0.3)) {
      gate.GiveBack(id);
      continue;
    }
    sent.push_back(clock.Now());
    while (sent.front() <= clock.Now() - 1s) sent.pop_front();
    REQUIRE(sent.size() <= 20);
  }
}

TEST_CASE("cold gate: what was turned away gives its place back") {
  ManualClock clock{std::chrono::hours{1}};
  ColdStartLimiter gate{clock};
  gate.SetTolerance({2, 1s});
  gate.SetColdUntil(clock.Now() + 1h);
  gate.Sent(1);
  gate.Sent(2);
  CHECK_FALSE(gate.HasRoom());
  gate.GiveBack(1);
  CHECK(gate.HasRoom());
  // Once, and only what was sent.
  gate.GiveBack(1);
  gate.GiveBack(7);
  gate.Sent(3);
  CHECK_FALSE(gate.HasRoom());
}

TEST_CASE("cold gate: it opens at the end of the coldness, not later") {
  ManualClock clock{std::chrono::hours{1}};
  ColdStartLimiter gate{clock};
  gate.SetTolerance({1, 1s});
  CHECK_FALSE(gate.Closed());
  gate.SetColdUntil(clock.Now() + 300ms);
  gate.Sent(1);
  CHECK_FALSE(gate.HasRoom());
  CHECK(gate.ColdFor() == Duration{300ms});
  clock.Advance(300ms);
  CHECK(gate.HasRoom());
  CHECK(gate.ColdFor() == Duration{0});
  // Word that it is warm already counts at once.
  gate.SetColdUntil(clock.Now() + 3s);
  gate.Sent(2);
  CHECK_FALSE(gate.HasRoom());
  gate.SetColdUntil(clock.Now());
  CHECK(gate.HasRoom());
}

TEST_CASE("cold gate: a fleet that starts cold under full load serves soon") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(8)));
  CAPTURE(seed);
  SECTION("without a bound it crashes again and again") {
    ColdWorld world{seed, {}};
    world.Run(15s, 900);
    CHECK(world.target.crashes >= 4);
  }
  SECTION("with it, all is served three seconds later") {
    ColdWorld world{seed, kTolerance};
    world.Run(3100ms, 900);
    CHECK(world.target.crashes == 0);
    CHECK(world.target.most <= FragileTarget::kBears);
    CHECK(world.served >= 40);
    const int before = world.served;
    world.Run(2s, 900);
    CHECK(world.served - before > 0.95 * 1800);
  }
}

TEST_CASE("cold gate: what waits when a target turns cold is not sent") {
  const std::uint64_t seed = GENERATE(from_range(support::Seeds(8)));
  CAPTURE(seed);
  ColdWorld world{seed, kTolerance};
  world.Run(4s, 2400);
  REQUIRE(world.admission.Waiting() > 0);
  world.target.TurnCold();
  world.target.most = 0;
  world.admission.SetColdUntil(world.target.WarmAt());
  world.next_beat = world.clock.Now() + 1500ms;
  world.Run(2900ms, 1800);
  CHECK(world.target.crashes == 0);
  CHECK(world.target.most <= FragileTarget::kBears);
}

TEST_CASE("cold gate: levels of a cold target end with its coldness") {
  ColdWorld world{3, kTolerance};
  world.Run(2s, 900);
  // It bears a fiftieth of what is offered.
  CHECK(world.admission.AdmissionLevelOf({}) > 1.5);
  world.Run(1200ms, 900);
  CHECK(world.admission.AdmissionLevelOf({}) < 0.2);
}
