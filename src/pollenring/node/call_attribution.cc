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
constexpr double kFewCalls = 30;
/*! @brief Calls per second from which the target itself is assumed to be the
 * caller. */
constexpr double kFrequent = 3;
constexpr double kFrequentMemorySeconds = 1;
/*! @brief Fraction of the early calls during which a caller must be running. */
constexpr double kMostlyPresent = 0.5;
/*! @brief Calls after which all earlier ones are halved. */
constexpr double kRemembered = 4000;
/*! @brief Weight of one window in the mean of running requests. */
constexpr double kMeanWeight = 0.2;
/*! @brief Lower bound of the mean, as weights are divided by it. */
constexpr double kLeastMean = 0.01;
/*! @brief Time after which unused kinds and callees are removed. */
constexpr Duration kIdleExpiry = std::chrono::minutes{1};

}  // namespace

CallAttribution::CallAttribution(Time now) noexcept
    : window_start{now}, window{kFirstWindow} {}

void CallAttribution::Count(Kind &kind, int change, Time now) {
  const double held = std::chrono::duration<double>{now - kind.since}.count();
  kind.seconds += held * kind.running;
  kind.running = std::max(0, kind.running + change);
  kind.since = now;
  kind.used = now;
}

void CallAttribution::Begin(const std::string &kind, Time now) {
  if (now - this->window_start >= this->window) this->CloseWindow(now);
  Kind &entry = this->kinds[kind];
  if (entry.used == Time{}) entry.since = now;
  Count(entry, 1, now);
}

void CallAttribution::End(const std::string &kind, Time now) {
  const auto found = this->kinds.find(kind);
  if (found != this->kinds.end()) Count(found->second, -1, now);
}

void CallAttribution::Called(const std::string &callee, Time now) {
  if (now - this->window_start >= this->window) this->CloseWindow(now);
  Callee &entry = this->callees[callee];
  const double pause = std::chrono::duration<double>{now - entry.used}.count();
  entry.frequent =
      entry.frequent * std::exp(-pause / kFrequentMemorySeconds) + 1;
  entry.calls += 1;
  entry.used = now;
  const bool early = entry.all_calls < kFewCalls;
  if (early) entry.total += 1;
  for (const auto &[name, kind] : this->kinds) {
    if (kind.running <= 0) continue;
    entry.seen[name] += kind.running;
    if (early) entry.present[name] += 1;
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
    if (kind.running > 0) Count(kind, 0, now);
    const double mean = kind.seconds / seconds;
    means[name] = mean;
    kind.mean += kMeanWeight * (mean - kind.mean);
    kind.seconds = 0;
    kind.since = now;
    if (now - kind.used <= kIdleExpiry) {
      ++it;
      continue;
    }
    for (auto &[callee, seen] : this->callees) seen.excess.erase(name);
    it = this->kinds.erase(it);
  }
  for (auto it = this->callees.begin(); it != this->callees.end();) {
    const bool forgotten = now - it->second.used > kIdleExpiry;
    it = forgotten ? this->callees.erase(it) : std::next(it);
  }
  for (auto &[name, callee] : this->callees) {
    if (callee.calls <= 0) continue;
    for (const auto &[kind, mean] : means) {
      callee.excess[kind] += callee.seen[kind] - callee.calls * mean;
    }
    callee.all_calls += callee.calls;
    callee.calls = 0;
    callee.seen.clear();
    if (callee.all_calls <= kRemembered) continue;
    callee.all_calls /= 2;
    for (auto &[kind, excess] : callee.excess) excess /= 2;
  }
}

const CallAttribution::Callee *CallAttribution::Known(
    const std::string &callee) const {
  const auto found = this->callees.find(callee);
  if (found == this->callees.end()) return nullptr;
  return found->second.all_calls < kFewCalls ? nullptr : &found->second;
}

double CallAttribution::SumOf(const Callee &callee) noexcept {
  double sum = 0;
  for (const auto &[name, excess] : callee.excess) {
    sum += std::max(0.0, excess);
  }
  return sum;
}

std::optional<double> CallAttribution::ShareOf(
    const std::string &kind, const std::string &callee) const {
  const Callee *known = this->Known(callee);
  if (known == nullptr) return std::nullopt;
  const auto own = known->excess.find(kind);
  // Load swings raise the excess of every kind alike, so the result is relative
  // to their sum.
  const double sum = SumOf(*known);
  if (own == known->excess.end() || sum <= 0) return 0.0;
  return std::max(0.0, own->second) / sum;
}

std::vector<std::string> CallAttribution::CallersOf(const std::string &callee,
                                                    double least) const {
  std::vector<std::string> callers;
  const Callee *known = this->Known(callee);
  if (known == nullptr) return this->EarlyCallersOf(callee);
  const double sum = SumOf(*known);
  if (sum <= 0) return callers;
  for (const auto &[name, excess] : known->excess) {
    if (excess >= least * sum) callers.push_back(name);
  }
  return callers;
}

std::vector<std::string> CallAttribution::EarlyCallersOf(
    const std::string &callee) const {
  std::vector<std::string> callers;
  const auto found = this->callees.find(callee);
  if (found == this->callees.end()) return callers;
  const Callee &entry = found->second;
  if (entry.frequent < kFrequent) return callers;
  for (const auto &[name, calls] : entry.present) {
    if (calls >= kMostlyPresent * entry.total) callers.push_back(name);
  }
  return callers;
}

double CallAttribution::MeanRunning(const std::string &kind) const {
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) return kLeastMean;
  return std::max(kLeastMean, found->second.mean);
}

}  // namespace pollenring
