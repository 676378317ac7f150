// Replay of many nodes that place calls on unequal targets, without a network.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/admission.h"
#include "pollenring/core/hash.h"
#include "pollenring/routing/router.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Admission;
using pollenring::CallVerdict;
using pollenring::Duration;
using pollenring::LoadReport;
using pollenring::ManualClock;
using pollenring::NodeId;
using pollenring::Router;
using pollenring::SeededRandom;
using pollenring::Time;

constexpr int kNodes = 88;
constexpr std::uint32_t kSlots = 60;
constexpr double kWorkMs = 48;
constexpr Duration kObjective = 300ms;
constexpr Duration kDeadline = 700ms;

enum class Policy { kPlacement, kToday, kWeights };

struct Scenario {
  Policy policy{Policy::kPlacement};
  double exponent{1}; /*!< Weights are speed to this power. */
  double load{0.7};   /*!< Of the slots below the knee. */
  bool noise{};
  Duration report_age{};         /*!< Minimum time between two reports. */
  std::optional<int> misreports; /*!< Target whose slowness is false. */
  std::uint64_t seed{7};
};

struct Result {
  double goodput{}; /*!< Fraction that ends within the objective. */
  double p99_ms{};
  double beyond_knee{}; /*!< Fraction started there. */
  double far{};         /*!< Fraction sent to another zone. */
  std::vector<double> used = std::vector<double>(4);
};

/*! @brief Targets with real admission, nodes with real routers. */
class Replay {
 public:
  explicit Replay(const Scenario &scenario)
      : scenario{scenario}, random{scenario.seed} {
    pollenring::AdmissionOptions options;
    options.limit.fixed = true;
    options.order = pollenring::QueueOrder::kSoftDeadline;
    pollenring::RouterOptions routing;
    routing.order = pollenring::LoadBalancingPolicy::kLeastLatency;
    for (int i = 0; i < 4; ++i) {
      this->targets.push_back(
          std::make_unique<Admission>(kSlots, options, this->clock));
    }
    for (int i = 0; i < kNodes; ++i) {
      this->routers.push_back(std::make_unique<Router>(
          kZones[i % 3], "r", routing, this->clock, this->random));
      // Nodes get their reports at different times.
      const double phase = this->random.Fraction();
      this->reported.emplace_back(
          4,
          this->clock.Now() -
              Duration{static_cast<std::int64_t>(
                  phase * static_cast<double>(scenario.report_age.count()))});
      for (NodeId id = 0; id < 4; ++id) {
        pollenring::Member member;
        member.id = id + 1;
        member.zone = kZones[id % 3];
        member.region = "r";
        member.targets = {{"s", kSlots, pollenring::TargetState::kWarm}};
        this->routers.back()->Update(member);
      }
    }
  }

  Result Run() {
    const double rate = this->scenario.load * 0.95 * 4 * kSlots / kWorkMs;
    const Time start = this->clock.Now();
    const Time measured = start + 4s;
    const Time end = start + 12s;
    this->lies_from = start + 3s;
    Time next = start;
    while (next < end) {
      while (!this->ends.empty() && this->ends.top().first <= next) {
        const auto [at, id] = this->ends.top();
        this->ends.pop();
        this->clock.Advance(at - this->clock.Now());
        this->Complete(id);
      }
      this->clock.Advance(next - this->clock.Now());
      this->measuring = next >= measured;
      this->Arrive();
      const double gap_ms = -std::log(1 - this->random.Fraction()) / rate;
      next += Duration{static_cast<std::int64_t>(gap_ms * 1000) + 1};
    }
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto count = static_cast<double>(this->latencies.size());
    const auto good =
        std::upper_bound(this->latencies.begin(), this->latencies.end(), 300.0);
    Result result = this->result;
    result.goodput =
        static_cast<double>(good - this->latencies.begin()) / count;
    result.p99_ms = this->latencies[static_cast<std::size_t>(count * 0.99)];
    result.beyond_knee /= count;
    result.far /= count;
    for (double &used : result.used) used /= count * kSlots;
    return result;
  }

