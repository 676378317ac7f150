#include <algorithm>

#include "pollenring/log/log.h"
#include "pollenring/net/connect_probe.h"
#include "pollenring/node/target_executor.h"

namespace pollenring {
namespace {

/*! @brief Time in which all connections of a process that has ended are found
 * closed. */
constexpr Duration kSettleTime = std::chrono::milliseconds{5};
/*! @brief Time before the last lost call within which others ended with it;
 * earlier ones had another cause. */
constexpr Duration kMaxEndSpread = std::chrono::milliseconds{50};
constexpr Duration kProbeTimeout = std::chrono::milliseconds{100};
/*! @brief Time for which lost calls are kept, as another instance may announce
 * itself that was up again before the probe. */
constexpr Duration kLostCallLifetime = std::chrono::seconds{5};

}  // namespace

void TargetExecutor::RecordLostCall(Binding &binding, Fingerprint fingerprint) {
  const Time now = this->loop.GetClock().Now();
  auto &lost = binding.lost_calls;
  lost.erase(std::remove_if(lost.begin(), lost.end(),
                            [now](const LostCall &call) {
                              return now - call.at > kLostCallLifetime;
                            }),
             lost.end());
  lost.push_back({fingerprint, now});
  if (std::exchange(binding.probing, true)) return;
  const Announcement &announcement = binding.announcement;
  this->loop.After(kSettleTime, [this, service = announcement.target.service,
                                 instance = announcement.instance] {
    this->ProbeTarget(service, instance);
  });
}

void TargetExecutor::ProbeTarget(const std::string &service,
                                 const std::string &instance) {
  const auto find = [this, service, instance]() -> Binding * {
    const auto found = this->bindings.find(service);
    const bool same = found != this->bindings.end() &&
                      found->second.announcement.instance == instance;
    return same ? &found->second : nullptr;
  };
  const Binding *probed = find();
  if (probed == nullptr) return;
  ProbeConnect(this->loop, probed->announcement.address, kProbeTimeout,
               [this, find](ProbeResult result) {
                 Binding *binding = find();
                 if (binding == nullptr) return;
                 binding->probing = false;
                 if (result == ProbeResult::kRefused) this->RecordEnd(*binding);
               });
}

void TargetExecutor::RecordEnd(Binding &binding) {
  std::vector<LostCall> lost = std::exchange(binding.lost_calls, {});
  const Announcement &announcement = binding.announcement;
  // A target that leaves may end its last requests with itself.
  const bool draining = announcement.target.state == TargetState::kDraining;
  const Time now = this->loop.GetClock().Now();
  if (lost.empty() || draining) return;
  const Time end = lost.back().at;
  if (now - end > kLostCallLifetime) return;
  lost.erase(std::remove_if(lost.begin(), lost.end(),
                            [end](const LostCall &call) {
                              return end - call.at > kMaxEndSpread;
                            }),
             lost.end());
  this->metrics.Count("pollenring_target_crashes_total");
  LogEvent(LogLevel::kWarning, "target ended with requests",
           {{"service", announcement.target.service},
            {"instance", announcement.instance},
            {"requests", lost.size()},
            {"first", FormatFingerprint(lost.front().fingerprint)}});
}

}  // namespace pollenring
