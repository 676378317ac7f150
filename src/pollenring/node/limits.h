#ifndef POLLENRING_NODE_LIMITS_H_
#define POLLENRING_NODE_LIMITS_H_

#include <cstddef>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Maximum size of a request or response body. */
inline constexpr std::size_t kMaxBodyBytes = std::size_t{17} * 1024 * 1024;

/*! @brief Maximum size of a frame: a body and its envelope fields. */
inline constexpr std::size_t kMaxFrameBytes =
    kMaxBodyBytes + std::size_t{256} * 1024;

/*! @brief Maximum total size of header names and values of a request. */
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{32} * 1024;

/*! @brief Maximum depth of a chain of calls. */
inline constexpr int kMaxDepth = 32;

/*! @brief Retry-after sent to refused callers, before jitter. */
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds{500};

/*! @brief How much longer a node waits than the node that it calls. */
inline constexpr Duration kReplySlack = std::chrono::milliseconds{20};

}  // namespace pollenring

#endif  // POLLENRING_NODE_LIMITS_H_
