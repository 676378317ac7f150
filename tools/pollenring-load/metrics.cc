#include "metrics.h"

#include <algorithm>
#include <cmath>

namespace load {
namespace {

using Json = nlohmann::json;
using pollenring::Duration;
using pollenring::Time;

constexpr double kRecoveredFraction = 0.95;
/*! @brief Bins over which goodput is averaged to detect recovery. */
constexpr std::size_t kRecoveryBins = 5;

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>{duration}.count();
}

}  // namespace

Metrics::Metrics(const Scenario &scenario) : scenario{scenario} {
  const auto bins = static_cast<std::size_t>(scenario.length / kBin) + 1;
  this->requested_bins.resize(bins);
  this->succeeded_bins.resize(bins);
  for (const auto &caller : scenario.callers) {
    Workspace &workspace = this->workspaces[caller.workspace];
    workspace.rate = caller.rate;
    workspace.burst = caller.burst;
    workspace.demand += caller.demand;
    workspace.bucket.tokens = caller.burst;
  }
}

bool Metrics::InTrigger(Time at) const noexcept {
  return at >= this->scenario.trigger_from && at < this->scenario.trigger_to;
}

void Metrics::RecordRequest(std::size_t caller, Time at) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.requested;
  if (this->InTrigger(at)) ++workspace.requested_in_trigger;
  const auto bin = static_cast<std::size_t>(at / kBin);
  if (bin < this->requested_bins.size()) ++this->requested_bins[bin];
}

bool Metrics::RecordAttemptStart(std::size_t caller, Time at) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.attempts;
  TokenBucket &bucket = workspace.bucket;
  const double refill = workspace.rate * Seconds(at - bucket.at);
  bucket.tokens = std::min(workspace.burst, bucket.tokens + refill);
  bucket.at = at;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  ++workspace.within_rate;
  return true;
}

void Metrics::RecordAttemptEnd(std::size_t caller, Time sent_at,
                               bool within_rate, AttemptResult result,
                               const std::string &reason) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  Window &window = workspace.windows[sent_at / std::chrono::seconds{1}];
  if (within_rate) ++window.within_rate;
  const bool refused = result == AttemptResult::kRateLimited;
  if (!refused) ++window.not_refused;
  if (refused && within_rate) ++window.refused_within_rate;
  if (result == AttemptResult::kSucceeded) return;
  ++this->reasons[reason.empty() ? "failed" : reason];
  if (within_rate && result != AttemptResult::kFailed)
    ++workspace.refused_within_rate;
}

std::uint64_t Metrics::WrongfulRateRefusals(const Workspace &workspace) {
  // A workspace above its rate is rightly rejected in part; only the shortfall
  // below what its rate and burst allowed in that second counts as wrongful.
  std::uint64_t sum = 0;
  for (const auto &[second, window] : workspace.windows) {
    if (window.within_rate <= window.not_refused) continue;
    sum += std::min(window.refused_within_rate,
                    window.within_rate - window.not_refused);
  }
  return sum;
}

void Metrics::RecordSuccess(std::size_t caller, Time at, Duration latency) {
  Workspace &workspace =
      this->workspaces.at(this->scenario.callers[caller].workspace);
  ++workspace.succeeded;
  if (this->InTrigger(at - latency)) ++workspace.succeeded_in_trigger;
  const auto bin = static_cast<std::size_t>(at / kBin);
  if (bin < this->succeeded_bins.size()) ++this->succeeded_bins[bin];
  this->latencies_ms.push_back(Seconds(latency) * 1000);
}

double Metrics::GoodputBetween(Time from, Time to) const {
  const auto first = static_cast<std::size_t>(from / kBin);
  const auto last = std::min(static_cast<std::size_t>(to / kBin),
                             this->succeeded_bins.size());
  if (first >= last) return 0;
  std::uint64_t sum = 0;
  for (std::size_t bin = first; bin < last; ++bin)
    sum += this->succeeded_bins[bin];
  return static_cast<double>(sum) /
         (static_cast<double>(last - first) * Seconds(kBin));
}

