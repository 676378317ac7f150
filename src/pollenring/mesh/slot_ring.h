#ifndef POLLENRING_MESH_SLOT_RING_H_
#define POLLENRING_MESH_SLOT_RING_H_

#include <cstdint>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/membership/membership.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/slot_service.h"

namespace pollenring {

/**
 * @brief Assigns slots to live members by rendezvous hashing.
 *
 * There are no leases: while a membership change spreads by gossip, two nodes
 * may hold one slot; the new holder starts with an empty bucket. In a network
 * partition each side lends only the part of the rates of its own nodes.
 */
class SlotRing final : public SlotHolders {
 public:
  /**
   * @brief Creates a ring.
   * @param membership Members of the fleet.
   * @param clock Clock.
   * @param first_start True on the first start of the complete system, when
   * nothing can have been lent before.
   */
  SlotRing(const Membership &membership, const Clock &clock, bool first_start);

  /**
   * @brief Reassigns slots and reports this node's gains and losses.
   * @param listener The listener.
   */
  void Update(SlotListener &listener);

  /**
   * @brief Part of each workspace's rate limit that live members may lend.
   *
   * Members that became unreachable without a drain may be behind a network
   * partition and lend their part there. A node that receives nothing counts
   * itself alone, before it has marked each of the others unreachable.
   * @return From 0 to 1.
   */
  [[nodiscard]] double LendableFraction() const noexcept override;

  [[nodiscard]] SlotId Count() const noexcept override;
  [[nodiscard]] std::optional<NodeId> HolderOf(SlotId slot) const override;
  [[nodiscard]] bool Holds(SlotId slot) const override;
  [[nodiscard]] Time ValidUntil(SlotId slot) const override;

 private:
  const Membership &membership;
  const Clock &clock;
  bool first_start;
  std::uint64_t applied_changes{}; /*!< Membership changes already applied. */
  std::size_t live{1};
  std::size_t unreachable{};
  std::vector<NodeId> holders;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_SLOT_RING_H_
