#include "pollenring/retry/budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace {

using pollenring::FleetRetryBudget;
using pollenring::FleetRetryOptions;

}  // namespace

TEST_CASE("fleet retry budget: all nodes together stay within the bound") {
  // A service fails on every node at once; what they may send again in ten
  // seconds is bounded by a fifth of the requests and fifty.
  const std::size_t nodes =
      GENERATE(std::size_t{1}, std::size_t{16}, std::size_t{48});
  const int requests = 6000;
  std::vector<std::unique_ptr<FleetRetryBudget>> budgets;
  for (std::size_t i = 0; i < nodes; ++i) {
    budgets.push_back(std::make_unique<FleetRetryBudget>(
        FleetRetryOptions{}, [nodes] { return nodes; }));
  }
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    FleetRetryBudget &budget = *budgets[static_cast<std::size_t>(i) % nodes];
    budget.Succeeded("deep");
  }
  for (int i = 0; i < requests; ++i) {
    FleetRetryBudget &budget = *budgets[static_cast<std::size_t>(i) % nodes];
    if (i % 2 == 0) budget.Succeeded("deep");
    while (budget.Spend("deep")) ++retries;
  }
  CHECK(retries > 0);
  CHECK(retries < requests / 5 + 50);
}

TEST_CASE("fleet retry budget: a process that starts has nothing to spend") {
  FleetRetryBudget budget{FleetRetryOptions{}, [] { return std::size_t{1}; }};
  CHECK_FALSE(budget.Allows("deep"));
  CHECK_FALSE(budget.Spend("deep"));
}
