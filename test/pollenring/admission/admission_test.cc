#include "pollenring/admission/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "pollenring/core/random.h"
#include "support/seeds.h"

namespace {

using pollenring::Admission;
using pollenring::AdmissionActions;
using pollenring::AdmissionRequest;
using pollenring::Duration;
using pollenring::Importance;
using pollenring::ManualClock;
using pollenring::SeededRandom;

/*! @brief A target with real slots behind an admission under test. */
class Bench {
 public:
  Bench(std::uint32_t announced, int real_slots, Duration service,
        std::uint64_t seed)
      : clock{std::chrono::hours{1}},
        random{seed},
        admission{announced, {}, clock},
        real_slots{real_slots},
        service{service} {}

  /*! @brief Offers a request; checks what is shed for it. */
  void Offer(AdmissionRequest ticket) {
    ticket.id = ++this->last_id;
    if (ticket.deadline == pollenring::Time{}) {
      ticket.deadline = this->clock.Now() + std::chrono::seconds{2};
    }
    this->waiting[ticket.id] = ticket;
    ++this->offered[ticket.importance];
    this->Perform(this->admission.Offer(ticket));
  }

  /*! @brief Moves time on and ends what is done. */
  void Step(Duration step) {
    this->clock.Advance(step);
    const auto now = this->clock.Now();
    std::vector<std::uint64_t> done;
    for (const auto &[id, end] : this->running) {
      if (end <= now) done.push_back(id);
    }
    for (const auto id : done) {
      this->running.erase(id);
      ++this->finished;
      this->Perform(this->admission.Finish(id, Duration{0}, false));
    }
    this->Perform(this->admission.Tick());
  }

  ManualClock clock;
  SeededRandom random;
  Admission admission;
  int real_slots;
  Duration service;
  std::map<std::uint64_t, AdmissionRequest> waiting;
  std::map<std::uint64_t, pollenring::Time> running;
  std::map<Importance, int> offered;
  std::map<Importance, int> shed;
  std::map<std::string, int> started_by;
  int finished{};

 private:
  void Perform(const AdmissionActions &actions) {
    for (const auto &out : actions.shed) {
      REQUIRE(this->waiting.count(out.id) == 1);
      ++this->shed[this->waiting.at(out.id).importance];
      this->waiting.erase(out.id);
    }
    for (const auto id : actions.start) {
      const AdmissionRequest ticket = this->waiting.at(id);
      for (const auto &[other, waits] : this->waiting) {
        // Nothing less important starts while something more important waits.
        CHECK(waits.importance <= ticket.importance);
      }
      this->waiting.erase(id);
      ++this->started_by[ticket.workspace];
      // A target with more requests than slots serves them all more slowly.
      const auto over = static_cast<std::int64_t>(
          this->running.size() + 1 > static_cast<std::size_t>(this->real_slots)
              ? this->running.size() + 1
              : this->real_slots);
      this->running[id] =
          this->clock.Now() + this->service * over / this->real_slots;
    }
  }

  std::uint64_t last_id{};
};

[[nodiscard]] AdmissionRequest Make(Importance importance,
                                    const std::string &workspace) {
  AdmissionRequest ticket;
  ticket.importance = importance;
  ticket.workspace = workspace;
  return ticket;
}

}  // namespace

