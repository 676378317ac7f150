#include "pollenring/mesh/slot_ring.h"

#include <utility>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Number of slots; several times what the workspaces of a deployment
 * need. Each costs one hash per member on a membership change. */
constexpr SlotId kSlots = 32;
/*! @brief A node that receives nothing for this long is partitioned from all
 * peers; normally it receives probe replies several times a second. */
constexpr Duration kAloneAfter = std::chrono::milliseconds{1200};
/*! @brief Maximum loan duration; slots are reassigned much more often. */
constexpr Duration kValidity = std::chrono::seconds{2};

[[nodiscard]] bool Lends(const Member &member) noexcept {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

[[nodiscard]] std::uint64_t WeightOf(SlotId slot, NodeId node) noexcept {
  return HashNumber(node, slot);
}

}  // namespace

SlotRing::SlotRing(const Membership &membership, const Clock &clock, bool fresh)
    : membership{membership}, clock{clock}, fresh{fresh}, holders(kSlots) {}

void SlotRing::Update(SlotListener &user) {
  if (this->dealt_for == this->membership.Changes()) return;
  this->dealt_for = this->membership.Changes();
  this->lending = 1;
  for (const auto &[id, member] : this->membership.Members()) {
    if (Lends(member)) ++this->lending;
  }
  this->silent = this->membership.Silent();
  const NodeId self = this->membership.Self().id;
  for (SlotId slot = 0; slot < kSlots; ++slot) {
    NodeId best = 0;
    std::uint64_t weight = 0;
    const auto consider = [&](const Member &member) {
      if (!Lends(member)) return;
      const std::uint64_t own = WeightOf(slot, member.id);
      if (best != 0 && own <= weight) return;
      best = member.id;
      weight = own;
    };
    consider(this->membership.Self());
    for (const auto &[id, member] : this->membership.Members()) {
      consider(member);
    }
    const NodeId before = std::exchange(this->holders[slot], best);
    if (before == best) continue;
    if (before == self) user.SlotLost(slot);
    if (best != self) continue;
    SlotRow last;
    last.epoch = this->fresh ? 0 : 1;
    user.SlotGained(slot, {}, SlotOrigin::kTakenOver, last);
  }
}

double SlotRing::Part() const noexcept {
  const bool alone = this->membership.Silence() > kAloneAfter;
  const auto all = static_cast<double>(this->lending + this->silent);
  return (alone ? 1.0 : static_cast<double>(this->lending)) / all;
}

SlotId SlotRing::Count() const noexcept { return kSlots; }

std::optional<NodeId> SlotRing::HolderOf(SlotId slot) const {
  const NodeId holder = this->holders.at(slot);
  if (holder == 0) return std::nullopt;
  return holder;
}

bool SlotRing::Holds(SlotId slot) const {
  return this->holders.at(slot) == this->membership.Self().id;
}

Time SlotRing::ValidUntil(SlotId slot) const {
  return this->Holds(slot) ? this->clock.Now() + kValidity : Time{};
}

}  // namespace pollenring
