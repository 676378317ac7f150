#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/admission/completion_chance.h"
#include "pollenring/retry/budget.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CompletionChance;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::SeededRandom;
using pollenring::Time;
using pollenring::TrafficRetryBudget;
using pollenring::TrafficRetryOptions;

/*! @brief A kind of roots, with its calls to the leaf service. */
struct Kind {
  const char *name;
  int calls;
  int importance;
  Duration deadline;
};

const std::array<Kind, 4> kKinds{{{"view", 8, 1, 5s},
                                  {"pay", 4, 2, 5s},
                                  {"fix", 1, 1, 2500ms},
                                  {"packet", 0, 1, 3s}}};
constexpr std::size_t kTargets = 4;
constexpr std::size_t kMiddle = 10;
constexpr std::size_t kIngress = 5;
constexpr auto kGap = 20ms; /*!< Between the roots of a kind. */
/*! @brief Priority above all levels: retries go to whoever asks. */
constexpr double kUnranked = 100;

/*! @brief Which decisions are replayed. */
enum class Decisions {
  kNone,   /*!< Every root admitted, retries earned by answered calls. */
  kWhole,  /*!< Those of this build. */
  kNoCosts /*!< As `kWhole`, with one call counted for every kind. */
};

/*! @brief Completed roots among those that arrived while the leaf failed. */
struct Result {
  double worth{}; /*!< By importance, of kinds that call the leaf. */
  std::map<std::string, int> completed;
  int failed_inside{};
  double retries{}; /*!< Highest part of the first calls in any 10 s. */
};

/**
 * @brief Ingress nodes, nodes of a middle service and targets of a leaf.
 *
 * Refused callers return when they are told, but after no more than a third of
 * their remaining time; the callers of failed roots don't.
 */
class Replay {
 public:
  Replay(Decisions decisions, std::uint64_t seed)
      : decisions{decisions}, random{seed} {
    const auto add = [this](auto &nodes, std::size_t count) {
      for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<CompletionChance>(this->clock));
      }
    };
    add(this->targets, kTargets);
    add(this->middle, kMiddle);
    add(this->ingress, kIngress);
    for (auto &node : this->targets) node->SetMakesNoCalls(true);
    for (auto &node : this->middle) {
      for (const auto &kind : kKinds) {
        const double calls = decisions == Decisions::kNoCosts
                                 ? std::min(1, kind.calls)
                                 : kind.calls;
        node->SetCallees(kind.name, {{"leaf-route", calls}});
      }
      this->budgets.push_back(std::make_unique<TrafficRetryBudget>(
          TrafficRetryOptions{}, this->clock, this->random));
    }
  }

  [[nodiscard]] Result Run(double rejected, Duration length = 8s) {
    this->Phase(11s, 0, false);
    this->Phase(length, rejected, true);
    this->Phase(6s, 0, false);
    return this->result;
  }

 private:
  struct Root {
    const Kind *kind;
    Time deadline;
    double sub_priority;
    bool counted;
  };

  void Phase(Duration length, double fraction, bool counted) {
    this->rejected = fraction;
    const Time end = this->clock.Now() + length;
    while (this->clock.Now() < end) {
      for (const auto &kind : kKinds) {
        this->due.emplace(this->clock.Now(),
                          Root{&kind, this->clock.Now() + kind.deadline,
                               this->random.Fraction(), counted});
      }
      for (Duration passed{}; passed < kGap; passed += 1ms) {
        while (!this->due.empty() &&
               this->due.begin()->first <= this->clock.Now()) {
          const Root root = this->due.begin()->second;
          this->due.erase(this->due.begin());
          this->Enter(root);
        }
        this->clock.Advance(1ms);
      }
      this->CheckWindow();
    }
  }

  /*! @brief Finds the retries in the last 10 s. */
  void CheckWindow() {
    constexpr auto kWindow = 10s;
    const Time begin = this->clock.Now() - kWindow;
    for (auto *times : {&this->first, &this->again}) {
      while (!times->empty() && times->front() < begin) times->pop_front();
    }
    if (this->first.empty()) return;
    const double fraction = static_cast<double>(this->again.size()) /
                            static_cast<double>(this->first.size());
    this->result.retries = std::max(this->result.retries, fraction);
  }

  void Enter(const Root &root) {
    const Time now = this->clock.Now();
    if (now >= root.deadline) return;
    const double priority = root.kind->importance + root.sub_priority;
    CompletionChance &ingress = *this->ingress[this->random.Index(kIngress)];
    if (this->decisions != Decisions::kNone) {
      const auto decision =
          ingress.Decide(root.kind->name, priority, this->random);
      if (decision.refuse) {
        const Duration told =
            std::clamp<Duration>(decision.refused_for, 400ms, 1200ms);
        this->due.emplace(
            now + std::min<Duration>(told, (root.deadline - now) / 3), root);
        return;
      }
    }
    const std::size_t node = this->random.Index(kMiddle);
    bool good = true;
    for (int i = 0; i < root.kind->calls; ++i) {
      good = this->Call(node, priority) && good;
    }
    ingress.Learn(root.kind->name, "middle",
                  this->middle[node]->Reports("middle", root.kind->name, 8));
    if (!root.counted) return;
    if (!good) ++this->result.failed_inside;
    if (!good) return;
    ++this->result.completed[root.kind->name];
    if (root.kind->calls > 0) this->result.worth += root.kind->importance;
  }

  bool Call(std::size_t node, double priority) {
    const bool whole = this->decisions != Decisions::kNone;
    TrafficRetryBudget &budget = *this->budgets[node];
    this->first.push_back(this->clock.Now());
    bool good = this->Attempt(node);
    if (whole) budget.SetMakesNoCalls("leaf", true);
    if (good || whole) budget.RecordFirstCall("leaf", good);
    for (int left = 8; !good && left > 0; --left) {
      const bool retry = budget.Spend("leaf", whole ? priority : kUnranked);
      this->middle[node]->SetRetriedFrom("leaf", budget.RetriedFrom("leaf"));
      if (!retry) return false;
      this->again.push_back(this->clock.Now());
      good = this->Attempt(node);
    }
    return good;
  }

  bool Attempt(std::size_t node) {
    const std::size_t target = this->random.Index(kTargets);
    const bool good = !this->random.Chance(this->rejected);
    this->targets[target]->RecordResult("leaf", !good);
    auto reports = this->targets[target]->Reports("leaf", "leaf-route", 8);
    for (auto &report : reports) {
      report.service = "leaf";
      report.target = target + 1;
    }
    this->middle[node]->Learn("leaf-route", "leaf", reports);
    return good;
  }

  Decisions decisions;
  ManualClock clock{1h};
  SeededRandom random;
  std::vector<std::unique_ptr<CompletionChance>> targets;
  std::vector<std::unique_ptr<CompletionChance>> middle;
  std::vector<std::unique_ptr<CompletionChance>> ingress;
  std::vector<std::unique_ptr<TrafficRetryBudget>> budgets;
  std::multimap<Time, Root> due;
  Result result;
  double rejected{};
  std::deque<Time> first;
  std::deque<Time> again;
};

}  // namespace

