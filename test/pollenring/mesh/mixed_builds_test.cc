#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <utility>

#include "support/mixed_fleet.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using support::Build;
using support::FleetJournal;
using support::MixedFleet;
using support::Violation;

/*! @brief Length of an undisturbed period, after the contact time. */
constexpr pollenring::Duration kUndisturbed = 2500ms;
constexpr pollenring::Duration kBurstTime = 100ms;
constexpr pollenring::Duration kStepInterval = 300ms;
constexpr pollenring::Duration kPauseTime = 4s;
constexpr pollenring::Duration kDownTime = 1s;
constexpr pollenring::Duration kExtraWithdrawal = 1500ms;
/*! @brief Number of violations printed per rule. */
constexpr std::size_t kMaxPrinted = 6;

/*! @brief A fleet whose nodes are replaced with nodes of another build. */
class Replacement {
 public:
  Replacement(int net, std::uint64_t seed, Build before, Build after,
              std::set<std::string> builds_without_withdrawal)
      : fleet{net, seed, std::move(builds_without_withdrawal)},
        before{std::move(before)},
        after{std::move(after)} {}

  /*! @brief Starts all nodes with the old build and begins the load. */
  void Begin() {
    for (int i = 1; i <= MixedFleet::kNodes; ++i) {
      this->fleet.Start(i, this->before, true);
      this->builds[i] = this->before;
    }
    for (int i = 1; i <= MixedFleet::kNodes; ++i) this->fleet.AwaitReady(i);
    this->fleet.BeginLoad();
    this->RunUndisturbed();
  }

  /*! @brief Replaces the nodes of one service, then those of the other.
   * @param halfway Called in between, when each service has one build. */
  template <typename Halfway>
  void ReplaceByService(const Build &by, const Halfway &halfway) {
    auto [first, second] = this->Halves();
    for (const int node : first) this->Replace(node, by);
    this->RunUndisturbed();
    halfway();
    for (const int node : second) this->Replace(node, by);
    this->RunUndisturbed();
  }

  /*! @brief Replaces a node of each service in turn.
   * @param halfway Called in between, when both services have both builds. */
  template <typename Halfway>
  void ReplaceByTurns(const Build &by, const Halfway &halfway) {
    const auto [first, second] = this->Halves();
    int replaced = 0;
    for (std::size_t i = 0; i < first.size(); ++i) {
      for (const int node : {first[i], second[i]}) {
        this->Replace(node, by);
        if (++replaced != MixedFleet::kNodes / 2) continue;
        this->RunUndisturbed();
        halfway();
      }
    }
    this->RunUndisturbed();
  }

  /*! @brief Kills and pauses a node, changes the configuration and withdraws a
   * zone, in an order given by the seed. */
  void Disturb() {
    const pollenring::Time from = this->fleet.Now();
    for (const int what : this->Shuffled({0, 1, 2, 3})) {
      if (what == 0) this->KillOne();
      if (what == 1) this->PauseOne();
      if (what == 2) this->fleet.ChangeConfig();
      if (what == 3) this->WithdrawOne();
    }
    this->RunUndisturbed();
    this->fleet.LeaveOneZoneInTurn();
    this->fleet.CheckReached(from);
  }

  void ChangeConfig() {
    this->fleet.ChangeConfig();
    this->RunUndisturbed();
  }

  /*! @brief Describes violations, a limited number per rule. */
  [[nodiscard]] std::string Report() {
    std::map<std::string_view, std::size_t> counts;
    std::string text;
    for (const Violation &violation : this->fleet.Journal().FindViolations()) {
      const auto name = support::kFleetRuleNames.Name(violation.rule);
      if (++counts[name] > kMaxPrinted) continue;
      text +=
          std::to_string(this->fleet.MillisecondsSinceCreation(violation.at)) +
          " ms " + std::string{name} + ": " + violation.what + "\n";
    }
    for (const auto &[name, count] : counts) {
      text += std::string{name} + " " + std::to_string(count) + " times\n";
    }
    return text;
  }

  /*! @brief Checks that each build has called the other. */
  void CheckCrossings() {
    auto crossings = this->fleet.Journal().Crossings();
    for (const auto &[from, to] : {std::pair{this->before, this->after},
                                   std::pair{this->after, this->before}}) {
      CAPTURE(from.name, to.name);
      const int count = crossings[{from.name, to.name}];
      CHECK(count > 0);
    }
  }

