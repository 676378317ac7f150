#include "pollenring/node/call_attribution.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "pollenring/core/random.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CallAttribution;
using pollenring::SeededRandom;
using pollenring::Time;

/*! @brief A kind of requests: arrival rate, duration, and times of calls. */
struct Kind {
  std::string name;
  double per_ms;
  int duration_ms;
  std::vector<int> calls_at_ms;
};

/*! @brief How the numbers of running requests vary otherwise. */
enum class Pattern {
  kSteady,
  kWaves, /*!< Twice the load in every other 5 s. */
  kStuck  /*!< From 5 s, kinds that call stall for 1 s of each 2.5 s. */
};

[[nodiscard]] bool IsStuck(Pattern pattern, const Kind &kind, int step_ms) {
  if (pattern != Pattern::kStuck || kind.calls_at_ms.empty()) return false;
  return step_ms >= 5'000 && step_ms % 2'500 < 1'000;
}

/*! @brief Simulates kinds of requests. @return The resulting estimate. */
[[nodiscard]] CallAttribution Simulate(const std::vector<Kind> &kinds,
                                       int duration_ms, Pattern pattern,
                                       std::uint64_t seed = 7) {
  SeededRandom random{seed};
  Time now = 1h;
  CallAttribution attribution{now};
  struct Run {
    const Kind *kind;
    int age_ms;
  };
  std::vector<Run> runs;
  for (int step = 0; step < duration_ms; ++step) {
    now += 1ms;
    // Load swings raise all kinds together.
    const bool waves = pattern == Pattern::kWaves;
    const double load = waves && step / 5'000 % 2 == 1 ? 2.0 : 1.0;
    for (const auto &kind : kinds) {
      if (!random.Chance(kind.per_ms * load)) continue;
      runs.push_back({&kind, 0});
      attribution.Begin(kind.name, now);
    }
    for (auto it = runs.begin(); it != runs.end();) {
      if (IsStuck(pattern, *it->kind, step)) {
        ++it;
        continue;
      }
      ++it->age_ms;
      for (const int at : it->kind->calls_at_ms) {
        if (it->age_ms == at) attribution.RecordCall("callee", now);
      }
      if (it->age_ms < it->kind->duration_ms) {
        ++it;
        continue;
      }
      attribution.End(it->kind->name, now);
      it = runs.erase(it);
    }
  }
  return attribution;
}

[[nodiscard]] double Fraction(const CallAttribution &attribution,
                              const std::string &kind) {
  const auto fraction = attribution.FractionOf(kind, "callee");
  REQUIRE(fraction);
  return *fraction;
}

}  // namespace

TEST_CASE("call attribution: separates kinds with calls from kinds without") {
  // Downloads, and lookups that make four calls, on one target.
  const CallAttribution attribution = Simulate(
      {{"download", 0.008, 96, {}}, {"lookup", 0.045, 120, {9, 35, 61, 90}}},
      30'000, Pattern::kSteady);
  CHECK(Fraction(attribution, "lookup") > 0.9);
  CHECK(Fraction(attribution, "download") < 0.1);
  CHECK(attribution.CallersOf("callee", 0.1) ==
        std::vector<std::string>{"lookup"});
}

TEST_CASE(
    "call attribution: two calling kinds get their fractions of the calls") {
  const CallAttribution attribution = Simulate({{"often", 0.09, 110, {30, 70}},
                                                {"seldom", 0.06, 110, {50}},
                                                {"never", 0.15, 110, {}}},
                                               60'000, Pattern::kSteady);
  CHECK(Fraction(attribution, "often") == Approx(0.75).margin(0.12));
  CHECK(Fraction(attribution, "seldom") == Approx(0.25).margin(0.12));
  CHECK(Fraction(attribution, "never") < 0.1);
}

TEST_CASE("call attribution: load swings make no kind a caller") {
  const CallAttribution attribution = Simulate(
      {{"download", 0.02, 96, {}}, {"lookup", 0.045, 120, {9, 35, 61, 90}}},
      60'000, Pattern::kWaves);
  CHECK(Fraction(attribution, "download") < 0.1);
}

TEST_CASE("call attribution: separates kinds when requests take a second") {
  // On a busy target requests wait long between their calls.
  const CallAttribution attribution = Simulate(
      {{"download", 0.02, 96, {}}, {"lookup", 0.04, 900, {9, 220, 450, 690}}},
      30'000, Pattern::kSteady);
  CHECK(Fraction(attribution, "download") < 0.1);
}

TEST_CASE("call attribution: delayed calls make no other kind a caller") {
  // While the callee is short of capacity, lookups accumulate without calling;
  // they call when few are left. Fewer of them then run at calls than on
  // average, and the estimate names another kind.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (int duration_ms = 3'000; duration_ms <= 40'000; duration_ms += 1'300) {
      CAPTURE(seed, duration_ms);
      const CallAttribution attribution =
          Simulate({{"download", 0.015, 70, {}}, {"lookup", 0.1, 20, {2}}},
                   duration_ms, Pattern::kStuck, seed);
      CHECK(attribution.CallersOf("callee", 0.15) ==
            std::vector<std::string>{"lookup"});
    }
  }
}

TEST_CASE("call attribution: callers are known two seconds after a start") {
  const CallAttribution attribution = Simulate(
      {{"download", 0.008, 96, {}}, {"lookup", 0.045, 120, {9, 35, 61, 90}}},
      2'000, Pattern::kSteady);
  CHECK(Fraction(attribution, "lookup") > 0.7);
}

TEST_CASE("call attribution: a few external calls make no kind a caller") {
  // Someone testing a route by hand sends a few requests like a target's calls.
  CallAttribution attribution{1h};
  Time now = 1h;
  attribution.Begin("download", now);
  for (int i = 0; i < 25; ++i) {
    now += 700ms;
    attribution.RecordCall("tried", now);
  }
  CHECK_FALSE(attribution.FractionOf("download", "tried"));
  CHECK(attribution.CallersOf("tried", 0.1).empty());
}

TEST_CASE("call attribution: unused kinds and callees are removed") {
  CallAttribution attribution{1h};
  Time now = 1h;
  for (int i = 0; i < 100; ++i) {
    const std::string kind = "kind" + std::to_string(i);
    attribution.Begin(kind, now);
    attribution.End(kind, now);
    now += 2s;
  }
  CHECK(attribution.MeanRunning("kind0") == Approx(0.01));
  CHECK(attribution.CallersOf("callee", 0.1).empty());
}

TEST_CASE(
    "call attribution: the only kind is identified from its first calls") {
  // One of many targets of a service: three equal requests per second.
  CallAttribution attribution{1h};
  Time now = 1h;
  for (int i = 0; i < 2; ++i) {
    attribution.Begin("lookup", now);
    for (int call = 0; call < 2; ++call) {
      now += 150ms;
      attribution.RecordCall("callee", now);
    }
    now += 50ms;
    attribution.End("lookup", now);
  }
  CHECK(attribution.CallersOf("callee", 0.1) ==
        std::vector<std::string>{"lookup"});
}
