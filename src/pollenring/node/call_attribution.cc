#include "pollenring/node/call_attribution.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace pollenring {
namespace {

/*! @brief First window; short, for an estimate soon after a start. */
constexpr Duration kFirstWindow = std::chrono::milliseconds{200};
/*! @brief Later windows: long compared to a request, which raises the mean of
 * its own window, and short compared to load swings, which raise all counts. */
constexpr Duration kWindow = std::chrono::milliseconds{2500};
/*! @brief Calls needed for an estimate: with ten requests running, one more or
 * fewer is then noticeable. Others than the target may make a few calls. */
constexpr double kMinCalls = 30;
/*! @brief Calls per second from which the target itself is assumed to be the
 * caller. */
constexpr double kMinCallsPerSecond = 3;
constexpr double kRecentCallsDecaySeconds = 1;
/*! @brief Fraction of the early calls during which a caller must be running. */
constexpr double kMinPresence = 0.5;
/*! @brief Calls after which all earlier ones are halved. */
constexpr double kHalvingCalls = 4000;
/*! @brief Weight of one window in the mean of running requests. */
constexpr double kMeanSmoothing = 0.2;
/*! @brief Lower bound of the mean, as weights are divided by it. */
constexpr double kMinMean = 0.01;
/*! @brief Time after which unused kinds and callees are removed. */
constexpr Duration kIdleExpiry = std::chrono::minutes{1};

}  // namespace

CallAttribution::CallAttribution(Time now) noexcept
    : window_start{now}, window{kFirstWindow} {}

void CallAttribution::AddRunning(Kind &kind, int change, Time now) {
  const double elapsed =
      std::chrono::duration<double>{now - kind.since}.count();
  kind.running_seconds += elapsed * kind.running;
  kind.running = std::max(0, kind.running + change);
  kind.since = now;
  kind.last_used = now;
}

void CallAttribution::Begin(const std::string &kind, Time now) {
  if (now - this->window_start >= this->window) this->CloseWindow(now);
  Kind &entry = this->kinds[kind];
  if (entry.last_used == Time{}) entry.since = now;
  AddRunning(entry, 1, now);
}

void CallAttribution::End(const std::string &kind, Time now) {
  const auto found = this->kinds.find(kind);
  if (found != this->kinds.end()) AddRunning(found->second, -1, now);
}

void CallAttribution::RecordCall(const std::string &callee, Time now) {
  if (now - this->window_start >= this->window) this->CloseWindow(now);
  Callee &entry = this->callees[callee];
  const double idle =
      std::chrono::duration<double>{now - entry.last_used}.count();
  entry.recent_calls =
      entry.recent_calls * std::exp(-idle / kRecentCallsDecaySeconds) + 1;
  entry.calls += 1;
  entry.last_used = now;
  const bool early = entry.all_calls < kMinCalls;
  if (early) entry.early_calls += 1;
  for (const auto &[name, kind] : this->kinds) {
    if (kind.running <= 0) continue;
    entry.running_at_calls[name] += kind.running;
    if (early) entry.present_at_calls[name] += 1;
  }
}

void CallAttribution::CloseWindow(Time now) {
  const double seconds =
      std::chrono::duration<double>{now - this->window_start}.count();
  this->window_start = now;
  this->window = std::min(kWindow, this->window * 2);
  std::unordered_map<std::string, double> means;
  for (auto it = this->kinds.begin(); it != this->kinds.end();) {
    auto &[name, kind] = *it;
    if (kind.running > 0) AddRunning(kind, 0, now);
    const double mean = kind.running_seconds / seconds;
    means[name] = mean;
    kind.mean += kMeanSmoothing * (mean - kind.mean);
    kind.running_seconds = 0;
    kind.since = now;
    if (now - kind.last_used <= kIdleExpiry) {
      ++it;
      continue;
    }
    for (auto &[callee, entry] : this->callees) entry.excess.erase(name);
    it = this->kinds.erase(it);
  }
  for (auto it = this->callees.begin(); it != this->callees.end();) {
    const bool expired = now - it->second.last_used > kIdleExpiry;
    it = expired ? this->callees.erase(it) : std::next(it);
  }
  for (auto &[name, callee] : this->callees) {
    if (callee.calls <= 0) continue;
    for (const auto &[kind, mean] : means) {
      callee.excess[kind] +=
          callee.running_at_calls[kind] - callee.calls * mean;
    }
    callee.all_calls += callee.calls;
    callee.calls = 0;
    callee.running_at_calls.clear();
    if (callee.all_calls <= kHalvingCalls) continue;
    callee.all_calls /= 2;
    for (auto &[kind, excess] : callee.excess) excess /= 2;
  }
}

const CallAttribution::Callee *CallAttribution::FindMeasured(
    const std::string &callee) const {
  const auto found = this->callees.find(callee);
  if (found == this->callees.end()) return nullptr;
  return found->second.all_calls < kMinCalls ? nullptr : &found->second;
}

double CallAttribution::TotalExcess(const Callee &callee) noexcept {
  double sum = 0;
  for (const auto &[name, excess] : callee.excess) {
    sum += std::max(0.0, excess);
  }
  return sum;
}

std::optional<double> CallAttribution::FractionOf(
    const std::string &kind, const std::string &callee) const {
  const Callee *known = this->FindMeasured(callee);
  if (known == nullptr) return std::nullopt;
  const auto own = known->excess.find(kind);
  // Load swings raise the excess of every kind alike, so the result is relative
  // to their sum.
  const double sum = TotalExcess(*known);
  if (own == known->excess.end() || sum <= 0) return 0.0;
  return std::max(0.0, own->second) / sum;
}

std::vector<std::string> CallAttribution::CallersOf(const std::string &callee,
                                                    double min_fraction) const {
  std::vector<std::string> callers;
  const Callee *known = this->FindMeasured(callee);
  if (known == nullptr) return this->EarlyCallersOf(callee);
  const double sum = TotalExcess(*known);
  if (sum <= 0) return callers;
  for (const auto &[name, excess] : known->excess) {
    if (excess >= min_fraction * sum) callers.push_back(name);
  }
  return callers;
}

std::vector<std::string> CallAttribution::EarlyCallersOf(
    const std::string &callee) const {
  std::vector<std::string> callers;
  const auto found = this->callees.find(callee);
  if (found == this->callees.end()) return callers;
  const Callee &entry = found->second;
  if (entry.recent_calls < kMinCallsPerSecond) return callers;
  for (const auto &[name, calls] : entry.present_at_calls) {
    if (calls >= kMinPresence * entry.early_calls) callers.push_back(name);
  }
  return callers;
}

double CallAttribution::MeanRunning(const std::string &kind) const {
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) return kMinMean;
  return std::max(kMinMean, found->second.mean);
}

}  // namespace pollenring
