#ifndef POLLENRING_NODE_HANDOVER_H_
#define POLLENRING_NODE_HANDOVER_H_

#include <map>
#include <string>

#include "pollenring/lease/slot_row.h"
#include "pollenring/once/record.h"
#include "pollenring/share/lender.h"

namespace pollenring {

/*! @brief State that the holder of a slot hands over to its successor. */
struct Handover {
  SlotId slot{};
  SlotRow row;
  std::map<std::string, BucketState> buckets;
  OnceLog once;
  MSGPACK_DEFINE(slot, row, buckets, once)

  /**
   * @brief Checks whether this state is current for a slot that was gained.
   *
   * A successor may also acquire the slot again after it was named in the
   * table, or be elected after its predecessor has resigned; no other node can
   * have used the slot in between.
   * @param gained The row gained.
   * @param before The row before.
   * @return True if the state is that of the slot.
   */
  [[nodiscard]] bool Precedes(const SlotRow &gained,
                              const SlotRow &before) const noexcept {
    if (this->row.epoch == gained.epoch) return true;
    if (this->row.epoch != before.epoch) return false;
    return before.holder == gained.holder || before.holder == this->row.holder;
  }
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_HANDOVER_H_
