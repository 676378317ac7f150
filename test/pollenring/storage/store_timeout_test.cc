#include "pollenring/storage/store_timeout.h"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using pollenring::StoreTimeout;

}  // namespace

TEST_CASE("store timeout: grows while a process starts, up to a bound") {
  StoreTimeout timeout;
  CHECK(timeout.Limit() == StoreTimeout::kUsual);
  timeout.TimedOut(800ms);
  // Sent together with the one before.
  timeout.TimedOut(800ms);
  CHECK(timeout.Limit() == 1600ms);
  timeout.TimedOut(1600ms);
  timeout.TimedOut(3200ms);
  CHECK(timeout.Limit() == StoreTimeout::kMax);
}

TEST_CASE("store timeout: follows the store's last response") {
  StoreTimeout timeout;
  timeout.TimedOut(800ms);
  timeout.EndStart();
  timeout.Answered(1000ms);
  CHECK(timeout.Limit() == 2000ms);
  timeout.TimedOut(2000ms);
  CHECK(timeout.Limit() == 2000ms);
  timeout.Answered(4ms);
  CHECK(timeout.Limit() == StoreTimeout::kUsual);
}
