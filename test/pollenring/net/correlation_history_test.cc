#include "pollenring/net/correlation_history.h"

#include <catch2/catch.hpp>
#include <string>

using namespace std::chrono_literals;
using pollenring::Time;
using pollenring::internal::CorrelationHistory;

TEST_CASE("correlation history: a request is known until it can't be resent") {
  CorrelationHistory history;
  const Time start{1s};
  history.Add("long", start, start + 6s);
  history.Add("short", start, start + 1s);
  CHECK(history.MayContain("long", start));
  CHECK(history.MayContain("short", start + 999ms));
  CHECK_FALSE(history.MayContain("other", start));
  CHECK_FALSE(history.MayContain("short", start + 1s));
  // The same value may be used again later.
  history.Add("short", start + 1500ms, start + 4s);
  CHECK(history.MayContain("short", start + 3999ms));
  CHECK_FALSE(history.MayContain("short", start + 4s));
  // Adding another request forgets those that have ended only.
  history.Add("next", start + 2s, start + 3s);
  CHECK(history.MayContain("long", start + 5999ms));
  CHECK_FALSE(history.MayContain("long", start + 6s));
  history.Add("last", start + 6s, start + 7s);
  CHECK_FALSE(history.MayContain("next", start + 6s));
  CHECK(history.MayContain("last", start + 6999ms));
}
