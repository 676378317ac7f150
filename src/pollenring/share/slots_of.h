#ifndef POLLENRING_SHARE_SLOTS_OF_H_
#define POLLENRING_SHARE_SLOTS_OF_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/core/hash.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief Slots over which a workspace's rate and burst are split. */
inline constexpr SlotId kSlotsPerWorkspace = 3;

/**
 * @brief Finds the slots that lend a workspace's rate limit.
 * @param workspace The workspace.
 * @param slots Total number of slots.
 * @return Distinct slots, the same on every node.
 */
[[nodiscard]] inline std::vector<SlotId> SlotsOf(const std::string &workspace,
                                                 SlotId slots) {
  const SlotId count = std::min(kSlotsPerWorkspace, slots);
  const auto first = static_cast<SlotId>(Hash64(workspace) % slots);
  const SlotId step = std::max<SlotId>(1, slots / count);
  std::vector<SlotId> found;
  for (SlotId i = 0; i < count; ++i)
    found.push_back((first + i * step) % slots);
  return found;
}

/*! @brief Position of a slot among those of a workspace. */
struct SharePart {
  std::uint32_t position{};
  std::uint32_t count{1};
};

/**
 * @brief Finds a slot's position among those of a workspace.
 * @param workspace The workspace.
 * @param slot The slot.
 * @param slots Total number of slots.
 * @return The position, or nothing if the slot is not one of them.
 */
[[nodiscard]] inline std::optional<SharePart> PartOf(
    const std::string &workspace, SlotId slot, SlotId slots) {
  const auto own = SlotsOf(workspace, slots);
  const auto found = std::find(own.begin(), own.end(), slot);
  if (found == own.end()) return std::nullopt;
  return SharePart{static_cast<std::uint32_t>(found - own.begin()),
                   static_cast<std::uint32_t>(own.size())};
}

}  // namespace pollenring

#endif  // POLLENRING_SHARE_SLOTS_OF_H_