 private:
  static constexpr const char *kZones[] = {"a", "b", "c"};
  static constexpr double kSpeeds[] = {0.5, 1, 1, 1.5};
  /*! @brief Stands for a refused call. */
  static constexpr double kRefusedMs = 1000;

  struct Request {
    int node;
    int target;
    Time arrived;
    bool heavy;
    bool measured;
    bool done{};
  };

  [[nodiscard]] static std::string KindOf(const Request &request) {
    return request.heavy ? "heavy" : "light";
  }

  [[nodiscard]] bool Noisy(int target) const {
    const auto period = static_cast<std::uint64_t>(this->clock.Now() / 600ms);
    return this->scenario.noise &&
           pollenring::HashNumber(period * 4 + target) % 100 < 15;
  }

  [[nodiscard]] double Slowness(int target) const {
    const auto running = static_cast<double>(this->targets[target]->Running());
    return (running >= 0.95 * kSlots ? 1.3 : 1.0) *
           (this->Noisy(target) ? 2.5 : 1.0);
  }

  [[nodiscard]] int Choose(int node, const std::string &kind) {
    if (this->scenario.policy != Policy::kWeights) {
      const auto chosen =
          this->routers[node]->Choose("s", {}, {}, {kind, kObjective});
      return static_cast<int>(*chosen - 1);
    }
    double sum = 0;
    for (const double speed : kSpeeds)
      sum += std::pow(speed, this->scenario.exponent);
    double draw = this->random.Fraction() * sum;
    int target = 0;
    while (target < 3) {
      draw -= std::pow(kSpeeds[target], this->scenario.exponent);
      if (draw < 0) break;
      ++target;
    }
    return target;
  }

  void Arrive() {
    Request request{};
    request.node = static_cast<int>(this->random.Index(kNodes));
    request.heavy = this->random.Chance(1.0 / 3);
    request.target = this->Choose(request.node, KindOf(request));
    request.arrived = this->clock.Now();
    request.measured = this->measuring;
    const std::uint64_t id = ++this->last_id;
    this->requests[id] = request;
    this->routers[request.node]->Started("s", request.target + 1);
    if (request.measured && request.node % 3 != request.target % 3)
      ++this->result.far;
    pollenring::AdmissionRequest offered;
    offered.id = id;
    offered.deadline = request.arrived + kDeadline;
    offered.soft_deadline = request.arrived + kObjective;
    this->Perform(request.target,
                  this->targets[request.target]->Offer(offered));
  }

  void Perform(int target, const pollenring::AdmissionActions &actions) {
    for (const auto &shed : actions.shed) {
      const Request request = this->requests.at(shed.id);
      if (request.measured) this->latencies.push_back(kRefusedMs);
      this->Reply(request, CallVerdict::kShed, Duration{0});
      this->requests.erase(shed.id);
    }
    for (const auto id : actions.start) {
      const Request &request = this->requests.at(id);
      const double slowness = this->Slowness(target);
      if (request.measured &&
          this->targets[target]->Running() >= 0.95 * kSlots) {
        ++this->result.beyond_knee;
      }
      double work = 0;
      for (int i = 0; i < 4; ++i) work -= std::log(1 - this->random.Fraction());
      const double ms = work / 4 * (request.heavy ? 2 * kWorkMs : kWorkMs / 2) *
                        slowness / kSpeeds[target];
      this->ends.push({this->clock.Now() +
                           Duration{static_cast<std::int64_t>(ms * 1000) + 1},
                       id});
    }
  }

