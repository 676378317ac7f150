#include "pollenring/admission/completion_chance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace pollenring {
namespace {

/*! @brief Fraction below which a service counts as working: single failures
 * and the refusals of a full target stay below it. */
constexpr double kMinFraction = 0.1;
/*! @brief Recent calls and failures needed; a handful of failures says little.
 */
constexpr double kMinSamples = 20;
constexpr double kMinFailures = 10;
/*! @brief Chance below which a root is refused. */
constexpr double kMinChance = 0.1;
/*! @brief Retries of a call assumed where callers retry; the mean number until
 * success is 1.2 where 0.55 of the calls fail. */
constexpr int kRetriesCounted = 3;
/*! @brief Fraction of the roots without a chance that are admitted as trials.
 */
constexpr double kTrialFraction = 0.02;
/*! @brief Time after which a node admits a trial of a route in any case. */
constexpr Duration kTrialInterval = std::chrono::seconds{5};
/*! @brief Time after which a report that is not renewed expires. */
constexpr Duration kReportLifetime = std::chrono::milliseconds{750};
/*! @brief Pause in refusals after which they count as ended. */
constexpr Duration kRefusalPause = std::chrono::seconds{1};
/*! @brief Weight of a new report of calls relative to earlier ones. */
constexpr double kCallsWeight = 0.2;
/*! @brief One of this number of replies reports services that work. */
constexpr unsigned kHealthyInterval = 16;
constexpr Duration kSweepPeriod = std::chrono::seconds{10};
/*! @brief Time after which unused routes are removed; long, since the calls of
 * a route can only be learned while its roots are admitted. */
constexpr Duration kPathLifetime = std::chrono::minutes{10};

[[nodiscard]] std::int32_t ToMilli(double value) noexcept {
  return static_cast<std::int32_t>(std::lround(value * kFailureScale));
}

}  // namespace

void CompletionChance::RecordResult(const std::string &service, bool failed) {
  this->local[service].Record(failed, this->clock.Now());
}

void CompletionChance::SetCallees(const std::string &route,
                                  std::vector<CalleeCalls> callees) {
  this->callees[route] = std::move(callees);
}

void CompletionChance::SetRetriedFrom(const std::string &service,
                                      double priority) {
  Service &known = this->services[service];
  known.retried_from = priority;
  known.retried_from_at = this->clock.Now();
}

void CompletionChance::Learn(const std::string &route,
                             const std::string &service,
                             const std::vector<ServiceFailure> &reports) {
  const Time now = this->clock.Now();
  if (now - this->last_sweep >= kSweepPeriod) this->RemoveUnused(now);
  for (const auto &report : reports) {
    this->LearnService(report, now);
    this->LearnCalls(route, service, report);
  }
}

void CompletionChance::LearnService(const ServiceFailure &report, Time now) {
  Service &known = this->services[report.service];
  const Time at = now - std::chrono::milliseconds{std::max(0, report.age_ms)};
  const double fraction =
      std::clamp(report.failed_milli / kFailureScale, 0.0, 1.0);
  const Measured measured{fraction, std::max(0.0, 1.0 * report.samples), at};
  if (report.target != 0) {
    known.targets[report.target] = measured;
    known.makes_no_calls = report.makes_no_calls;
  } else if (at > known.forwarded.at) {
    known.forwarded = measured;
  }
  if (report.retried_from_milli < 0 || at <= known.retried_from_at) return;
  known.retried_from = report.retried_from_milli / kFailureScale;
  known.retried_from_at = at;
}

void CompletionChance::LearnCalls(const std::string &route,
                                  const std::string &service,
                                  const ServiceFailure &report) {
  const bool own = report.service == service;
  if (report.calls_milli < 0 && !own) return;
  const double calls =
      std::max(0, report.calls_milli) / kFailureScale + (own ? 1 : 0);
  Path &path = this->paths[route];
  path.last_used = this->clock.Now();
  const auto [found, inserted] = path.calls.try_emplace(report.service, calls);
  if (!inserted) found->second += kCallsWeight * (calls - found->second);
}

CompletionChance::Measured CompletionChance::Combine(
    const Service &service) const {
  const Time now = this->clock.Now();
  Measured all;
  Duration age{};
  for (const auto &[target, measured] : service.targets) {
    if (now - measured.at > kReportLifetime) continue;
    const double samples = all.samples + measured.samples;
    if (samples <= 0) continue;
    all.fraction +=
        (measured.fraction - all.fraction) * measured.samples / samples;
    age += Duration{static_cast<std::int64_t>(
        static_cast<double>((now - measured.at - age).count()) *
        measured.samples / samples)};
    all.samples = samples;
  }
  all.at = now - age;
  if (all.samples > 0) return all;
  const bool expired = now - service.forwarded.at > kReportLifetime;
  return expired ? Measured{} : service.forwarded;
}

bool CompletionChance::Fails(const Measured &measured) const noexcept {
  return measured.fraction >= kMinFraction && measured.samples >= kMinSamples &&
         measured.fraction * measured.samples >= kMinFailures;
}

bool CompletionChance::AnyFailing() const {
  return std::any_of(this->services.begin(), this->services.end(),
                     [this](const auto &entry) {
                       return this->Fails(this->Combine(entry.second));
                     });
}

std::optional<double> CompletionChance::CallsOf(
    const std::string &route, const std::string &service) const {
  const auto path = this->paths.find(route);
  if (path == this->paths.end()) return std::nullopt;
  const auto found = path->second.calls.find(service);
  if (found == path->second.calls.end()) return std::nullopt;
  return found->second;
}

