#include "pollenring/mesh/drain_times.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using pollenring::DrainTimesFor;

TEST_CASE("leave times: a longer grace goes to what was accepted last") {
  const auto usual = DrainTimesFor(6s);
  CHECK(usual.accepts == 2800ms);
  CHECK(usual.longest == 5400ms);
  const auto longer = DrainTimesFor(10s);
  CHECK(longer.accepts == 2800ms);
  CHECK(longer.longest == 9400ms);
}

TEST_CASE("leave times: a node ends before it is killed, however short") {
  for (const auto grace : {200ms, 1000ms, 2000ms, 3000ms, 4000ms}) {
    CAPTURE(grace.count());
    const auto times = DrainTimesFor(grace);
    CHECK(times.longest < grace);
    CHECK(times.accepts < times.longest);
    CHECK(times.accepts > 0ms);
  }
}