double Metrics::RecoverySeconds() const {
  if (this->scenario.trigger_to == Duration{0}) return 0;
  const double before = this->GoodputBetween(std::chrono::seconds{1},
                                             this->scenario.trigger_from);
  const auto end = static_cast<std::size_t>(this->scenario.trigger_to / kBin);
  for (std::size_t bin = end; bin + kRecoveryBins < this->succeeded_bins.size();
       ++bin) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kRecoveryBins; ++i) {
      sum += this->succeeded_bins[bin + i];
    }
    const double rate = static_cast<double>(sum) /
                        (static_cast<double>(kRecoveryBins) * Seconds(kBin));
    if (rate < before * kRecoveredFraction) continue;
    return static_cast<double>(bin - end) * Seconds(kBin);
  }
  return -1;
}

double Metrics::WorstServedFraction() const {
  const Duration length =
      this->scenario.trigger_to - this->scenario.trigger_from;
  if (length <= Duration{0}) return 1;
  double total_entitlement = 0;
  const double seconds = Seconds(length);
  const auto entitlement_of = [seconds](const Workspace &workspace) {
    const double max_requests = workspace.burst + workspace.rate * seconds;
    return std::min(max_requests,
                    static_cast<double>(workspace.requested_in_trigger));
  };
  for (const auto &[name, workspace] : this->workspaces) {
    total_entitlement += entitlement_of(workspace);
  }
  const double capacity = this->scenario.capacity * seconds;
  const double scale = capacity > 0 && total_entitlement > capacity
                           ? capacity / total_entitlement
                           : 1;
  double worst = 1e9;
  for (const auto &[name, workspace] : this->workspaces) {
    const double entitlement = entitlement_of(workspace) * scale;
    if (entitlement < 1) continue;
    worst =
        std::min(worst, static_cast<double>(workspace.succeeded_in_trigger) /
                            entitlement);
  }
  return worst;
}

double Metrics::Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

Json Metrics::Report() const {
  Json list = Json::object();
  std::uint64_t within_rate = 0;
  std::uint64_t rate_refused = 0;
  std::uint64_t refused = 0;
  std::uint64_t requested = 0;
  std::uint64_t succeeded = 0;
  for (const auto &[name, workspace] : this->workspaces) {
    within_rate += workspace.within_rate;
    rate_refused += WrongfulRateRefusals(workspace);
    refused += workspace.refused_within_rate;
    requested += workspace.requested;
    succeeded += workspace.succeeded;
    Json seconds = Json::array();
    for (const auto &[second, window] : workspace.windows) {
      seconds.push_back(
          {window.within_rate, window.not_refused, window.refused_within_rate});
    }
    list[name] = {
        {"seconds", std::move(seconds)},
        {"wanted", workspace.requested},
        {"whole", workspace.succeeded},
        {"wanted_in_trigger", workspace.requested_in_trigger},
        {"whole_in_trigger", workspace.succeeded_in_trigger},
        {"tries", workspace.attempts},
        {"tries_within_rate", workspace.within_rate},
        {"refused_within_rate", workspace.refused_within_rate},
        {"rate_refused_within_rate", WrongfulRateRefusals(workspace)}};
  }
  const double attempts = std::max<double>(1, static_cast<double>(within_rate));
  const Json timeline{{"bin_ms", kBin.count() / 1000},
                      {"wanted", this->requested_bins},
                      {"whole", this->succeeded_bins}};
  return {
      {"wanted", requested},
      {"whole", succeeded},
      {"goodput_before", this->GoodputBetween(std::chrono::seconds{1},
                                              this->scenario.trigger_from)},
      {"goodput_in_trigger", this->GoodputBetween(this->scenario.trigger_from,
                                                  this->scenario.trigger_to)},
      {"goodput_after",
       this->GoodputBetween(this->scenario.trigger_to, this->scenario.length)},
      {"recovery_s", this->RecoverySeconds()},
      {"worst_served", this->WorstServedFraction()},
      {"rate_refused_within_part",
       static_cast<double>(rate_refused) / attempts},
      {"refused_within_part", static_cast<double>(refused) / attempts},
      {"latency_p50_ms", Quantile(this->latencies_ms, 0.5)},
      {"latency_p99_ms", Quantile(this->latencies_ms, 0.99)},
      {"reasons", this->reasons},
      {"workspaces", std::move(list)},
      {"timeline", timeline}};
}

}  // namespace load
