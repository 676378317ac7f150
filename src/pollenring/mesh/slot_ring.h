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
 * @brief Deals slots to the living members by rendezvous hashing.
 *
 * No lease is taken: during a change of membership two nodes may hold one slot
 * for as long as gossip takes; the later one starts empty. Behind a cut each
 * side lends the part of the rates that its nodes stand for.
 */
class SlotRing final : public SlotHolders {
 public:
  /**
   * @brief Creates a ring.
   * @param membership Who is there.
   * @param clock Clock.
   * @param fresh Whether the whole system starts for the first time, so that
   * nothing can have been lent before.
   */
  SlotRing(const Membership &membership, const Clock &clock, bool fresh);

  /**
   * @brief Deals anew and tells a user what this node gains and loses.
   * @param user The user.
   */
  void Update(SlotListener &user);

  /**
   * @brief Part of each workspace's rate that the nodes seen here may lend.
   *
   * Members that have fallen silent without leaving may be on the other side of
   * a cut, where they lend their own part. A node that hears nobody stands for
   * itself alone, before it has found each of the others silent.
   * @return From 0 to 1.
   */
  [[nodiscard]] double Part() const noexcept override;

  [[nodiscard]] SlotId Count() const noexcept override;
  [[nodiscard]] std::optional<NodeId> HolderOf(SlotId slot) const override;
  [[nodiscard]] bool Holds(SlotId slot) const override;
  [[nodiscard]] Time ValidUntil(SlotId slot) const override;

 private:
  const Membership &membership;
  const Clock &clock;
  bool fresh;
  std::uint64_t dealt_for{}; /*!< Changes of membership when last dealt. */
  std::size_t lending{1};
  std::size_t silent{};
  std::vector<NodeId> holders;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_SLOT_RING_H_
