#include "pollenring/retry/retry_rank.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/retry/budget.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::SeededRandom;
using pollenring::Time;
using pollenring::TrafficRetryBudget;
using pollenring::TrafficRetryOptions;

constexpr double kBound = 0.2;
constexpr double kSlack = 50;
constexpr auto kWindow = 10s;
constexpr std::size_t kNodes = 10;

/*! @brief Nodes that call one leaf service, which rejects some calls. */
class LeafFleet {
 public:
  explicit LeafFleet(std::uint64_t seed) : random{seed} {
    for (std::size_t i = 0; i < kNodes; ++i) {
      this->nodes.push_back(std::make_unique<TrafficRetryBudget>(
          TrafficRetryOptions{}, this->clock, this->random));
    }
  }

  /*! @brief Makes one call with retries. @return Whether it succeeds. */
  bool Call(TrafficRetryBudget &node, double priority) {
    node.SetMakesNoCalls("leaf", true);
    this->first.push_back(this->clock.Now());
    bool good = !this->random.Chance(this->rejected);
    node.RecordFirstCall("leaf", good);
    for (int left = 8; !good && left > 0; --left) {
      if (!node.Spend("leaf", priority)) return false;
      this->again.push_back(this->clock.Now());
      good = !this->random.Chance(this->rejected);
    }
    return good;
  }

  /*! @brief Runs roots with a number of calls and checks every window.
   * @return The completed fraction of the roots. */
  double Run(Duration length, int per_second, int calls) {
    const auto gap = std::chrono::microseconds{1'000'000 / per_second};
    int roots = 0;
    int complete = 0;
    for (Duration passed{}; passed < length; passed += gap) {
      this->clock.Advance(gap);
      ++roots;
      const double priority = 1 + this->random.Fraction();
      // The run of a parent makes its calls through its own node.
      TrafficRetryBudget &node = *this->nodes[this->random.Index(kNodes)];
      bool good = true;
      for (int i = 0; i < calls; ++i) good = this->Call(node, priority) && good;
      if (good) ++complete;
      this->Check();
    }
    return static_cast<double>(complete) / roots;
  }

  ManualClock clock{1h};
  SeededRandom random;
  double rejected{};
  double worst{}; /*!< Retries above the slack, of the requests of a window. */
  std::deque<Time> again;

 private:
  void Check() {
    const Time begin = this->clock.Now() - kWindow;
    for (auto *times : {&this->first, &this->again}) {
      while (!times->empty() && times->front() < begin) times->pop_front();
    }
    const double above = static_cast<double>(this->again.size()) - kSlack;
    this->worst =
        std::max(this->worst, above / static_cast<double>(this->first.size()));
  }

  std::vector<std::unique_ptr<TrafficRetryBudget>> nodes;
  std::deque<Time> first;
};

}  // namespace

TEST_CASE("retry rank: retries at a leaf stay within the bound") {
  // Guards the bound over all nodes and any 10 s: from the first rejection,
  // after which savings are spent, to a while after the end.
  for (const auto seed : support::Seeds(2)) {
    INFO("seed " << seed);
    LeafFleet fleet{seed};
    fleet.Run(11s, 200, 8);
    fleet.rejected = 0.55;
    fleet.Run(8s, 200, 8);
    CHECK(fleet.worst <= kBound);
    fleet.rejected = 0;
    fleet.Run(8s, 200, 8);
    CHECK(fleet.worst <= kBound);
  }
}

TEST_CASE("retry rank: retries complete whole roots") {
  // Guards against retries that are spread evenly: a root with eight calls then
  // completes with 0.007. The retries earned suffice for 0.15 / 1.22 = 0.12 of
  // the roots; half of that is required.
  LeafFleet fleet{1};
  fleet.Run(11s, 200, 8);
  fleet.rejected = 0.55;
  fleet.Run(2s, 200, 8);
  CHECK(fleet.Run(6s, 200, 8) > 0.06);
}

TEST_CASE("retry rank: all calls are retried while retries suffice") {
  LeafFleet fleet{1};
  fleet.Run(11s, 200, 4);
  fleet.rejected = 0.02;
  fleet.Run(2s, 200, 4);
  CHECK(fleet.Run(6s, 200, 4) > 0.99);
}