TEST_CASE("admission: at three times capacity the most important is not shed") {
  for (const auto seed : support::Seeds(8)) {
    INFO("seed " << seed);
    Bench bench{10, 10, std::chrono::milliseconds{20}, seed};
    for (std::uint64_t i = 0; i < support::Steps(20'000); ++i) {
      // 1,500 a second against 500; a fifth of it is critical.
      const int count = bench.random.Chance(0.5) ? 2 : 1;
      for (int j = 0; j < count; ++j) {
        const auto draw = bench.random.Index(10);
        const auto importance = draw < 2   ? Importance::kCritical
                                : draw < 4 ? Importance::kHigh
                                : draw < 7 ? Importance::kNormal
                                           : Importance::kLow;
        bench.Offer(Make(importance, "w"));
      }
      bench.Step(std::chrono::milliseconds{1});
    }
    CHECK(bench.shed[Importance::kCritical] == 0);
    CHECK(bench.shed[Importance::kLow] > bench.offered[Importance::kLow] * 0.9);
    const double seconds = 20.0 * static_cast<double>(support::Steps(1));
    CHECK(bench.finished > 500 * seconds * 0.95);
  }
}

TEST_CASE("admission: workspaces are served by their weights") {
  Bench bench{10, 10, std::chrono::milliseconds{20}, 3};
  for (int i = 0; i < 20'000; ++i) {
    AdmissionRequest large = Make(Importance::kNormal, "large");
    large.weight = 300;
    bench.Offer(large);
    if (i % 5 == 0) {
      AdmissionRequest small = Make(Importance::kNormal, "small");
      small.weight = 100;
      bench.Offer(small);
    }
    bench.Step(std::chrono::milliseconds{1});
  }
  // 500 a second for weights 300 and 100: 375 and 125, of which the small one
  // asks for 200.
  const double part = static_cast<double>(bench.started_by["small"]) /
                      static_cast<double>(bench.started_by["large"] +
                                          bench.started_by["small"]);
  CHECK(part > 0.25 * 0.95);
}

TEST_CASE("admission: a sub-call goes before a new root of the same kind") {
  Bench bench{1, 1, std::chrono::milliseconds{20}, 1};
  bench.Offer(Make(Importance::kNormal, "w"));
  for (int i = 0; i < 4; ++i) bench.Offer(Make(Importance::kNormal, "w"));
  AdmissionRequest deep = Make(Importance::kNormal, "w");
  deep.depth = 3;
  bench.Offer(deep);
  bench.Offer(Make(Importance::kNormal, "w"));
  bool waits = false;
  for (const auto &[id, ticket] : bench.waiting) {
    waits = waits || ticket.depth == 3;
  }
  CHECK(waits);
  bench.Step(std::chrono::milliseconds{25});
  for (const auto &[id, ticket] : bench.waiting) CHECK(ticket.depth == 0);
}

TEST_CASE("admission: the limit follows the target, not what it announces") {
  SECTION("a target that announces too much") {
    Bench bench{64, 8, std::chrono::milliseconds{20}, 1};
    for (int i = 0; i < 30'000; ++i) {
      bench.Offer(Make(Importance::kNormal, "w"));
      bench.Step(std::chrono::milliseconds{1});
    }
    CHECK(bench.admission.Report().limit <= 24);
  }
  SECTION("a target that announces too little") {
    Bench bench{2, 8, std::chrono::milliseconds{20}, 1};
    for (int i = 0; i < 30'000; ++i) {
      bench.Offer(Make(Importance::kNormal, "w"));
      bench.Step(std::chrono::milliseconds{1});
    }
    CHECK(bench.admission.Report().limit >= 6);
  }
  SECTION("a target that gets slow keeps its limit") {
    Bench bench{10, 10, std::chrono::milliseconds{10}, 1};
    for (int i = 0; i < 10'000; ++i) {
      bench.Offer(Make(Importance::kNormal, "w"));
      bench.Step(std::chrono::milliseconds{1});
    }
    bench.service = std::chrono::milliseconds{50};
    for (int i = 0; i < 20'000; ++i) {
      bench.Offer(Make(Importance::kNormal, "w"));
      bench.Step(std::chrono::milliseconds{1});
    }
    CHECK(bench.admission.Report().limit >= 8);
  }
}

TEST_CASE("admission: what can't finish in time is refused at once") {
  Bench bench{1, 1, std::chrono::milliseconds{20}, 1};
  bench.Offer(Make(Importance::kNormal, "w"));
  AdmissionRequest late = Make(Importance::kNormal, "w");
  late.deadline = bench.clock.Now() + std::chrono::milliseconds{5};
  bench.Offer(late);
  bench.Step(std::chrono::milliseconds{6});
  CHECK(bench.shed[Importance::kNormal] == 1);
}

TEST_CASE("admission: one that is dropped at once takes no other with it") {
  // A queue that grew while requests were quick is too long once they are slow;
  // what comes then, with little time left, does not wait at all.
  pollenring::ManualClock clock{std::chrono::hours{1}};
  pollenring::AdmissionOptions options;
  options.limit.fixed = true;
  options.order = pollenring::QueueOrder::kSoftDeadline;
  options.queue_time = std::chrono::seconds{1};
  Admission admission{1, options, clock};
  std::uint64_t id = 0;
  const auto offer = [&](Importance importance, Duration left) {
    AdmissionRequest ticket = Make(importance, "w");
    ticket.id = ++id;
    ticket.soft_deadline = clock.Now() + left;
    ticket.deadline = ticket.soft_deadline;
    return admission.Offer(ticket);
  };
  const auto finish = [&](std::uint64_t which, Duration after) {
    clock.Advance(after);
    return admission.Finish(which, Duration{0}, false);
  };
  REQUIRE(offer(Importance::kHigh, std::chrono::seconds{30}).start.size() == 1);
  std::uint64_t running = 1;
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(offer(Importance::kHigh, std::chrono::seconds{30}).shed.empty());
    const auto next = finish(running, std::chrono::milliseconds{1});
    REQUIRE(next.start.size() == 1);
    running = next.start[0];
  }
  for (int i = 0; i < 120; ++i) {
    REQUIRE(offer(Importance::kHigh, std::chrono::seconds{30}).shed.empty());
  }
  for (int i = 0; i < 80; ++i) {
    const auto next = finish(running, std::chrono::milliseconds{60});
    REQUIRE(next.start.size() == 1);
    running = next.start[0];
  }
  AdmissionActions actions;
  REQUIRE_NOTHROW(actions =
                      offer(Importance::kLow, std::chrono::milliseconds{1}));
  REQUIRE(actions.shed.size() == 1);
  CHECK(actions.shed[0].id == id);
  // One that waits still takes the place of the least important.
  actions = offer(Importance::kHigh, std::chrono::seconds{30});
  CHECK(actions.shed.size() == 1);
}

