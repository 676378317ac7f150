#include "pollenring/quarantine/quarantine.h"

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <vector>

#include "pollenring/core/random.h"
#include "support/member_fleet.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CrashReport;
using pollenring::Fingerprint;
using pollenring::Quarantine;
using pollenring::Standing;

constexpr Fingerprint kGuilty = 7;

/*! @brief One node's quarantine, and time between crashes. */
struct Bench {
  void Crash(std::vector<Fingerprint> running) {
    this->quarantine.RecordCrash(std::move(running));
    this->clock.Advance(3s);
  }
  [[nodiscard]] Standing Of(Fingerprint fingerprint) const {
    return this->quarantine.StandingOf(fingerprint);
  }

  pollenring::ManualClock clock{1h};
  pollenring::SeededRandom random{3};
  Quarantine quarantine{{}, clock, random};
};

/*! @brief Fingerprints from one to another, the latter not included. */
[[nodiscard]] std::vector<Fingerprint> Range(Fingerprint from, Fingerprint to) {
  std::vector<Fingerprint> range(to - from);
  std::iota(range.begin(), range.end(), from);
  return range;
}

[[nodiscard]] std::vector<Fingerprint> WithGuilty(
    std::vector<Fingerprint> others) {
  others.push_back(kGuilty);
  return others;
}

}  // namespace

TEST_CASE("quarantine: a guilty request is blocked after three crashes") {
  Bench bench;
  CHECK(bench.Of(kGuilty) == Standing::kNormal);
  bench.Crash(WithGuilty(Range(100, 160)));
  CHECK(bench.Of(kGuilty) == Standing::kSuspect);
  CHECK(bench.Of(110) == Standing::kSuspect);
  // It runs with others that were not suspect before.
  bench.Crash(WithGuilty(Range(200, 260)));
  bench.Crash(WithGuilty(Range(300, 360)));
  CHECK(bench.Of(kGuilty) == Standing::kBlocked);
  CHECK(bench.quarantine.BlockedFor(kGuilty) > 50s);
  for (const Fingerprint other : Range(100, 400))
    CHECK(bench.Of(other) != Standing::kBlocked);
}

TEST_CASE("quarantine: a guilty request that runs alone is blocked after two") {
  Bench bench;
  bench.Crash({kGuilty});
  CHECK(bench.Of(kGuilty) == Standing::kSuspect);
  bench.Crash({kGuilty});
  CHECK(bench.Of(kGuilty) == Standing::kBlocked);
}

TEST_CASE("quarantine: two guilty requests at once are both blocked") {
  Bench bench;
  for (int i = 0; i < 4; ++i) bench.Crash({kGuilty, 8, 100U + i});
  CHECK(bench.Of(kGuilty) == Standing::kBlocked);
  CHECK(bench.Of(8) == Standing::kBlocked);
  CHECK(bench.Of(100) == Standing::kSuspect);
}

TEST_CASE("quarantine: a request that completes is no longer suspect") {
  Bench bench;
  bench.Crash({1, 2});
  bench.quarantine.RecordCompletion(1);
  CHECK(bench.Of(1) == Standing::kNormal);
  CHECK(bench.Of(2) == Standing::kSuspect);
  // Requests alike that complete all the time are not suspected again.
  for (int i = 0; i < 8; ++i) {
    bench.quarantine.RecordCompletion(1);
    bench.Crash({1, 10U + i});
    CHECK(bench.Of(1) == Standing::kNormal);
  }
}

TEST_CASE(
    "quarantine: crashes of a whole rack do not add up to a verdict on its "
    "requests") {
  // Three targets end at once, each with one of the same three requests.
  Bench bench;
  for (int rack = 0; rack < 3; ++rack) {
    for (const Fingerprint bystander : {1, 2, 3})
      bench.quarantine.RecordCrash({bystander});
    bench.clock.Advance(3s);
  }
  for (const Fingerprint bystander : {1, 2, 3})
    CHECK(bench.Of(bystander) == Standing::kSuspect);
}

TEST_CASE(
    "quarantine: copies of a request that crash several targets at once are "
    "told from a rack") {
  Bench bench;
  for (const Fingerprint first : {100, 200, 300}) {
    bench.quarantine.RecordCrash(WithGuilty(Range(first, first + 20)));
    bench.clock.Advance(15ms);
  }
  CHECK(bench.Of(kGuilty) == Standing::kSuspect);
  bench.clock.Advance(500ms);
  // It runs with two other suspects, which have completed since.
  bench.quarantine.RecordCrash({kGuilty, 101, 202});
  bench.quarantine.RecordCompletion(101);
  bench.quarantine.RecordCompletion(202);
  bench.clock.Advance(300ms);
  bench.quarantine.RecordCrash(WithGuilty({103, 204}));
  CHECK(bench.Of(kGuilty) == Standing::kBlocked);
  CHECK(bench.Of(103) == Standing::kSuspect);
}

