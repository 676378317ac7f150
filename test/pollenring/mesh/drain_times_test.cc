#include "pollenring/mesh/drain_times.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using pollenring::DrainTimesFor;

TEST_CASE(
    "drain times: a longer grace period extends the time for accepted "
    "requests") {
  const auto usual = DrainTimesFor(6s);
  CHECK(usual.accept_until == 2800ms);
  CHECK(usual.withdraw_from == 4100ms);
  CHECK(usual.max_duration == 5400ms);
  CHECK(usual.end == 5700ms);
  const auto longer = DrainTimesFor(10s);
  CHECK(longer.accept_until == 2800ms);
  CHECK(longer.max_duration == 9400ms);
}

TEST_CASE(
    "drain times: a node ends before it is killed even with a short grace "
    "period") {
  for (const auto grace : {200ms, 1000ms, 2000ms, 3000ms, 4000ms}) {
    CAPTURE(grace.count());
    const auto times = DrainTimesFor(grace);
    CHECK(times.max_duration < grace);
    CHECK(times.accept_until < times.max_duration);
    CHECK(times.accept_until < times.withdraw_from);
    CHECK(times.withdraw_from < times.max_duration);
    CHECK(times.max_duration < times.end);
    CHECK(times.end < grace);
    CHECK(times.accept_until > 0ms);
  }
}
