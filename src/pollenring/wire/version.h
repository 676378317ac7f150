#ifndef POLLENRING_WIRE_VERSION_H_
#define POLLENRING_WIRE_VERSION_H_

#include <cstdint>

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Forms of messages between nodes, oldest first. */
enum class WireVersion : std::uint8_t {
  kV1 = 1, /*!< Of 33161f2: fields by place. */
  kV2 = 2, /*!< Of 0e01c9f: fields by place; zones, regions, cold targets. */
  kV3 = 3  /*!< Fields by number. */
};

/*! @brief Names of the versions. */
inline constexpr EnumTable<WireVersion, 3> kWireVersionNames{{{
    {WireVersion::kV1, "v1"},
    {WireVersion::kV2, "v2"},
    {WireVersion::kV3, "v3"},
}}};

/*! @brief Newest form that this build speaks. */
inline constexpr WireVersion kNewestWire = WireVersion::kV3;

/*! @brief Form for peers of which nothing is known, for all messages that V1
 * and V2 have in common; each build reads it. */
inline constexpr WireVersion kCommonWire = WireVersion::kV2;

}  // namespace pollenring

#endif  // POLLENRING_WIRE_VERSION_H_
