#include "measures.h"

#include <algorithm>
#include <cmath>

namespace load {
namespace {

using Json = nlohmann::json;
using pollenring::Duration;
using pollenring::Time;

constexpr double kRecoveredPart = 0.95;
/*! @brief Bins over which goodput is averaged to detect recovery. */
constexpr std::size_t kRecoveryBins = 5;

[[nodiscard]] double Seconds(Duration span) {
  return std::chrono::duration<double>{span}.count();
}

}  // namespace

Measures::Measures(const Scenario &scenario) : scenario{scenario} {
  const auto bins = static_cast<std::size_t>(scenario.length / kBin) + 1;
  this->wanted_bins.resize(bins);
  this->whole_bins.resize(bins);
  for (const auto &caller : scenario.callers) {
    Workspace &workspace = this->workspaces[caller.workspace];
    workspace.rate = caller.rate;
    workspace.burst = caller.burst;
    workspace.demand += caller.demand;
    workspace.reference.level = caller.burst;
  }
}

bool Measures::InTrigger(Time at) const noexcept {
  return at >= this->scenario.trigger_from && at < this->scenario.trigger_to;
}

void Measures::Wanted(std::size_t caller, Time at) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.wanted;
  if (this->InTrigger(at)) ++workspace.wanted_in_trigger;
  const auto bin = static_cast<std::size_t>(at / kBin);
  if (bin < this->wanted_bins.size()) ++this->wanted_bins[bin];
}

bool Measures::TryLeaves(std::size_t caller, Time at) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.tries;
  Reference &reference = workspace.reference;
  const double refill = workspace.rate * Seconds(at - reference.at);
  reference.level = std::min(workspace.burst, reference.level + refill);
  reference.at = at;
  if (reference.level < 1) return false;
  reference.level -= 1;
  ++workspace.within;
  return true;
}

void Measures::TryEnded(std::size_t caller, Time left, bool within,
                        TryResult result, const std::string &reason) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  Window &window = workspace.windows[left / std::chrono::seconds{1}];
  if (within) ++window.within;
  const bool refused = result == TryResult::kRefusedRate;
  if (!refused) ++window.not_refused;
  if (refused && within) ++window.refused_within;
  if (result == TryResult::kWhole) return;
  ++this->reasons[reason.empty() ? "failed" : reason];
  if (within && result != TryResult::kFailed) ++workspace.refused_within;
}

std::uint64_t Measures::RefusedForRate(const Workspace &workspace) {
  // A workspace above its rate is rightly rejected in part; only the shortfall
  // below what its rate and burst allowed in that second counts as wrongful.
  std::uint64_t sum = 0;
  for (const auto &[second, window] : workspace.windows) {
    if (window.within <= window.not_refused) continue;
    sum += std::min(window.refused_within, window.within - window.not_refused);
  }
  return sum;
}

void Measures::Whole(std::size_t caller, Time at, Duration took) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.whole;
  if (this->InTrigger(at - took)) ++workspace.whole_in_trigger;
  const auto bin = static_cast<std::size_t>(at / kBin);
  if (bin < this->whole_bins.size()) ++this->whole_bins[bin];
  this->latencies_ms.push_back(Seconds(took) * 1000);
}

double Measures::GoodputBetween(Time from, Time to) const {
  const auto first = static_cast<std::size_t>(from / kBin);
  const auto last =
      std::min(static_cast<std::size_t>(to / kBin), this->whole_bins.size());
  if (first >= last) return 0;
  std::uint64_t sum = 0;
  for (std::size_t bin = first; bin < last; ++bin) sum += this->whole_bins[bin];
  return static_cast<double>(sum) /
         (static_cast<double>(last - first) * Seconds(kBin));
}

