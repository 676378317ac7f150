#ifndef POLLENRING_NODE_DESCRIBE_CONNECTIONS_H_
#define POLLENRING_NODE_DESCRIBE_CONNECTIONS_H_

#include <nlohmann/json_fwd.hpp>

namespace pollenring {

class BufferBudget;
class Loop;
class Metrics;

/**
 * @brief Registers gauges of a loop's connections and of its longest turn.
 * @param metrics The registry.
 * @param loop The loop, which outlives the registry.
 */
void RegisterConnectionMetrics(Metrics &metrics, Loop &loop);

/**
 * @brief Describes a loop's connections and its longest turn, for operators.
 * @param loop The loop.
 * @return An object with counts by role, and what failed by error.
 */
[[nodiscard]] nlohmann::json DescribeConnections(Loop &loop);

/**
 * @brief Registers gauges of what bodies and buffers hold.
 * @param metrics The registry.
 * @param budget Their budget, which outlives the registry.
 */
void RegisterBufferMetrics(Metrics &metrics, const BufferBudget &budget);

/**
 * @brief Describes what bodies and buffers hold, for operators.
 * @param budget Their budget.
 * @return An object with bytes by role and what was paused, evicted, refused.
 */
[[nodiscard]] nlohmann::json DescribeBuffers(const BufferBudget &budget);

}  // namespace pollenring

#endif  // POLLENRING_NODE_DESCRIBE_CONNECTIONS_H_