std::vector<ServiceFailure> CompletionChance::Reports(
    const std::string &service, const std::string &route,
    std::size_t max_count) {
  if (!this->reports) return {};
  const bool healthy_too = ++this->replies % kHealthyInterval == 0;
  const Time now = this->clock.Now();
  std::vector<ServiceFailure> reports;
  const auto measured_here = this->local.find(service);
  if (measured_here != this->local.end()) {
    const double fraction = measured_here->second.Fraction();
    // The end of a failure is reported as fast as its beginning.
    if (healthy_too || fraction > kMinFraction / kHealthyInterval) {
      ServiceFailure own;
      own.failed_milli = ToMilli(fraction);
      own.samples = static_cast<std::int32_t>(
          std::lround(measured_here->second.Samples(now)));
      own.calls_milli = 0;
      own.makes_no_calls = this->makes_no_calls;
      reports.push_back(std::move(own));
    }
  }
  const auto callees = this->callees.find(route);
  for (const auto &[name, known] : this->services) {
    if (name == service) continue;
    const Measured measured = this->Combine(known);
    if (measured.samples <= 0) continue;
    const bool fails = this->Fails(measured);
    if (!fails && !healthy_too) continue;
    ServiceFailure report;
    report.service = name;
    report.failed_milli = ToMilli(measured.fraction);
    report.samples = static_cast<std::int32_t>(std::lround(measured.samples));
    report.age_ms = static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - measured.at)
            .count());
    const bool fresh = now - known.retried_from_at <= kReportLifetime;
    if (fresh && known.retried_from >= 0) {
      report.retried_from_milli = ToMilli(known.retried_from);
    }
    if (callees != this->callees.end()) {
      double calls = 0;
      for (const auto &entry : callees->second) {
        calls += entry.calls * this->CallsOf(entry.callee, name).value_or(0);
      }
      report.calls_milli = ToMilli(calls);
    }
    const bool first = fails && reports.size() >= max_count;
    if (reports.size() < max_count) {
      reports.push_back(std::move(report));
    } else if (first) {
      reports.back() = std::move(report);
    }
  }
  return reports;
}

double CompletionChance::SuccessOf(const Service &service,
                                   const Measured &measured,
                                   double priority) const noexcept {
  const bool fresh =
      this->clock.Now() - service.retried_from_at <= kReportLifetime;
  const bool retried =
      fresh && service.retried_from >= 0 && priority >= service.retried_from;
  return 1 - std::pow(measured.fraction, retried ? 1 + kRetriesCounted : 1);
}

RootChance CompletionChance::ChanceOf(const std::string &route,
                                      double priority) const {
  RootChance root;
  const auto path = this->paths.find(route);
  if (path == this->paths.end()) return root;
  double lowest = 1;
  for (const auto &[name, calls] : path->second.calls) {
    const auto service = this->services.find(name);
    if (service == this->services.end()) continue;
    const Measured measured = this->Combine(service->second);
    if (!this->Fails(measured)) continue;
    const double success =
        std::pow(this->SuccessOf(service->second, measured, priority), calls);
    root.chance *= success;
    if (success >= lowest) continue;
    lowest = success;
    root.service = name;
    root.age = this->clock.Now() - measured.at;
  }
  return root;
}

ChanceDecision CompletionChance::Decide(const std::string &route,
                                        double priority, Random &random) {
  ChanceDecision decision;
  decision.root = this->ChanceOf(route, priority);
  const auto known = this->refusing.find(route);
  const Time now = this->clock.Now();
  if (decision.root.chance >= kMinChance) {
    const bool over = known != this->refusing.end() && known->second.active &&
                      now - known->second.last > kRefusalPause;
    if (over) this->EndRefusal(route, known->second);
    return decision;
  }
  Refusing &state = this->refusing[route];
  if (!state.active) {
    state = {now, now, now, 0, decision.root, true};
    this->changes.push_back(
        {route, decision.root.service, true, decision.root.chance, 0});
  }
  state.last = now;
  decision.refused_for = now - state.since;
  decision.trial =
      now - state.last_trial > kTrialInterval || random.Chance(kTrialFraction);
  decision.refuse = !decision.trial;
  if (decision.trial) state.last_trial = now;
  if (decision.refuse) ++state.refused;
  return decision;
}

void CompletionChance::EndRefusal(const std::string &route,
                                  Refusing &refusing) {
  refusing.active = false;
  this->changes.push_back({route, refusing.root.service, false,
                           refusing.root.chance, refusing.refused});
}

std::vector<ChanceChange> CompletionChance::TakeChanges() {
  return std::exchange(this->changes, {});
}

void CompletionChance::RemoveUnused(Time now) {
  this->last_sweep = now;
  for (auto it = this->paths.begin(); it != this->paths.end();) {
    const bool unused = now - it->second.last_used > kPathLifetime;
    it = unused ? this->paths.erase(it) : std::next(it);
  }
  for (auto it = this->refusing.begin(); it != this->refusing.end();) {
    const bool over = now - it->second.last > kSweepPeriod;
    if (over && it->second.active) this->EndRefusal(it->first, it->second);
    it = over ? this->refusing.erase(it) : std::next(it);
  }
  for (auto &[name, service] : this->services) {
    for (auto it = service.targets.begin(); it != service.targets.end();) {
      const bool expired = now - it->second.at > kReportLifetime;
      it = expired ? service.targets.erase(it) : std::next(it);
    }
  }
}

}  // namespace pollenring
