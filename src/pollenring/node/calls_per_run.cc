#include "pollenring/node/calls_per_run.h"

#include <chrono>

namespace pollenring {
namespace {

constexpr Duration kWindow = std::chrono::seconds{1};
/*! @brief Fraction of the earlier windows' sums kept per window. */
constexpr double kRetention = 0.9;
/*! @brief Runs of a kind needed for its mean. */
constexpr double kMinRuns = 10;
/*! @brief Fraction of a callee's calls below which a kind makes none; estimates
 * from a few hundred calls err by half of it. */
constexpr double kMinCallerFraction = 0.1;
/*! @brief Time and runs without a call after which a target makes none. */
constexpr Duration kQuietTime = std::chrono::seconds{5};
constexpr double kQuietRuns = 100;

}  // namespace

void CallsPerRun::RecordRun(const std::string &kind) {
  this->runs_now[kind] += 1;
  this->all_runs += 1;
}

void CallsPerRun::RecordCall(const std::string &callee, Time now) {
  this->calls_now[callee] += 1;
  this->called = true;
  this->last_call = now;
  this->all_runs = 0;
}

bool CallsPerRun::Tick(const CallAttribution &attribution, bool failing,
                       Time now) {
  this->failed = this->failed || failing;
  if (now - this->window_start < kWindow) return false;
  this->window_start = now;
  const auto runs = std::exchange(this->runs_now, {});
  const auto calls = std::exchange(this->calls_now, {});
  if (std::exchange(this->failed, false)) return false;
  for (const auto &[name, count] : runs) {
    Kind &kind = this->kinds[name];
    kind.runs = kind.runs * kRetention + count;
    for (auto &[callee, sum] : kind.calls) sum *= kRetention;
    for (const auto &[callee, made] : calls) {
      const double fraction = attribution.FractionOf(name, callee).value_or(0);
      if (fraction < kMinCallerFraction) continue;
      kind.calls[callee] += made * fraction;
    }
  }
  return true;
}

std::vector<std::string> CallsPerRun::Kinds() const {
  std::vector<std::string> names;
  for (const auto &[name, kind] : this->kinds) {
    if (kind.runs >= kMinRuns) names.push_back(name);
  }
  return names;
}

std::vector<CalleeCalls> CallsPerRun::Of(const std::string &kind) const {
  std::vector<CalleeCalls> means;
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end()) return means;
  for (const auto &[callee, sum] : found->second.calls) {
    means.push_back({callee, sum / found->second.runs});
  }
  return means;
}

bool CallsPerRun::MakesNoCalls(Time now) const noexcept {
  const Time since = this->called ? this->last_call : this->started;
  return this->all_runs >= kQuietRuns && now - since >= kQuietTime;
}

}  // namespace pollenring