  void Complete(std::uint64_t id) {
    const Request request = this->requests.at(id);
    this->requests.erase(id);
    Admission &target = *this->targets[request.target];
    pollenring::TargetLoad load;
    load.running = static_cast<std::uint32_t>(target.Running());
    load.slots = kSlots;
    load.states_slowness = true;
    const bool lies = this->scenario.misreports == request.target &&
                      this->clock.Now() > this->lies_from;
    load.slowness =
        lies ? 20
             : static_cast<std::uint32_t>(100 * this->Slowness(request.target));
    target.RecordLoad(load);
    const auto next = target.Finish(id, {}, false, KindOf(request));
    const Duration took = this->clock.Now() - request.arrived;
    if (request.measured) {
      const bool far = request.node % 3 != request.target % 3;
      this->latencies.push_back(took / 1us / 1000.0 + (far ? 2.8 : 0));
      this->result.used[request.target] +=
          static_cast<double>(target.Running());
    }
    this->Reply(request, CallVerdict::kAnswered, took);
    this->Perform(request.target, next);
  }

  void Reply(const Request &request, CallVerdict verdict, Duration took) {
    std::optional<LoadReport> report;
    Time &last = this->reported[request.node][request.target];
    if (this->clock.Now() - last >= this->scenario.report_age) {
      last = this->clock.Now();
      report = this->targets[request.target]->Report(KindOf(request));
      if (this->scenario.policy == Policy::kToday) report->service_us = 0;
    }
    this->routers[request.node]->Finished("s", request.target + 1, verdict,
                                          report, took, KindOf(request));
  }

  using End = std::pair<Time, std::uint64_t>;

  Scenario scenario;
  ManualClock clock{1h};
  SeededRandom random;
  std::vector<std::unique_ptr<Admission>> targets;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::vector<Time>> reported;
  std::unordered_map<std::uint64_t, Request> requests;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<double> latencies;
  Result result;
  std::uint64_t last_id{};
  Time lies_from{};
  bool measuring{};
};

}  // namespace

namespace {

/*! @brief The best fixed weights among powers of the true speeds. */
[[nodiscard]] Result BestWeights(Scenario scenario) {
  scenario.policy = Policy::kWeights;
  Result best;
  for (const double exponent : {0.8, 1.0, 1.25, 1.5, 2.0, 3.0}) {
    scenario.exponent = exponent;
    const Result result = Replay{scenario}.Run();
    if (result.goodput > best.goodput) best = result;
  }
  return best;
}

void CheckAgainstWeights(const Scenario &scenario) {
  CAPTURE(scenario.load);
  const Result best = BestWeights(scenario);
  const Result result = Replay{scenario}.Run();
  CHECK(result.goodput >= 0.95 * best.goodput);
  CHECK(result.p99_ms <= 1.1 * best.p99_ms);
}

}  // namespace

// Guards against filling slow targets first, beyond their knee.
TEST_CASE("placement: as good as the best fixed weights without noise") {
  Scenario scenario;
  scenario.load = GENERATE(0.3, 0.6, 0.8, 0.97, 1.2);
  CheckAgainstWeights(scenario);
}

// Guards against following noise too late, and against trusting a report that
// measured times contradict.
TEST_CASE("placement: as good as the best fixed weights with noise") {
  Scenario scenario;
  scenario.noise = true;
  scenario.load = GENERATE(0.3, 0.6, 0.97);
  const bool misreports = GENERATE(false, true);
  if (misreports) scenario.misreports = 0;
  CheckAgainstWeights(scenario);
}

// Guards against herding on the target whose last report was the best.
TEST_CASE("placement: as good as the best fixed weights with old reports") {
  Scenario scenario;
  scenario.noise = true;
  scenario.report_age = 3s;
  scenario.load = GENERATE(0.3, 0.6, 0.97);
  CheckAgainstWeights(scenario);
}

// Guards against a lower goodput than by the policy that it replaces.
TEST_CASE("placement: no worse than by own response times") {
  Scenario scenario;
  scenario.noise = GENERATE(false, true);
  scenario.load = GENERATE(0.3, 0.6, 0.97);
  Scenario today = scenario;
  today.policy = Policy::kToday;
  CAPTURE(scenario.noise, scenario.load);
  const Result result = Replay{scenario}.Run();
  CHECK(result.goodput >= 0.95 * Replay{today}.Run().goodput);
  CHECK(result.beyond_knee < 0.05);
}
