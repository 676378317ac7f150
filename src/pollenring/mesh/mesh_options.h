#ifndef POLLENRING_MESH_MESH_OPTIONS_H_
#define POLLENRING_MESH_MESH_OPTIONS_H_

#include "pollenring/admission/admission.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_server.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/settings.h"
#include "pollenring/retry/budget.h"
#include "pollenring/routing/router.h"

namespace pollenring {

// How the decisions of a node are set up where routes are found by host.

/**
 * @brief Limits of the server for callers.
 * @param budget Budget of its buffers; null for none.
 * @return The limits.
 */
[[nodiscard]] HttpServerLimits MakeCallerLimits(BufferBudget *budget);

/*! @brief Settings of routing. @return The settings. */
[[nodiscard]] RouterOptions MakeRouterOptions();

/**
 * @brief Settings of the tracker of downstream services.
 * @param features Parts that the deployment asks for.
 * @return The settings.
 */
[[nodiscard]] DownstreamLevelOptions MakeLevelOptions(const Features &features);

/**
 * @brief Settings of the retry budget.
 * @param features Parts that the deployment asks for.
 * @return The settings.
 */
[[nodiscard]] TrafficRetryOptions MakeRetryOptions(const Features &features);

/**
 * @brief Settings of the admission to the local target.
 * @param features Parts that the deployment asks for.
 * @return The settings.
 */
[[nodiscard]] AdmissionOptions MakeAdmissionOptions(const Features &features);

}  // namespace pollenring

#endif  // POLLENRING_MESH_MESH_OPTIONS_H_
