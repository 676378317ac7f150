#include "pollenring/mesh/slot_ring.h"

#include <utility>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Number of slots; several times what workspaces of one deployment
 * need. Each costs a hash per member on a change. */
constexpr SlotId kSlots = 32;
/*! @brief Time without messages from any peer after which a node counts as
 * partitioned; it receives replies to its probes several times a second. */
constexpr Duration kIsolatedAfter = std::chrono::milliseconds{1200};
/*! @brief Maximum duration of a loan; slots are reassigned far more often. */
constexpr Duration kMaxLoan = std::chrono::seconds{2};

[[nodiscard]] bool IsLive(const Member &member) noexcept {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

[[nodiscard]] std::uint64_t WeightOf(SlotId slot, NodeId node) noexcept {
  return HashNumber(node, slot);
}

}  // namespace

SlotRing::SlotRing(const Membership &membership, const Clock &clock,
                   bool first_start)
    : membership{membership},
      clock{clock},
      first_start{first_start},
      holders(kSlots) {}

void SlotRing::Update(SlotListener &listener) {
  if (this->applied_changes == this->membership.Changes()) return;
  this->applied_changes = this->membership.Changes();
  this->live = 1;
  for (const auto &[id, member] : this->membership.Members()) {
    if (IsLive(member)) ++this->live;
  }
  this->unreachable = this->membership.UnreachableMembers();
  const NodeId self = this->membership.Self().id;
  for (SlotId slot = 0; slot < kSlots; ++slot) {
    NodeId best = 0;
    std::uint64_t weight = 0;
    const auto consider = [&](const Member &member) {
      if (!IsLive(member)) return;
      const std::uint64_t candidate = WeightOf(slot, member.id);
      if (best != 0 && candidate <= weight) return;
      best = member.id;
      weight = candidate;
    };
    consider(this->membership.Self());
    for (const auto &[id, member] : this->membership.Members()) {
      consider(member);
    }
    const NodeId before = std::exchange(this->holders[slot], best);
    if (before == best) continue;
    if (before == self) listener.SlotLost(slot);
    if (best != self) continue;
    SlotRow last;
    last.epoch = this->first_start ? 0 : 1;
    listener.SlotGained(slot, {}, SlotOrigin::kTakenOver, last);
  }
}

double SlotRing::LendableFraction() const noexcept {
  const bool isolated = this->membership.SinceLastContact() > kIsolatedAfter;
  const auto all = static_cast<double>(this->live + this->unreachable);
  return (isolated ? 1.0 : static_cast<double>(this->live)) / all;
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
  return this->Holds(slot) ? this->clock.Now() + kMaxLoan : Time{};
}

}  // namespace pollenring
