#ifndef POLLENRING_MESH_DRAIN_TIMES_H_
#define POLLENRING_MESH_DRAIN_TIMES_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief How a node spends the time that it has for a planned stop. */
struct DrainTimes {
  Duration accepts; /*!< Until then it takes requests of callers. */
  Duration longest; /*!< Then it ends, whatever it still waits for. */
};

/**
 * @brief Divides the time for a planned stop.
 * @param grace What the platform gives before it kills the process.
 * @return The parts.
 */
[[nodiscard]] DrainTimes DrainTimesFor(Duration grace) noexcept;

}  // namespace pollenring

#endif  // POLLENRING_MESH_DRAIN_TIMES_H_
