#include "pollenring/node/memory_limit.h"

#include <catch2/catch.hpp>

using pollenring::BudgetFor;
using pollenring::ParseCgroupLimit;
using pollenring::ParseMemTotal;

// Guards against an unlimited budget where a limit is spelled differently.
TEST_CASE("memory limit: cgroup files and meminfo are read") {
  CHECK(ParseCgroupLimit("167772160\n") == 167772160U);
  CHECK_FALSE(ParseCgroupLimit("max\n"));
  CHECK_FALSE(ParseCgroupLimit(""));
  CHECK(ParseMemTotal("Foo: 1 kB\nMemTotal:       32881920 kB\n") ==
        std::size_t{32881920} * 1024);
  CHECK_FALSE(ParseMemTotal("MemFree: 1 kB\n"));
}

TEST_CASE(
    "memory limit: the budget follows the settings, or what is detected") {
  CHECK(BudgetFor({100, 0.5}).max_bytes == std::size_t{50} * 1024 * 1024);
  const auto detected = BudgetFor({0, 0.5}).max_bytes;
  CHECK(detected > std::size_t{1} << 20U);
  CHECK(detected <= pollenring::DetectMemory());
}
