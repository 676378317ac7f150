#include "pollenring/mesh/heartbeat_filter.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Instances remembered; a late heartbeat is seconds old, not hours. */
constexpr std::size_t kMostStarts = 64;

}  // namespace

HeartbeatVerdict HeartbeatFilter::Judge(const Heartbeat &heartbeat) {
  const std::string &instance = heartbeat.announcement.instance;
  const auto known = this->starts.find(instance);
  if (known == this->starts.end()) {
    if (this->starts.size() >= kMostStarts) this->starts.clear();
    if (heartbeat.departs) {
      // It carries no start time, so it covers any instance started until now.
      const auto now = static_cast<std::uint64_t>(this->clock.Wall().count());
      this->starts[instance] = {std::max(heartbeat.born, now), 0, true};
      return HeartbeatVerdict::kTaken;
    }
    // A heartbeat of an older instance may follow the newer one's first.
    const auto latest = this->starts.find(this->current);
    const bool older = latest != this->starts.end() && heartbeat.born != 0 &&
                       heartbeat.born < latest->second.born;
    this->starts[instance] = {heartbeat.born, heartbeat.sequence, false};
    if (older) return HeartbeatVerdict::kStale;
    this->current = instance;
    return HeartbeatVerdict::kTaken;
  }
  Start &start = known->second;
  if (heartbeat.departs) {
    const bool again = start.departed;
    start.departed = true;
    return again ? HeartbeatVerdict::kStale : HeartbeatVerdict::kTaken;
  }
  if (heartbeat.born > start.born) {
    start = {heartbeat.born, heartbeat.sequence, false};
    this->current = instance;
    return HeartbeatVerdict::kTaken;
  }
  const bool stale = heartbeat.born < start.born || start.departed ||
                     heartbeat.sequence <= start.sequence ||
                     this->current != instance;
  if (stale) return HeartbeatVerdict::kStale;
  start.sequence = heartbeat.sequence;
  return HeartbeatVerdict::kTaken;
}

std::uint64_t HeartbeatFilter::BornOf(const std::string &instance) const {
  const auto known = this->starts.find(instance);
  return known == this->starts.end() ? 0 : known->second.born;
}

bool HeartbeatFilter::Forbid(const std::string &instance, std::uint64_t born) {
  const auto [known, fresh] = this->starts.try_emplace(instance);
  Start &start = known->second;
  if (!fresh && start.born > born) return false;
  start.born = born;
  start.departed = true;
  return !fresh;
}

}  // namespace pollenring
