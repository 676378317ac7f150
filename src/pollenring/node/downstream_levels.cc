#include "pollenring/node/downstream_levels.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenring {
namespace {

/*! @brief Interval of the removal of unused entries. Call paths that no reply
 * confirms are removed as well: a route whose path has changed is then tried
 * again although all its root requests were refused. */
constexpr Duration kSweepPeriod = std::chrono::seconds{10};
/*! @brief Requests after which all earlier ones are halved; a service that
 * begins to shed then counts as on the call path after two of them. */
constexpr double kHalvingRequests = 20;
/*! @brief Fraction of a route's replies that must report a service for it to be
 * on the call path. Each node only estimates which routes make calls: a smaller
 * fraction can come from a few wrong estimates. */
constexpr double kMinReportedFraction = 0.4;
/*! @brief Own requests of a route from which reports of others are ignored. */
constexpr double kMinOwnRequests = 5;
/*! @brief Weight of a new report relative to earlier ones. */
constexpr double kReportWeight = 0.2;
/*! @brief Value of the first report: sufficient to act on until others
 * disagree. */
constexpr double kFirstReportValue = 0.5;
/*! @brief Time after which a report that is not repeated expires. */
constexpr Duration kReportLifetime = std::chrono::seconds{3};

}  // namespace

const std::string &DownstreamLevels::ScopeOf(
    const std::string &workspace) const noexcept {
  static const std::string all;
  return this->options.per_workspace ? workspace : all;
}

void DownstreamLevels::Learn(const std::string &workspace,
                             const std::string &route,
                             const std::vector<AdmissionLevel> &levels) {
  this->RecordLevels(workspace, levels);
  this->RecordCompleted(route);
  this->RecordCallPath(route, levels);
}

void DownstreamLevels::LearnFromSubCall(
    const std::string &workspace, const std::string &route,
    const std::vector<AdmissionLevel> &levels) {
  this->RecordLevels(workspace, levels);
  this->RecordCallPath(route, levels);
}

void DownstreamLevels::RecordCompleted(const std::string &route) {
  const auto found = this->call_paths.find(route);
  if (found == this->call_paths.end()) return;
  CallPath &call_path = found->second;
  call_path.last_used = this->clock.Now();
  call_path.requests += 1;
  if (call_path.requests <= kHalvingRequests) return;
  call_path.requests /= 2;
  for (auto &[service, count] : call_path.hits) count /= 2;
}

void DownstreamLevels::RecordCallPath(
    const std::string &route, const std::vector<AdmissionLevel> &levels) {
  for (const auto &entry : levels) {
    if (!entry.on_call_path || entry.level_milli <= 0) continue;
    CallPath &call_path = this->call_paths[route];
    call_path.last_used = this->clock.Now();
    call_path.hits[entry.service] += 1;
  }
}

void DownstreamLevels::RecordLevels(const std::string &workspace,
                                    const std::vector<AdmissionLevel> &levels) {
  const Time now = this->clock.Now();
  if (now - this->last_sweep >= kSweepPeriod) this->RemoveUnused();
  for (const auto &entry : levels) {
    const Time measured = now - std::chrono::milliseconds{entry.age_ms};
    Services &services = this->scopes[this->ScopeOf(workspace)];
    const auto found = services.find(entry.service);
    // Zero matters only for a service of which other levels are known.
    if (found == services.end() && entry.level_milli <= 0) continue;
    NodeLevel &known = services[entry.service][entry.node];
    if (measured <= known.measured) continue;
    known = {entry.level_milli / kLevelScale, entry.per_second, measured};
  }
}

bool DownstreamLevels::Stale(const NodeLevel &known) const noexcept {
  return this->clock.Now() - known.measured > this->options.lifetime;
}

bool DownstreamLevels::Sheds(const Service &service) const noexcept {
  return std::any_of(service.begin(), service.end(), [this](const auto &entry) {
    return entry.second.level > 0 && !this->Stale(entry.second);
  });
}

CallPathLevel DownstreamLevels::MeanOf(const Service &service) const noexcept {
  CallPathLevel mean;
  mean.age = this->options.lifetime;
  // Weighted by call rate: a nearly idle target says little about where most
  // calls are handled.
  double weights = 0;
  for (const auto &[node, known] : service) {
    if (this->Stale(known)) continue;
    const double weight = 1 + known.per_second;
    mean.level += known.level * weight;
    mean.age = std::min(mean.age, this->clock.Now() - known.measured);
    weights += weight;
  }
  if (weights > 0) mean.level /= weights;
  return mean;
}

bool DownstreamLevels::Observed(const CallPath &call_path,
                                const std::string &service) {
  const auto found = call_path.hits.find(service);
  return found != call_path.hits.end() &&
         found->second >= kMinReportedFraction * call_path.requests;
}

