#include "pollenring/mesh/drain_times.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Time for clients to move to another node: they do so after two
 * readiness checks without a 200, one second apart. */
constexpr Duration kClientMoveTime = std::chrono::milliseconds{2800};
/*! @brief Time to write the last responses before the process is killed. */
constexpr Duration kFinalWriteTime = std::chrono::milliseconds{600};

}  // namespace

DrainTimes DrainTimesFor(Duration grace) noexcept {
  const Duration max_duration = std::max(grace / 2, grace - kFinalWriteTime);
  // The requests accepted last need time to complete.
  const Duration accept_until = std::min(kClientMoveTime, max_duration * 3 / 5);
  // They have half of that time to reach a target, and half to run there.
  const Duration withdraw_from = (accept_until + max_duration) / 2;
  return {accept_until, withdraw_from, max_duration,
          (max_duration + grace) / 2};
}

}  // namespace pollenring
