#include "pollenring/admission/completion_chance.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using pollenring::CompletionChance;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::SeededRandom;
using pollenring::ServiceFailure;

constexpr double kPriority = 1.5;

/*! @brief A leaf's target node, a middle node and an ingress in a chain. */
struct Chain {
  ManualClock clock{1h};
  CompletionChance leaf{this->clock};
  CompletionChance middle{this->clock};
  CompletionChance ingress{this->clock};
  SeededRandom random{1};

  Chain() {
    this->leaf.SetMakesNoCalls(true);
    this->middle.SetCallees("view", {{"leaf-route", 8}});
    this->middle.SetCallees("fix", {{"leaf-route", 1}});
    this->middle.SetCallees("packet", {});
  }

  /*! @brief Makes leaf calls, and one root of each kind on every 20th. */
  void Run(Duration length, double failing) {
    for (Duration passed{}; passed < length; passed += 1ms) {
      this->clock.Advance(1ms);
      this->leaf.RecordResult("leaf", this->random.Chance(failing));
      auto reports = this->leaf.Reports("leaf", "leaf-route", 8);
      for (auto &report : reports) {
        report.service = "leaf";
        report.target = 7;
      }
      this->middle.Learn("leaf-route", "leaf", reports);
      if (passed % 20ms != 0ms) continue;
      for (const auto *kind : {"view", "fix", "packet"}) {
        this->ingress.Learn(kind, "middle",
                            this->middle.Reports("middle", kind, 8));
      }
    }
  }

  [[nodiscard]] double Chance(const std::string &kind) const {
    return this->ingress.ChanceOf(kind, kPriority).chance;
  }
};

}  // namespace

TEST_CASE("completion chance: calls per root and failures give the chance") {
  // Guards against admitting roots that fail inside, and refusing others.
  Chain chain;
  chain.Run(2s, 0);
  CHECK(chain.Chance("view") == 1);
  chain.Run(2s, 0.55);
  CHECK(chain.Chance("view") < 0.02);
  CHECK(chain.Chance("fix") == Approx(0.45).margin(0.15));
  CHECK(chain.Chance("packet") == 1);
  CHECK(chain.Chance("unknown") == 1);
  chain.Run(500ms, 0);
  CHECK(chain.Chance("view") == 1);
}

TEST_CASE("completion chance: few failures never refuse") {
  // Guards against refusals where a service works but for a few calls.
  Chain chain;
  chain.Run(2s, 0);
  chain.Run(2s, 0.06);
  CHECK(chain.Chance("view") == 1);
  // Nine failures within the time that is looked at, and nothing else.
  CompletionChance few{chain.clock};
  ServiceFailure report{"leaf", 900, 10, 0, 8'000, -1, false, 0};
  few.Learn("view", "middle", {report});
  CHECK(few.ChanceOf("view", kPriority).chance == 1);
}

TEST_CASE("completion chance: lost and old reports refuse nothing") {
  Chain chain;
  chain.Run(2s, 0);
  chain.Run(2s, 0.55);
  REQUIRE(chain.Chance("view") < 0.1);
  // The link to the nodes that report is lost.
  chain.clock.Advance(800ms);
  CHECK(chain.Chance("view") == 1);
  // A report that was 3 s on its way.
  ServiceFailure report{"leaf", 550, 500, 3'000, 8'000, -1, false, 0};
  chain.ingress.Learn("view", "middle", {report});
  CHECK(chain.Chance("view") == 1);
  report.age_ms = 100;
  chain.ingress.Learn("view", "middle", {report});
  CHECK(chain.Chance("view") < 0.1);
  // An older report that arrives later does not replace it.
  report.age_ms = 700;
  report.failed_milli = 0;
  chain.ingress.Learn("view", "middle", {report});
  CHECK(chain.Chance("view") < 0.1);
}

TEST_CASE("completion chance: an unknown number of calls refuses nothing") {
  // Guards against builds that lack the field, and nodes that have just begun.
  const ManualClock clock{1h};
  CompletionChance ingress{clock};
  ingress.Learn("view", "middle", {{"leaf", 550, 500, 0, -1, -1, false, 0}});
  CHECK(ingress.ChanceOf("view", kPriority).chance == 1);
}

TEST_CASE("completion chance: roots whose calls are retried have a chance") {
  const ManualClock clock{1h};
  CompletionChance ingress{clock};
  ingress.Learn("view", "middle",
                {{"leaf", 550, 500, 0, 8'000, 1'800, false, 0}});
  CHECK(ingress.ChanceOf("view", 1.7).chance < 0.1);
  CHECK(ingress.ChanceOf("view", 1.9).chance > 0.3);
}

TEST_CASE("completion chance: trials pass, and changes are told once") {
  Chain chain;
  chain.Run(2s, 0);
  chain.Run(1s, 0.55);
  int refused = 0;
  int trials = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto decision = chain.ingress.Decide("view", kPriority, chain.random);
    refused += decision.refuse ? 1 : 0;
    trials += decision.trial ? 1 : 0;
  }
  CHECK(refused + trials == 2000);
  CHECK(trials > 15);
  CHECK(trials < 80);
  const auto begun = chain.ingress.TakeChanges();
  REQUIRE(begun.size() == 1);
  CHECK(begun.front().refusing);
  CHECK(begun.front().service == "leaf");
  chain.Run(1500ms, 0);
  CHECK_FALSE(chain.ingress.Decide("view", kPriority, chain.random).refuse);
  const auto ended = chain.ingress.TakeChanges();
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended.front().refusing);
  CHECK(ended.front().refused == static_cast<std::uint64_t>(refused));
}
