#include "pollenring/mesh/mesh_options.h"

#include "pollenring/node/limits.h"
#include "pollenring/node/memory_limit.h"

namespace pollenring {
namespace {

/*! @brief Maximum idle time of a client connection; above any limit that
 * operators set for their clients. */
constexpr Duration kCallerIdleTimeout = std::chrono::minutes{5};
/*! @brief Requests per second to a target of which nothing is known yet, as
 * after a restart of its node; its first response states its limit. */
constexpr double kInitialTargetRate = 20;

/*! @brief Maximum queue of the local target, as run time. Its requests were
 * admitted upstream; the level ends the overload before the queue is full. */
constexpr Duration kMaxQueueTime = std::chrono::milliseconds{400};

}  // namespace

HttpServerLimits MakeCallerLimits(BufferBudget *budget) {
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  if (budget != nullptr) limits = CallerLimitsFor(*budget);
  limits.idle_timeout = kCallerIdleTimeout;
  return limits;
}

RouterOptions MakeRouterOptions() {
  RouterOptions options;
  options.order = LoadBalancingPolicy::kLeastLatency;
  return options;
}

DownstreamLevelOptions MakeLevelOptions(const Features &features) {
  DownstreamLevelOptions options;
  options.reports_failures = features.whole_requests;
  return options;
}

TrafficRetryOptions MakeRetryOptions(const Features &features) {
  TrafficRetryOptions options;
  options.ranked = features.whole_requests;
  return options;
}

AdmissionOptions MakeAdmissionOptions(const Features &features) {
  AdmissionOptions options;
  options.learns_capacity = features.learned_capacity;
  // Targets announce their slots; some never respond to calls beyond them.
  options.limit.fixed = true;
  options.level_trigger = LevelTrigger::kOfferedLoad;
  options.order = QueueOrder::kSoftDeadline;
  options.queue_time = kMaxQueueTime;
  options.rate_limit.initial_rate = kInitialTargetRate;
  return options;
}

}  // namespace pollenring
