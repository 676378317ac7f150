#ifndef POLLENRING_ONCE_RECORD_H_
#define POLLENRING_ONCE_RECORD_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief Age up to which an identifier is remembered and may be repeated. */
inline constexpr WallTime kOnceRetention = std::chrono::minutes{10};

/*! @brief Maximum difference between the wall clocks of callers and VMs. */
inline constexpr WallTime kMaxWallSkew = std::chrono::seconds{30};

/*! @brief State of an identifier's run. */
enum class OnceState { kStarted = 0, kRan = 1, kUnknown = 2, kAborted = 3 };

/*! @brief Idempotency record of one identifier. */
struct OnceRecord {
  std::string key;
  std::int64_t created_ms{};
  std::int64_t deadline_ms{}; /*!< Wall time after which no caller waits. */
  std::uint64_t attempt{};
  OnceState state{OnceState::kStarted};
  std::string response; /*!< First response; empty if not held. */
  MSGPACK_DEFINE(key, created_ms, deadline_ms, attempt, state, response)
};

/**
 * @brief Records of a slot, complete for identifiers begun since a given time.
 */
struct OnceLog {
  std::int64_t complete_since_ms{};
  std::vector<OnceRecord> records;
  MSGPACK_DEFINE(complete_since_ms, records)
};

/**
 * @brief Finds the slot whose holder owns an identifier.
 * @param key Workspace and identifier.
 * @param slots Total number of slots.
 * @return The slot.
 */
[[nodiscard]] SlotId SlotOfKey(const std::string &key, SlotId slots);

}  // namespace pollenring

MSGPACK_ADD_ENUM(pollenring::OnceState)

#endif  // POLLENRING_ONCE_RECORD_H_