bool DownstreamLevels::IsOnCallPath(const CallPath &call_path,
                                    const std::string &service) const {
  if (Observed(call_path, service)) return true;
  if (call_path.requests >= kMinOwnRequests) return false;
  const auto reported = call_path.peer_reports.find(service);
  if (reported == call_path.peer_reports.end()) return false;
  const bool recent =
      this->clock.Now() - reported->second.last_report <= kReportLifetime;
  return recent && reported->second.fraction >= kMinReportedFraction;
}

std::vector<CallPathReport> DownstreamLevels::CallPathReports(
    std::size_t max_count) const {
  std::vector<CallPathReport> call_path_reports;
  const auto scope = this->scopes.find(this->ScopeOf({}));
  if (scope == this->scopes.end()) return call_path_reports;
  for (const auto &[service, levels] : scope->second) {
    if (!this->Sheds(levels)) continue;
    for (const auto &[route, call_path] : this->call_paths) {
      const bool seen =
          call_path.requests >= 1 || call_path.hits.count(service) > 0;
      if (!seen) continue;
      if (call_path_reports.size() >= max_count) return call_path_reports;
      call_path_reports.push_back(
          {route, service, Observed(call_path, service)});
    }
  }
  return call_path_reports;
}

void DownstreamLevels::LearnCallPathReports(
    const std::vector<CallPathReport> &call_path_reports) {
  const Time now = this->clock.Now();
  for (const auto &report : call_path_reports) {
    const auto known = this->call_paths.find(report.route);
    if (known == this->call_paths.end() && !report.on_call_path) continue;
    CallPath &call_path = this->call_paths[report.route];
    if (call_path.last_used == Time{}) call_path.last_used = now;
    const auto [reported, inserted] =
        call_path.peer_reports.try_emplace(report.service);
    if (inserted || now - reported->second.last_report > kReportLifetime) {
      reported->second.fraction = report.on_call_path ? kFirstReportValue : 0;
    } else {
      const double value = report.on_call_path ? 1 : 0;
      reported->second.fraction +=
          kReportWeight * (value - reported->second.fraction);
    }
    reported->second.last_report = now;
  }
}

std::vector<AdmissionLevel> DownstreamLevels::Shedding(
    const std::string &workspace, const std::string &route,
    std::size_t max_count) const {
  std::vector<AdmissionLevel> levels;
  const auto scope = this->scopes.find(this->ScopeOf(workspace));
  if (scope == this->scopes.end()) return levels;
  const Time now = this->clock.Now();
  const auto call_path = this->call_paths.find(route);
  for (const auto &[name, service] : scope->second) {
    if (!this->Sheds(service)) continue;
    // Own observations only; reports of others would echo back as evidence.
    const bool on_call_path = call_path != this->call_paths.end() &&
                              Observed(call_path->second, name);
    for (const auto &[node, known] : service) {
      if (this->Stale(known)) continue;
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - known.measured);
      levels.push_back({name, node,
                        static_cast<std::int32_t>(known.level * kLevelScale),
                        known.per_second,
                        static_cast<std::int32_t>(age.count()), on_call_path});
    }
  }
  if (levels.size() <= max_count) return levels;
  std::stable_partition(levels.begin(), levels.end(),
                        [](const auto &entry) { return entry.on_call_path; });
  levels.resize(max_count);
  return levels;
}

CallPathLevel DownstreamLevels::HighestOnCallPath(
    const std::string &workspace, const std::string &route) const {
  CallPathLevel highest;
  const auto call_path = this->call_paths.find(route);
  if (call_path == this->call_paths.end()) return highest;
  const auto scope = this->scopes.find(this->ScopeOf(workspace));
  if (scope == this->scopes.end()) return highest;
  for (const auto &[name, service] : scope->second) {
    if (!this->IsOnCallPath(call_path->second, name)) continue;
    CallPathLevel mean = this->MeanOf(service);
    if (mean.level <= highest.level) continue;
    highest = std::move(mean);
    highest.service = name;
  }
  return highest;
}

void DownstreamLevels::RemoveUnused() {
  this->last_sweep = this->clock.Now();
  for (auto call_path = this->call_paths.begin();
       call_path != this->call_paths.end();) {
    const bool unused =
        this->last_sweep - call_path->second.last_used > kSweepPeriod;
    call_path =
        unused ? this->call_paths.erase(call_path) : std::next(call_path);
  }
  for (auto scope = this->scopes.begin(); scope != this->scopes.end();) {
    Services &services = scope->second;
    for (auto it = services.begin(); it != services.end();) {
      it = this->Sheds(it->second) ? std::next(it) : services.erase(it);
    }
    scope = services.empty() ? this->scopes.erase(scope) : std::next(scope);
  }
}

}  // namespace pollenring
