#ifndef POLLENRING_NODE_MEMORY_LIMIT_H_
#define POLLENRING_NODE_MEMORY_LIMIT_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/node/settings.h"

namespace pollenring {

/**
 * @brief Reads a cgroup's memory limit.
 * @param text Content of `memory.max` or `memory.limit_in_bytes`.
 * @return Bytes; nothing without a limit.
 */
[[nodiscard]] std::optional<std::size_t> ParseCgroupLimit(
    std::string_view text);

/**
 * @brief Reads the machine's memory.
 * @param text Content of `/proc/meminfo`.
 * @return Bytes of `MemTotal`; nothing if it is missing.
 */
[[nodiscard]] std::optional<std::size_t> ParseMemTotal(std::string_view text);

/**
 * @brief Memory that this process may use.
 * @return The lowest of `RLIMIT_AS`, the limits of its cgroup and of the
 * cgroup's parents, and the machine's memory, in bytes.
 */
[[nodiscard]] std::size_t DetectMemory();

/**
 * @brief Size of the budget for bodies and buffers.
 * @param limits Limits from the settings.
 * @return The options.
 */
[[nodiscard]] BufferBudgetOptions BudgetFor(const MemoryLimits &limits);

/**
 * @brief Limits of a server for callers that uses a budget.
 * @param budget The budget, which outlives the server.
 * @return The limits.
 */
[[nodiscard]] HttpServerLimits CallerLimitsFor(BufferBudget &budget);

/**
 * @brief Limits of a client for targets that uses a budget.
 * @param budget The budget, which outlives the client.
 * @return The limits.
 */
[[nodiscard]] HttpClientLimits ClientLimitsFor(BufferBudget &budget);

}  // namespace pollenring

#endif  // POLLENRING_NODE_MEMORY_LIMIT_H_
