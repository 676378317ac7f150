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
  return {std::min(kClientMoveTime, max_duration * 3 / 5), max_duration};
}

}  // namespace pollenring
