#include "pollenring/retry/budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::ManualClock;
using pollenring::SeededRandom;
using pollenring::Time;
using pollenring::TrafficRetryBudget;
using pollenring::TrafficRetryOptions;

/**
 * @brief Bound on retries: a fifth of the requests in the last window, the one
 * before or the one half a window earlier, plus a slack that does not grow with
 * the number of nodes.
 */
constexpr double kRatio = 0.2;
constexpr double kSlack = 50;
constexpr auto kWindow = 10s;
constexpr double kPriority = 1;

/*! @brief Number of calls each service of a chain makes to the next. */
using Chain = std::vector<int>;
const Chain kWide{2, 1, 4};
const Chain kLong{1, 1, 1, 1, 1, 1, 1, 1, 1};

/*! @brief Nodes with one budget each, and the arrivals at each service. */
class Fleet {
 public:
  Fleet(std::size_t size, std::uint64_t seed, Chain times = kWide)
      : random{seed},
        failing(times.size() + 1),
        times{std::move(times)},
        seen(this->times.size() + 1) {
    for (std::size_t i = 0; i < size; ++i) this->Restart(i);
  }

  /*! @brief Replaces a node's process. */
  void Restart(std::size_t index) {
    if (this->budgets.size() <= index) this->budgets.resize(index + 1);
    this->budgets[index] = std::make_unique<TrafficRetryBudget>(
        TrafficRetryOptions{}, this->clock, this->random);
  }

  /*! @brief Runs one request of a service at a random node, with its calls. */
  bool Call(std::size_t level, bool repeat) {
    TrafficRetryBudget &budget =
        *this->budgets[this->random.Index(this->budgets.size())];
    const std::string service = std::to_string(level);
    this->Count(level, repeat);
    if (repeat) budget.RecordRetriedCall(service);
    for (int attempt = 0;; ++attempt) {
      const bool again = repeat || attempt > 0;
      bool good = !this->random.Chance(this->failing[level]);
      const int calls = level < this->times.size() ? this->times[level] : 0;
      for (int i = 0; good && i < calls; ++i) {
        good = this->Call(level + 1, again);
      }
      if (!again) budget.RecordFirstCall(service, true);
      if (good) return true;
      if (attempt > 0 || !budget.Spend(service, this->random.Fraction()))
        return false;
      ++this->retries;
      this->Count(level, true);
    }
  }

  /*! @brief Generates requests and checks every window. */
  void Run(std::chrono::milliseconds length, int per_second) {
    const auto gap = std::chrono::microseconds{1'000'000 / per_second};
    for (Time passed{}; passed < length; passed += gap) {
      this->clock.Advance(gap);
      this->Call(0, false);
      this->Check();
    }
  }

  SeededRandom random;
  ManualClock clock{1h};
  std::vector<double> failing;
  int retries{};
  int requests{};
  int worst{}; /*!< Highest used part of the bound, in percent. */

 private:
  struct Seen {
    std::deque<Time> first;
    std::deque<Time> again;
  };

  void Count(std::size_t level, bool repeat) {
    Seen &seen = this->seen[level];
    (repeat ? seen.again : seen.first).push_back(this->clock.Now());
    if (level == 0 && !repeat) ++this->requests;
  }

  void Check() {
    const Time now = this->clock.Now();
    const auto drop = [](std::deque<Time> &times, Time before) {
      while (!times.empty() && times.front() < before) times.pop_front();
    };
    for (auto &at : this->seen) {
      drop(at.again, now - kWindow);
      drop(at.first, now - 2 * kWindow);
      std::size_t requests = 0;
      for (const Time end : {now, now - kWindow / 2, now - kWindow}) {
        const auto from =
            std::lower_bound(at.first.begin(), at.first.end(), end - kWindow);
        const auto to = std::upper_bound(from, at.first.end(), end);
        requests = std::max(requests, static_cast<std::size_t>(to - from));
      }
      const double bound = kRatio * static_cast<double>(requests) + kSlack;
      const auto used =
          static_cast<int>(100 * static_cast<double>(at.again.size()) / bound);
      this->worst = std::max(this->worst, used);
    }
  }

  std::vector<std::unique_ptr<TrafficRetryBudget>> budgets;
  Chain times;
  std::vector<Seen> seen;
};

}  // namespace

TEST_CASE("traffic retry budget: a chain stays within the bound of a fleet") {
  // All services of a chain fail part of their calls together, after a period
  // in which nodes saved up; with few and many nodes, low and high traffic.
  const std::size_t nodes =
      GENERATE(std::size_t{10}, std::size_t{100}, std::size_t{300});
  const int per_second = GENERATE(20, 300);
  for (const auto seed : support::Seeds(2)) {
    INFO("seed " << seed << ", nodes " << nodes);
    Fleet fleet{nodes, seed};
    fleet.Run(10s, per_second);
    fleet.failing = {0.4, 0.4, 0.4, 0.4};
    fleet.Run(12s, per_second);
    CHECK(fleet.worst <= 100);
    CHECK(fleet.retries > 0);
    fleet.failing = {0, 0, 0, 0};
    fleet.Run(5s, per_second);
    fleet.failing = {0, 0, 0.2, 0.2};
    fleet.Run(10s, per_second);
    CHECK(fleet.worst <= 100);
  }
}

TEST_CASE("traffic retry budget: retries do not multiply along a long chain") {
  // Each of ten services fails part of its calls: a retry at one service
  // repeats the calls of all services downstream.
  for (const auto seed : support::Seeds(2)) {
    INFO("seed " << seed);
    Fleet fleet{100, seed, kLong};
    fleet.failing.assign(kLong.size() + 1, 0.04);
    fleet.Run(25s, 200);
    CHECK(fleet.worst <= 100);
    CHECK(fleet.retries > 0);
  }
}

TEST_CASE("traffic retry budget: restarts of all nodes add nothing") {
  constexpr std::size_t kNodes = 200;
  for (const auto seed : support::Seeds(3)) {
    INFO("seed " << seed);
    Fleet fleet{kNodes, seed};
    fleet.failing = {0.3, 0.3, 0.3, 0.3};
    for (int round = 0; round < 4; ++round) {
      fleet.Run(3s, 100);
      for (std::size_t i = 0; i < kNodes; ++i) fleet.Restart(i);
    }
    CHECK(fleet.worst <= 100);
  }
}

TEST_CASE("traffic retry budget: most of a few failures are retried") {
  // One target of many truncates two percent of its responses.
  Fleet fleet{100, 7};
  fleet.Run(10s, 300);
  fleet.failing = {0, 0, 0, 0.02};
  fleet.retries = 0;
  fleet.requests = 0;
  fleet.Run(10s, 300);
  const double failures = fleet.requests * 8 * 0.02;
  CHECK(fleet.retries > 0.8 * failures);
}

TEST_CASE("traffic retry budget: a new process has no savings") {
  const ManualClock clock{1h};
  SeededRandom random{1};
  TrafficRetryBudget budget{TrafficRetryOptions{}, clock, random};
  CHECK_FALSE(budget.Spend("deep", kPriority));
}

TEST_CASE("traffic retry budget: repeated attempts gain nothing") {
  const ManualClock clock{1h};
  SeededRandom random{1};
  TrafficRetryBudget budget{TrafficRetryOptions{}, clock, random};
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstCall("deep", true);
    for (int attempt = 0; attempt < 10; ++attempt) {
      if (budget.Spend("deep", kPriority)) ++granted;
    }
  }
  CHECK(granted > 40);
  CHECK(granted < 120);
}
