#ifndef POLLENRING_CORE_REQUEST_ID_H_
#define POLLENRING_CORE_REQUEST_ID_H_

#include <optional>
#include <string>
#include <string_view>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"

namespace pollenring {

/**
 * @brief Generates a version 7 UUID, which contains its creation time.
 * @param wall Creation time.
 * @param random Source of the random bits.
 * @return 36 characters in canonical form.
 */
[[nodiscard]] std::string NewRequestId(WallTime wall, Random &random);

/**
 * @brief Extracts the creation time of a version 7 UUID.
 * @param id The identifier.
 * @return The time, or nothing if the text is not a version 7 UUID.
 */
[[nodiscard]] std::optional<WallTime> CreationTimeOf(
    std::string_view id) noexcept;

}  // namespace pollenring

#endif  // POLLENRING_CORE_REQUEST_ID_H_
