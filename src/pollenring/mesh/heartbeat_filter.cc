#include "pollenring/mesh/heartbeat_filter.h"

namespace pollenring {
namespace {

/*! @brief Starts remembered; a late heartbeat is seconds old, not hours. */
constexpr std::size_t kMostStarts = 64;

}  // namespace

HeartbeatVerdict HeartbeatFilter::Judge(const Heartbeat &heartbeat) {
  const std::string &instance = heartbeat.announcement.instance;
  const auto known = this->starts.find(instance);
  if (known == this->starts.end()) {
    if (this->starts.size() >= kMostStarts) this->starts.clear();
    // An older start's heartbeat may come after the newer start's first one.
    const auto latest = this->starts.find(this->current);
    const bool older = latest != this->starts.end() && heartbeat.born != 0 &&
                       heartbeat.born < latest->second.born;
    this->starts[instance] = {heartbeat.born, heartbeat.sequence,
                              heartbeat.departs};
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

}  // namespace pollenring
