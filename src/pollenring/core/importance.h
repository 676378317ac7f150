#ifndef POLLENRING_CORE_IMPORTANCE_H_
#define POLLENRING_CORE_IMPORTANCE_H_

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Importance of a request; lower values are shed first. */
enum class Importance { kLow = 0, kNormal = 1, kHigh = 2, kCritical = 3 };

/*! @brief Number of importance levels. */
inline constexpr int kImportanceLevels = 4;

/*! @brief Names of the importance levels in contracts. */
inline constexpr EnumTable<Importance, 4> kImportanceNames{{{
    {Importance::kLow, "low"},
    {Importance::kNormal, "normal"},
    {Importance::kHigh, "high"},
    {Importance::kCritical, "critical"},
}}};

}  // namespace pollenring

#endif  // POLLENRING_CORE_IMPORTANCE_H_
