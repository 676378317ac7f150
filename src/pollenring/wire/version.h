#ifndef POLLENRING_WIRE_VERSION_H_
#define POLLENRING_WIRE_VERSION_H_

#include <cstdint>

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Encodings of messages between nodes, oldest first. */
enum class WireVersion : std::uint8_t {
  kV1 = 1, /*!< Of 33161f2: fields by position. */
  kV2 = 2, /*!< Of 0e01c9f: as V1; adds zones, regions, cold targets. */
  kV3 = 3  /*!< Fields by number. */
};

/*! @brief Names of the versions. */
inline constexpr EnumTable<WireVersion, 3> kWireVersionNames{{{
    {WireVersion::kV1, "v1"},
    {WireVersion::kV2, "v2"},
    {WireVersion::kV3, "v3"},
}}};

/*! @brief Newest version that this build supports. */
inline constexpr WireVersion kNewestWire = WireVersion::kV3;

/*! @brief Version for peers of unknown version, for all messages that V1 and V2
 * have in common; each build reads it. */
inline constexpr WireVersion kCommonWire = WireVersion::kV2;

}  // namespace pollenring

#endif  // POLLENRING_WIRE_VERSION_H_
