#include "pollenring/mesh/drain_times.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Time for clients to go elsewhere: they are told after two questions
 * without a 200, one second apart. */
constexpr Duration kClientsLeave = std::chrono::milliseconds{2800};
/*! @brief For the last answers to be written before the process is killed. */
constexpr Duration kLastWrites = std::chrono::milliseconds{600};

}  // namespace

DrainTimes DrainTimesFor(Duration grace) noexcept {
  const Duration longest = std::max(grace / 2, grace - kLastWrites);
  // What is taken last needs time as well.
  return {std::min(kClientsLeave, longest * 3 / 5), longest};
}

}  // namespace pollenring
