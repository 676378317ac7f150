#include "pollenring/node/readiness.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace {

using namespace std::chrono_literals;
using pollenring::Readiness;
using pollenring::ReadinessCondition;

void SetAll(Readiness &readiness, bool met) {
  for (const auto &row : pollenring::kReadinessConditionNames.rows)
    readiness.Set(row.value, met);
}

}  // namespace

TEST_CASE("readiness: names what is waited for, and since when") {
  pollenring::ManualClock clock;
  Readiness readiness{clock};
  CHECK(readiness.Unmet().size() == pollenring::kReadinessConditions);
  SetAll(readiness, true);
  CHECK(readiness.Ready());
  CHECK(readiness.Unmet().empty());
  clock.Advance(5s);
  readiness.Set(ReadinessCondition::kDescriptors, false);
  clock.Advance(2s);
  readiness.Set(ReadinessCondition::kDescriptors, false);
  CHECK_FALSE(readiness.Ready());
  const auto unmet = readiness.Unmet();
  REQUIRE(unmet.size() == 1);
  CHECK(unmet.front()["condition"] == "descriptors");
  CHECK(unmet.front()["for_ms"] == 2000);
}
