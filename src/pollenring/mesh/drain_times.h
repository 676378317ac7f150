#ifndef POLLENRING_MESH_DRAIN_TIMES_H_
#define POLLENRING_MESH_DRAIN_TIMES_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Phases of a planned stop, measured from its start. */
struct DrainTimes {
  Duration accept_until; /*!< Requests of callers are accepted until then. */
  /*! @brief Requests that have not reached a target are refused from then. */
  Duration withdraw_from;
  /*! @brief Requests still in progress are answered then, as of unknown
   * outcome. */
  Duration max_duration;
  Duration end; /*!< The process ends then, even with unwritten responses. */
};

/**
 * @brief Divides the grace period of a planned stop.
 * @param grace Time until the platform kills the process.
 * @return The phases.
 */
[[nodiscard]] DrainTimes DrainTimesFor(Duration grace) noexcept;

}  // namespace pollenring

#endif  // POLLENRING_MESH_DRAIN_TIMES_H_