TEST_CASE("whole requests replay: rejections at a leaf cost half as much") {
  // Four targets reject 0.55 for eight seconds. Guards against roots that fail
  // inside, and against retries that are spread evenly over them.
  for (const auto seed : support::Seeds(2)) {
    const Result before = Replay{Decisions::kNone, seed}.Run(0.55);
    const Result now = Replay{Decisions::kWhole, seed}.Run(0.55);
    INFO("seed " << seed << ", worth before " << before.worth << ", now "
                 << now.worth << ", failed inside before "
                 << before.failed_inside << ", now " << now.failed_inside
                 << ", retries " << now.retries);
    CHECK(now.worth >= 2 * before.worth);
    CHECK(now.failed_inside < before.failed_inside);
    CHECK(now.retries <= 0.2);
    CHECK(now.completed.at("packet") == before.completed.at("packet"));
    auto completed = before.completed;
    CHECK(now.completed.at("view") >= 2 * completed["view"]);
    CHECK(now.completed.at("pay") >= 2 * completed["pay"]);
    // Ranks may give the few retries of its calls to others, but its own chance
    // of 0.45 remains: 180 of 400 roots, less three standard deviations.
    CHECK(now.completed.at("fix") >= 150);
  }
}

TEST_CASE(
    "whole requests replay: nothing changes where hardly anything fails") {
  for (const double rejected : {0.0, 0.02, 0.05}) {
    const Result before = Replay{Decisions::kNone, 1}.Run(rejected);
    const Result now = Replay{Decisions::kWhole, 1}.Run(rejected);
    INFO("rejected " << rejected);
    CHECK(now.worth >= before.worth);
  }
}

TEST_CASE("whole requests replay: a long failure stays within the bound") {
  // Guards against savings from before the refusals, which lower the traffic.
  CHECK(Replay{Decisions::kWhole, 1}.Run(0.55, 20s).retries <= 0.2);
}

TEST_CASE("whole requests replay: the costs of kinds matter") {
  // With one call counted for every kind, no root seems hopeless.
  const Result without = Replay{Decisions::kNoCosts, 1}.Run(0.55);
  const Result now = Replay{Decisions::kWhole, 1}.Run(0.55);
  CHECK(now.worth > 1.3 * without.worth);
  CHECK(now.failed_inside < without.failed_inside);
}