TEST_CASE("admission: whatever comes, the least important goes for it") {
  for (const auto seed : support::Seeds(30)) {
    CAPTURE(seed);
    SeededRandom random{seed};
    pollenring::ManualClock clock{std::chrono::hours{1}};
    pollenring::AdmissionOptions options;
    options.order = pollenring::QueueOrder::kSoftDeadline;
    options.queue_time = std::chrono::seconds{1};
    options.critical_queue_factor = 2;
    Admission admission{4, options, clock};
    std::map<std::uint64_t, pollenring::Time> running;
    for (std::uint64_t id = 1; id <= 4000; ++id) {
      clock.Advance(std::chrono::microseconds{100 + random.Index(4000)});
      // Requests are quick and slow by turns of a second.
      const bool slow = clock.Now().count() / 1'000'000 % 2 == 1;
      const auto start = [&](const AdmissionActions &actions) {
        for (const auto started : actions.start) {
          running[started] =
              clock.Now() + std::chrono::milliseconds{slow ? 80 : 2};
        }
      };
      for (auto it = running.begin(); it != running.end();) {
        if (it->second > clock.Now()) {
          ++it;
          continue;
        }
        const auto done = it->first;
        it = running.erase(it);
        start(admission.Finish(done, Duration{0}, false));
        it = running.begin();
      }
      AdmissionRequest ticket =
          Make(static_cast<Importance>(random.Index(4)), "w");
      ticket.id = id;
      ticket.depth = static_cast<int>(random.Index(2));
      ticket.soft_deadline =
          clock.Now() + std::chrono::milliseconds{random.Index(900)};
      ticket.deadline =
          ticket.soft_deadline + std::chrono::milliseconds{random.Index(900)};
      AdmissionActions actions;
      REQUIRE_NOTHROW(actions = admission.Offer(ticket));
      const auto shed =
          std::count_if(actions.shed.begin(), actions.shed.end(),
                        [](const pollenring::ShedRequest &out) {
                          return out.reason == pollenring::Reason::kOverload;
                        });
      CHECK(shed <= 1);
      start(actions);
    }
  }
}

TEST_CASE("concurrency limit: a slow moment before a trial lowers nothing") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  pollenring::ConcurrencyLimit limit{4, {}, clock};
  const auto run = [&](Duration own, bool full, int count) {
    for (int i = 0; i < count; ++i) {
      clock.Advance(own / limit.Current());
      limit.Sample(own, own, full ? limit.Current() : 1, false);
    }
  };
  run(std::chrono::milliseconds{20}, false, 200);
  // Twice as slow from now on; at first something else slows it down as well.
  run(std::chrono::milliseconds{50}, true, 100);
  run(std::chrono::milliseconds{40}, true, 300);
  CHECK(limit.Current() == 4);
}