  [[nodiscard]] std::size_t Calls() { return this->fleet.Journal().Calls(); }

 private:
  [[nodiscard]] pollenring::Random &Random() { return this->fleet.GetRandom(); }

  [[nodiscard]] std::vector<int> Shuffled(std::vector<int> items) {
    for (std::size_t i = items.size(); i > 1; --i) {
      std::swap(items[i - 1], items[this->Random().Index(i)]);
    }
    return items;
  }

  /*! @brief The nodes of each service, in an order given by the seed. */
  [[nodiscard]] std::pair<std::vector<int>, std::vector<int>> Halves() {
    std::vector<int> first;
    std::vector<int> second;
    for (int i = 1; i <= MixedFleet::kNodes; ++i) {
      (i <= MixedFleet::kNodes / 2 ? first : second).push_back(i);
    }
    if (this->Random().Chance(0.5)) std::swap(first, second);
    first = this->Shuffled(std::move(first));
    return {std::move(first), this->Shuffled(std::move(second))};
  }

  [[nodiscard]] int AnyNode() {
    return 1 + static_cast<int>(this->Random().Index(MixedFleet::kNodes));
  }

  void RunUndisturbed() {
    this->fleet.Run(FleetJournal::kContact + kUndisturbed);
  }

  void Replace(int node, const Build &by) {
    // Its target has running and queued requests when the node is stopped.
    this->fleet.Burst(node);
    this->fleet.Run(kBurstTime);
    this->fleet.Stop(node);
    if (this->Random().Chance(0.5)) this->fleet.RestartTarget(node);
    this->fleet.Start(node, by, false);
    this->builds[node] = by;
    this->fleet.AwaitReady(node);
    this->fleet.Run(kStepInterval);
  }

  void KillOne() {
    const int node = this->AnyNode();
    this->fleet.Kill(node);
    this->fleet.Run(kDownTime);
    this->fleet.Start(node, this->builds.at(node), false);
    this->fleet.AwaitReady(node);
    this->RunUndisturbed();
  }

  void PauseOne() {
    const int node = this->AnyNode();
    this->fleet.Pause(node);
    this->fleet.Run(kPauseTime);
    this->fleet.Resume(node);
    this->RunUndisturbed();
  }

  void WithdrawOne() {
    const int zone = static_cast<int>(this->Random().Index(MixedFleet::kZones));
    this->fleet.Withdraw(zone, true);
    this->fleet.Run(FleetJournal::kEvacuation + kExtraWithdrawal);
    this->fleet.Withdraw(zone, false);
    this->RunUndisturbed();
  }

  MixedFleet fleet;
  Build before;
  Build after;
  std::map<int, Build> builds;
};

/*! @brief Upgrades from an earlier build to the new one and rolls back. */
void CheckUpgrade(int net, const std::string &commit,
                  const std::set<std::string> &builds_without_withdrawal) {
  const Build landed = support::LandedBuild(commit);
  INFO("needs scripts/build_version.sh " << commit);
  REQUIRE(std::filesystem::exists(landed.program));
  for (const std::uint64_t seed : support::Seeds(1)) {
    WARN("seed " << seed);
    Replacement run{net, seed, landed, support::NewBuild(),
                    builds_without_withdrawal};
    run.Begin();
    run.ReplaceByService(support::NewBuild(), [&run] { run.Disturb(); });
    run.ReplaceByTurns(landed, [&run] { run.ChangeConfig(); });
    INFO("seed " << seed << ", " << run.Calls() << " calls");
    run.CheckCrossings();
    const std::string report = run.Report();
    CHECK(report == "");
  }
}

}  // namespace

TEST_CASE(
    "mixed builds: an upgrade from 33161f2 and its rollback keep all rules") {
  // That build does not support withdrawn zones.
  CheckUpgrade(1, "33161f2", {"33161f2"});
}

TEST_CASE(
    "mixed builds: an upgrade from 0e01c9f and its rollback keep all rules") {
  CheckUpgrade(2, "0e01c9f", {});
}

TEST_CASE(
    "mixed builds: an upgrade from 4278493 and its rollback keep all rules") {
  CheckUpgrade(3, "4278493", {});
}
