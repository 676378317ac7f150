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
    if (heartbeat.deregisters) {
      // It carries no start time, so it covers any instance started until now.
      const auto now =
          static_cast<std::uint64_t>(this->clock.WallNow().count());
      this->starts[instance] = {std::max(heartbeat.started_at_ms, now), 0,
                                true};
      return HeartbeatVerdict::kTaken;
    }
    // A heartbeat of an older instance may follow the newer one's first.
    const auto latest = this->starts.find(this->current);
    const bool older = latest != this->starts.end() &&
                       heartbeat.started_at_ms != 0 &&
                       heartbeat.started_at_ms < latest->second.started_at_ms;
    this->starts[instance] = {heartbeat.started_at_ms, heartbeat.sequence,
                              false};
    if (older) return HeartbeatVerdict::kStale;
    this->current = instance;
    return HeartbeatVerdict::kTaken;
  }
  Start &start = known->second;
  if (heartbeat.deregisters) {
    const bool again = start.departed;
    start.departed = true;
    return again ? HeartbeatVerdict::kStale : HeartbeatVerdict::kTaken;
  }
  if (heartbeat.started_at_ms > start.started_at_ms) {
    start = {heartbeat.started_at_ms, heartbeat.sequence, false};
    this->current = instance;
    return HeartbeatVerdict::kTaken;
  }
  const bool stale = heartbeat.started_at_ms < start.started_at_ms ||
                     start.departed || heartbeat.sequence <= start.sequence ||
                     this->current != instance;
  if (stale) return HeartbeatVerdict::kStale;
  start.sequence = heartbeat.sequence;
  return HeartbeatVerdict::kTaken;
}

std::uint64_t HeartbeatFilter::BornOf(const std::string &instance) const {
  const auto known = this->starts.find(instance);
  return known == this->starts.end() ? 0 : known->second.started_at_ms;
}

bool HeartbeatFilter::Forbid(const std::string &instance,
                             std::uint64_t started_at_ms) {
  const auto [known, fresh] = this->starts.try_emplace(instance);
  Start &start = known->second;
  if (!fresh && start.started_at_ms > started_at_ms) return false;
  start.started_at_ms = started_at_ms;
  start.departed = true;
  return !fresh;
}

}  // namespace pollenring
