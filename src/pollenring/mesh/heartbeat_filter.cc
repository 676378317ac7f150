#include "pollenring/mesh/heartbeat_filter.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Instances remembered; a late heartbeat is seconds old, not hours. */
constexpr std::size_t kMaxInstances = 64;

}  // namespace

HeartbeatVerdict HeartbeatFilter::Check(const Heartbeat &heartbeat) {
  const std::string &instance = heartbeat.announcement.instance;
  const auto known = this->instances.find(instance);
  if (known == this->instances.end()) {
    if (this->instances.size() >= kMaxInstances) this->instances.clear();
    if (heartbeat.deregisters) {
      // It carries no start time, so it covers any instance started until now.
      const auto now =
          static_cast<std::uint64_t>(this->clock.WallNow().count());
      this->instances[instance] = {std::max(heartbeat.started_at_ms, now), 0,
                                   true};
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
    const bool duplicate = state.deregistered;
    state.deregistered = true;
    return duplicate ? HeartbeatVerdict::kStale : HeartbeatVerdict::kAccepted;
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

std::uint64_t HeartbeatFilter::StartTimeOf(const std::string &instance) const {
  const auto known = this->instances.find(instance);
  return known == this->instances.end() ? 0 : known->second.started_at_ms;
}

bool HeartbeatFilter::RecordDeregistration(const std::string &instance,
                                           std::uint64_t started_at_ms) {
  const auto [known, inserted] = this->instances.try_emplace(instance);
  InstanceState &state = known->second;
  if (!inserted && state.started_at_ms > started_at_ms) return false;
  state.started_at_ms = started_at_ms;
  state.deregistered = true;
  return !inserted;
}

}  // namespace pollenring
