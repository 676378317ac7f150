#include "pollenring/admission/concurrency_limit.h"

#include <catch2/catch.hpp>

#include "pollenring/core/random.h"

namespace {

using namespace std::chrono_literals;
using pollenring::ConcurrencyLimit;
using pollenring::ConcurrencyLimitOptions;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::SeededRandom;

/*! @brief Runs a target that always has work; its last slots may slow it. */
[[nodiscard]] int LimitAfter(int slots, double slower_when_full) {
  ManualClock clock{std::chrono::hours{1}};
  ConcurrencyLimitOptions options;
  options.fixed = true;
  ConcurrencyLimit limit{static_cast<std::uint32_t>(slots), options, clock};
  SeededRandom random{5};
  for (int i = 0; i < 3000; ++i) {
    // Use rises and falls with the load.
    const int running = 1 + (i % limit.Current());
    const bool full = running > slots * 0.95;
    const double ms =
        30 * (0.5 + random.Fraction()) * (full ? slower_when_full : 1.0);
    const Duration took{static_cast<std::int64_t>(ms * 1000)};
    clock.Advance(took / slots);
    limit.Sample(took, took, running, false);
  }
  return limit.Current();
}

}  // namespace

TEST_CASE("concurrency limit: last slots that slow the others stay free") {
  CHECK(LimitAfter(22, 1.3) == 20);
  CHECK(LimitAfter(55, 1.3) == 52);
}

TEST_CASE("concurrency limit: last slots that cost nothing are used") {
  CHECK(LimitAfter(22, 1.0) == 22);
  CHECK(LimitAfter(362, 1.0) == 362);
  CHECK(LimitAfter(4, 1.3) == 4);
}
