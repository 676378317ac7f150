#include "pollenring/node/route_levels.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Weight of a level that a single answer brings. */
constexpr double kWeight = 0.3;
/*! @brief Time between two looks for routes that nobody asks for. */
constexpr Span kSweepPeriod = std::chrono::seconds{10};

}  // namespace

void RouteLevels::Learn(const std::string &route,
                        const std::vector<ServiceLevel> &levels) {
  if (levels.empty()) return;
  const Time now = this->clock.Now();
  if (now - this->swept >= kSweepPeriod) this->Forget();
  auto &services = this->routes[route];
  for (const auto &entry : levels) {
    Known &known = services[entry.service];
    const double before = this->Stale(known) ? 0 : known.level;
    known.level = before + kWeight * (entry.level - before);
    known.seen = now;
  }
}

std::vector<ServiceLevel> RouteLevels::LevelsOn(
    const std::string &route) const {
  std::vector<ServiceLevel> levels;
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) return levels;
  for (const auto &[service, known] : found->second) {
    if (!this->Stale(known)) levels.push_back({service, known.level});
  }
  return levels;
}

double RouteLevels::LevelOf(const std::string &route) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) return 0;
  double highest = 0;
  for (const auto &[service, known] : found->second) {
    if (!this->Stale(known)) highest = std::max(highest, known.level);
  }
  return highest;
}

bool RouteLevels::Stale(const Known &known) const noexcept {
  return this->clock.Now() - known.seen > this->lifetime;
}

void RouteLevels::Forget() {
  this->swept = this->clock.Now();
  for (auto it = this->routes.begin(); it != this->routes.end();) {
    const Services &services = it->second;
    const bool stale = std::all_of(
        services.begin(), services.end(),
        [this](const auto &entry) { return this->Stale(entry.second); });
    it = stale ? this->routes.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
