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
constexpr double kRemembered = 20;
/*! @brief Fraction of a route's replies that must report a service for it to be
 * on the call path. Each node only estimates which routes make calls: a smaller
 * fraction can come from a few wrong estimates. */
constexpr double kMeets = 0.4;
/*! @brief Own requests of a route from which reports of others are ignored. */
constexpr double kFewRequests = 5;
/*! @brief Weight of a new report relative to earlier ones. */
constexpr double kWordWeight = 0.2;
/*! @brief Value of the first report: sufficient to act on until others
 * disagree. */
constexpr double kFirstWord = 0.5;
/*! @brief Time after which a report that is not repeated expires. */
constexpr Duration kWordLifetime = std::chrono::seconds{3};

}  // namespace

const std::string &DownstreamLevels::ScopeOf(
    const std::string &workspace) const noexcept {
  static const std::string all;
  return this->options.per_workspace ? workspace : all;
}

void DownstreamLevels::Learn(const std::string &workspace,
                             const std::string &route,
                             const std::vector<AdmissionLevel> &levels) {
  this->Take(workspace, levels);
  this->Served(route);
  this->Meet(route, levels);
}

void DownstreamLevels::LearnBelow(const std::string &workspace,
                                  const std::string &route,
                                  const std::vector<AdmissionLevel> &levels) {
  this->Take(workspace, levels);
  this->Meet(route, levels);
}

void DownstreamLevels::Served(const std::string &route) {
  const auto found = this->ways.find(route);
  if (found == this->ways.end()) return;
  CallPath &way = found->second;
  way.used = this->clock.Now();
  way.requests += 1;
  if (way.requests <= kRemembered) return;
  way.requests /= 2;
  for (auto &[service, count] : way.met) count /= 2;
}

void DownstreamLevels::Meet(const std::string &route,
                            const std::vector<AdmissionLevel> &levels) {
  for (const auto &entry : levels) {
    if (!entry.on_call_path || entry.level_milli <= 0) continue;
    CallPath &way = this->ways[route];
    way.used = this->clock.Now();
    way.met[entry.service] += 1;
  }
}

void DownstreamLevels::Take(const std::string &workspace,
                            const std::vector<AdmissionLevel> &levels) {
  const Time now = this->clock.Now();
  if (now - this->swept >= kSweepPeriod) this->Forget();
  for (const auto &entry : levels) {
    const Time measured = now - std::chrono::milliseconds{entry.age_ms};
    Services &services = this->scopes[this->ScopeOf(workspace)];
    const auto found = services.find(entry.service);
    // Zero matters only for a service of which other levels are known.
    if (found == services.end() && entry.level_milli <= 0) continue;
    Known &known = services[entry.service][entry.node];
    if (measured <= known.measured) continue;
    known = {entry.level_milli / kLevelScale, entry.per_second, measured};
  }
}

bool DownstreamLevels::Stale(const Known &known) const noexcept {
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

bool DownstreamLevels::Met(const CallPath &way, const std::string &service) {
  const auto found = way.met.find(service);
  return found != way.met.end() && found->second >= kMeets * way.requests;
}

bool DownstreamLevels::Meets(const CallPath &way,
                             const std::string &service) const {
  if (Met(way, service)) return true;
  if (way.requests >= kFewRequests) return false;
  const auto told = way.told.find(service);
  if (told == way.told.end()) return false;
  const bool recent = this->clock.Now() - told->second.at <= kWordLifetime;
  return recent && told->second.meets >= kMeets;
}

std::vector<CallPathReport> DownstreamLevels::CallPathReports(
    std::size_t most) const {
  std::vector<CallPathReport> call_path_reports;
  const auto scope = this->scopes.find(this->ScopeOf({}));
  if (scope == this->scopes.end()) return call_path_reports;
  for (const auto &[service, levels] : scope->second) {
    if (!this->Sheds(levels)) continue;
    for (const auto &[route, way] : this->ways) {
      const bool seen = way.requests >= 1 || way.met.count(service) > 0;
      if (!seen) continue;
      if (call_path_reports.size() >= most) return call_path_reports;
      call_path_reports.push_back({route, service, Met(way, service)});
    }
  }
  return call_path_reports;
}

void DownstreamLevels::LearnCallPathReports(
    const std::vector<CallPathReport> &call_path_reports) {
  const Time now = this->clock.Now();
  for (const auto &mark : call_path_reports) {
    const auto known = this->ways.find(mark.route);
    if (known == this->ways.end() && !mark.meets) continue;
    CallPath &way = this->ways[mark.route];
    if (way.used == Time{}) way.used = now;
    const auto [told, fresh] = way.told.try_emplace(mark.service);
    if (fresh || now - told->second.at > kWordLifetime) {
      told->second.meets = mark.meets ? kFirstWord : 0;
    } else {
      const double word = mark.meets ? 1 : 0;
      told->second.meets += kWordWeight * (word - told->second.meets);
    }
    told->second.at = now;
  }
}

std::vector<AdmissionLevel> DownstreamLevels::Shedding(
    const std::string &workspace, const std::string &route,
    std::size_t most) const {
  std::vector<AdmissionLevel> levels;
  const auto scope = this->scopes.find(this->ScopeOf(workspace));
  if (scope == this->scopes.end()) return levels;
  const Time now = this->clock.Now();
  const auto way = this->ways.find(route);
  for (const auto &[name, service] : scope->second) {
    if (!this->Sheds(service)) continue;
    // Own observations only; reports of others would echo back as evidence.
    const bool on_call_path = way != this->ways.end() && Met(way->second, name);
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
  if (levels.size() <= most) return levels;
  std::stable_partition(levels.begin(), levels.end(),
                        [](const auto &entry) { return entry.on_call_path; });
  levels.resize(most);
  return levels;
}

CallPathLevel DownstreamLevels::HighestOnCallPath(
    const std::string &workspace, const std::string &route) const {
  CallPathLevel highest;
  const auto way = this->ways.find(route);
  if (way == this->ways.end()) return highest;
  const auto scope = this->scopes.find(this->ScopeOf(workspace));
  if (scope == this->scopes.end()) return highest;
  for (const auto &[name, service] : scope->second) {
    if (!this->Meets(way->second, name)) continue;
    CallPathLevel mean = this->MeanOf(service);
    if (mean.level <= highest.level) continue;
    highest = std::move(mean);
    highest.service = name;
  }
  return highest;
}

void DownstreamLevels::Forget() {
  this->swept = this->clock.Now();
  for (auto way = this->ways.begin(); way != this->ways.end();) {
    const bool unused = this->swept - way->second.used > kSweepPeriod;
    way = unused ? this->ways.erase(way) : std::next(way);
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