TEST_CASE("quarantine: a blocked request is tried again, and released by it") {
  Bench bench;
  bench.Crash({kGuilty});
  bench.Crash({kGuilty});
  const auto first = bench.quarantine.BlockedFor(kGuilty);
  bench.clock.Advance(first);
  CHECK(bench.Of(kGuilty) == Standing::kSuspect);
  SECTION("it crashes its target again, and is blocked for longer") {
    bench.quarantine.RecordCrash({kGuilty});
    CHECK(bench.quarantine.BlockedFor(kGuilty) > first + 30s);
  }
  SECTION("its target has been fixed") {
    bench.quarantine.RecordCompletion(kGuilty);
    CHECK(bench.Of(kGuilty) == Standing::kNormal);
  }
  SECTION("it returns after hours") {
    bench.clock.Advance(3h);
    CHECK(bench.Of(kGuilty) == Standing::kNormal);
    bench.quarantine.RecordCrash({kGuilty});
    CHECK(bench.Of(kGuilty) == Standing::kBlocked);
  }
}

TEST_CASE("quarantine: an operator releases a request on all nodes") {
  Bench bench;
  pollenring::SeededRandom random{4};
  Quarantine other{{}, bench.clock, random};
  bench.Crash({kGuilty});
  bench.Crash({kGuilty});
  for (const auto &report : bench.quarantine.TakeReports(2))
    other.Merge(report);
  CHECK(other.StandingOf(kGuilty) == Standing::kBlocked);
  CHECK_FALSE(other.Release(kGuilty + 1));
  CHECK(other.Release(kGuilty));
  CHECK(other.StandingOf(kGuilty) == Standing::kNormal);
  for (int i = 0; i < 3; ++i) {
    for (const auto &report : other.TakeReports(2))
      bench.quarantine.Merge(report);
  }
  CHECK(bench.Of(kGuilty) == Standing::kNormal);
}

TEST_CASE("quarantine: a crash that several nodes report counts once") {
  Bench bench;
  pollenring::SeededRandom random{4};
  Quarantine other{{}, bench.clock, random};
  bench.quarantine.RecordCrash({kGuilty});
  for (int i = 0; i < 5; ++i) {
    for (const auto &report : bench.quarantine.TakeReports(9)) {
      other.Merge(report);
      other.Learn(bench.quarantine.ReportsOf(kGuilty));
    }
    bench.clock.Advance(1s);
  }
  REQUIRE(other.Requests().size() == 1);
  CHECK(other.Requests().front().crashes == 1);
  CHECK(other.StandingOf(kGuilty) == Standing::kSuspect);
}

TEST_CASE("quarantine: memory and messages stay bounded") {
  Bench bench;
  bench.Crash({kGuilty});
  bench.Crash({kGuilty});
  for (Fingerprint first = 1000; first < 40'000; first += 60) {
    bench.quarantine.RecordCrash(Range(first, first + 60));
    bench.clock.Advance(250ms);
    const auto reports = bench.quarantine.TakeReports(194);
    CHECK(reports.size() <= 2);
    for (const auto &report : reports) CHECK(report.requests.size() <= 64);
  }
  CHECK(bench.quarantine.Requests().size() <= 4096);
  CHECK(bench.quarantine.ReportsOf(kGuilty).size() == 2);
}

TEST_CASE("quarantine: all nodes know of a crash while nodes are in contact") {
  for (const int size : {16, 194}) {
    for (const auto seed : support::Seeds(3)) {
      CAPTURE(size, seed);
      support::MemberFleet fleet{size, seed};
      fleet.Run(8s);
      for (auto &node : fleet.nodes) {
        auto *teller = node.get();
        teller->quarantine.OnCrashReport([teller, &fleet, size] {
          for (int i = 0; i < 4; ++i) {
            const auto peer =
                fleet.random.Index(static_cast<std::size_t>(size));
            teller->membership.Contact(peer + 1);
          }
        });
      }
      // Nodes that stood still hear of it from others.
      fleet.Freeze(1);
      for (const int crashing : {0, 5, 9}) {
        fleet.nodes[static_cast<std::size_t>(crashing)]->quarantine.RecordCrash(
            WithGuilty(Range(100, 160)));
        fleet.Run(1s);
      }
      fleet.Thaw(1);
      fleet.Run(1s);
      for (const auto &node : fleet.nodes)
        CHECK(node->quarantine.ReportsOf(kGuilty).size() == 3);
    }
  }
}
