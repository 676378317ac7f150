#include "pollenring/net/loop.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

#include "pollenring/core/invariant.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Loop;

}  // namespace

TEST_CASE("loop: an error in one task affects no other") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  int posted = 0;
  int timers = 0;
  int rounds = 0;
  loop.Post([] { throw std::out_of_range{"in a task"}; });
  loop.Post([&posted] { ++posted; });
  loop.After(1ms, [] { throw std::out_of_range{"in a timer"}; });
  loop.After(1ms, [&timers] { ++timers; });
  loop.Every(1ms, [&] {
    if (++rounds == 5) loop.Stop();
    throw std::out_of_range{"each time"};
  });
  loop.Run();
  CHECK(posted == 1);
  CHECK(timers == 1);
  CHECK(rounds == 5);
}
TEST_CASE(
    "loop: listeners receive errors and whether an invariant was violated") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  std::vector<pollenring::ContainedError> errors;
  loop.OnError([&errors](const pollenring::ContainedError &error) {
    errors.push_back(error);
  });
  loop.Post([] { throw std::out_of_range{"a key"}; });
  loop.Post([] { pollenring::Require(false, "what holds"); });
  loop.Post([&loop] { loop.Stop(); });
  loop.Run();
  REQUIRE(errors.size() == 2);
  CHECK_FALSE(errors[0].invariant_violated);
  CHECK(errors[0].what == "a key");
  CHECK(errors[1].invariant_violated);
  CHECK(loop.Errors() == 2);
}

TEST_CASE("loop: an error in one listener affects no other") {
  const pollenring::SystemClock clock;
  Loop loop{clock};
  int told = 0;
  int posted = 0;
  loop.OnError([](const pollenring::ContainedError & /*error*/) {
    throw std::out_of_range{"in a listener"};
  });
  loop.OnError([&told](const pollenring::ContainedError &error) {
    CHECK(error.what == "in a task");
    ++told;
  });
  loop.Post([] { throw std::out_of_range{"in a task"}; });
  loop.Post([&posted] { ++posted; });
  loop.Post([&loop] { loop.Stop(); });
  REQUIRE_NOTHROW(loop.Run());
  CHECK(told == 1);
  CHECK(posted == 1);
}