double Measures::Recovery() const {
  if (this->scenario.trigger_to == Duration{0}) return 0;
  const double before = this->GoodputBetween(std::chrono::seconds{1},
                                             this->scenario.trigger_from);
  const auto end = static_cast<std::size_t>(this->scenario.trigger_to / kBin);
  for (std::size_t bin = end; bin + kRecoveryBins < this->whole_bins.size();
       ++bin) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kRecoveryBins; ++i) {
      sum += this->whole_bins[bin + i];
    }
    const double rate = static_cast<double>(sum) /
                        (static_cast<double>(kRecoveryBins) * Seconds(kBin));
    if (rate < before * kRecoveredPart) continue;
    return static_cast<double>(bin - end) * Seconds(kBin);
  }
  return -1;
}

double Measures::WorstServed() const {
  const Duration length =
      this->scenario.trigger_to - this->scenario.trigger_from;
  if (length <= Duration{0}) return 1;
  double entitled = 0;
  const double seconds = Seconds(length);
  const auto claim = [seconds](const Workspace &workspace) {
    const double most = workspace.burst + workspace.rate * seconds;
    return std::min(most, static_cast<double>(workspace.wanted_in_trigger));
  };
  for (const auto &[name, workspace] : this->workspaces) {
    entitled += claim(workspace);
  }
  const double capacity = this->scenario.capacity * seconds;
  const double part =
      capacity > 0 && entitled > capacity ? capacity / entitled : 1;
  double worst = 1e9;
  for (const auto &[name, workspace] : this->workspaces) {
    const double due = claim(workspace) * part;
    if (due < 1) continue;
    worst =
        std::min(worst, static_cast<double>(workspace.whole_in_trigger) / due);
  }
  return worst;
}

double Measures::Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

Json Measures::Report() const {
  Json list = Json::object();
  std::uint64_t within = 0;
  std::uint64_t rate_refused = 0;
  std::uint64_t refused = 0;
  std::uint64_t wanted = 0;
  std::uint64_t whole = 0;
  for (const auto &[name, workspace] : this->workspaces) {
    within += workspace.within;
    rate_refused += RefusedForRate(workspace);
    refused += workspace.refused_within;
    wanted += workspace.wanted;
    whole += workspace.whole;
    Json seconds = Json::array();
    for (const auto &[second, window] : workspace.windows) {
      seconds.push_back(
          {window.within, window.not_refused, window.refused_within});
    }
    list[name] = {{"seconds", std::move(seconds)},
                  {"wanted", workspace.wanted},
                  {"whole", workspace.whole},
                  {"wanted_in_trigger", workspace.wanted_in_trigger},
                  {"whole_in_trigger", workspace.whole_in_trigger},
                  {"tries", workspace.tries},
                  {"tries_within_rate", workspace.within},
                  {"refused_within_rate", workspace.refused_within},
                  {"rate_refused_within_rate", RefusedForRate(workspace)}};
  }
  const double tries = std::max<double>(1, static_cast<double>(within));
  const Json timeline{{"bin_ms", kBin.count() / 1000},
                      {"wanted", this->wanted_bins},
                      {"whole", this->whole_bins}};
  return {
      {"wanted", wanted},
      {"whole", whole},
      {"goodput_before", this->GoodputBetween(std::chrono::seconds{1},
                                              this->scenario.trigger_from)},
      {"goodput_in_trigger", this->GoodputBetween(this->scenario.trigger_from,
                                                  this->scenario.trigger_to)},
      {"goodput_after",
       this->GoodputBetween(this->scenario.trigger_to, this->scenario.length)},
      {"recovery_s", this->Recovery()},
      {"worst_served", this->WorstServed()},
      {"rate_refused_within_part", static_cast<double>(rate_refused) / tries},
      {"refused_within_part", static_cast<double>(refused) / tries},
      {"latency_p50_ms", Quantile(this->latencies_ms, 0.5)},
      {"latency_p99_ms", Quantile(this->latencies_ms, 0.99)},
      {"reasons", this->reasons},
      {"workspaces", std::move(list)},
      {"timeline", timeline}};
}

}  // namespace load
