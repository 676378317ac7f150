#include "pollenring/mesh/heartbeat_filter.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Instances remembered; a late heartbeat is seconds old, not hours. */
constexpr std::size_t kMaxInstances = 64;

}  // namespace

HeartbeatVerdict HeartbeatFilter::Check(const Heartbeat &heartbeat) {
  const std::string &instance = heartbeat.announcement.instance;
  const std::uint64_t started_at_ms = this->StartTimeOf(heartbeat);
  if (Leaves(heartbeat)) {
    this->departures.Add({instance, started_at_ms});
  } else if (this->departures.Covers(instance, heartbeat.started_at_ms)) {
    return HeartbeatVerdict::kStale;
  }
  const auto known = this->instances.find(instance);
  if (known == this->instances.end()) {
    this->ForgetOldest();
    if (heartbeat.deregisters) {
      this->instances[instance] = {started_at_ms, 0, true};
      return HeartbeatVerdict::kAccepted;
    }
    // A heartbeat of an older instance may follow the newer one's first.
    const auto newest = this->instances.find(this->latest);
    const bool older = newest != this->instances.end() &&
                       heartbeat.started_at_ms != 0 &&
                       heartbeat.started_at_ms < newest->second.started_at_ms;
    this->instances[instance] = {heartbeat.started_at_ms, heartbeat.sequence,
                                 false};
    if (older) return HeartbeatVerdict::kStale;
    this->latest = instance;
    return HeartbeatVerdict::kAccepted;
  }
  InstanceState &state = known->second;
  if (heartbeat.deregisters) {
    // A deregistration of an earlier start under this identifier may be late.
    const bool duplicate =
        started_at_ms < state.started_at_ms ||
        (started_at_ms == state.started_at_ms && state.deregistered);
    if (duplicate) return HeartbeatVerdict::kStale;
    state = {started_at_ms, state.sequence, true};
    return HeartbeatVerdict::kAccepted;
  }
  if (heartbeat.started_at_ms > state.started_at_ms) {
    state = {heartbeat.started_at_ms, heartbeat.sequence, false};
    this->latest = instance;
    return HeartbeatVerdict::kAccepted;
  }
  const bool stale =
      heartbeat.started_at_ms < state.started_at_ms || state.deregistered ||
      heartbeat.sequence <= state.sequence || this->latest != instance;
  if (stale) return HeartbeatVerdict::kStale;
  state.sequence = heartbeat.sequence;
  return HeartbeatVerdict::kAccepted;
}

void HeartbeatFilter::ForgetOldest() {
  if (this->instances.size() < kMaxInstances) return;
  auto oldest = this->instances.end();
  for (auto it = this->instances.begin(); it != this->instances.end(); ++it) {
    if (it->first == this->latest) continue;
    const bool older = oldest == this->instances.end() ||
                       it->second.started_at_ms < oldest->second.started_at_ms;
    if (older) oldest = it;
  }
  this->instances.erase(oldest);
}

std::uint64_t HeartbeatFilter::StartTimeOf(const std::string &instance) const {
  const auto known = this->instances.find(instance);
  return known == this->instances.end() ? 0 : known->second.started_at_ms;
}

std::uint64_t HeartbeatFilter::StartTimeOf(const Heartbeat &heartbeat) const {
  if (heartbeat.started_at_ms != 0) return heartbeat.started_at_ms;
  const auto known = this->StartTimeOf(heartbeat.announcement.instance);
  if (known != 0) return known;
  return static_cast<std::uint64_t>(this->clock.WallNow().count());
}

bool HeartbeatFilter::RecordDeregistration(const std::string &instance,
                                           std::uint64_t started_at_ms) {
  this->departures.Add({instance, started_at_ms});
  const auto known = this->instances.find(instance);
  if (known == this->instances.end()) return false;
  InstanceState &state = known->second;
  if (state.started_at_ms > started_at_ms) return false;
  state.started_at_ms = started_at_ms;
  state.deregistered = true;
  return true;
}

}  // namespace pollenring
