#include "pollenring/membership/store_watcher_role.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Salt that separates this order from others of the same nodes. */
constexpr std::uint64_t kOrderSalt = 0x73746f7265;

/*! @brief Order of nodes, the same on all of them. */
[[nodiscard]] std::uint64_t OrderOf(NodeId node) noexcept {
  return HashNumber(node, kOrderSalt);
}

}  // namespace

std::size_t StoreWatcherRole::Rank() const {
  const Member &self = this->membership.Self();
  const std::uint64_t own = OrderOf(self.id);
  std::size_t preceding = 0;
  for (const auto &[id, member] : this->membership.Members()) {
    if (member.state != MemberState::kAlive) continue;
    if (!this->versions.ReportsZoneWithdrawals(id)) continue;
    if (member.zone == self.zone && OrderOf(id) < own) ++preceding;
  }
  return preceding;
}

std::size_t StoreWatcherRole::Needed() const {
  std::set<std::string_view> zones{this->membership.Self().zone};
  for (const auto &[id, member] : this->membership.Members()) {
    if (member.state == MemberState::kAlive) zones.insert(member.zone);
  }
  const std::size_t for_minimum =
      (this->options.min_total + zones.size() - 1) / zones.size();
  return std::max(this->options.per_zone, for_minimum);
}

Duration StoreWatcherRole::NextWatch(Random &random) const {
  const double fraction = 0.5 + random.Fraction() / 2;
  return Duration{static_cast<std::int64_t>(
      fraction * static_cast<double>(this->options.max_watch.count()))};
}

bool StoreWatcherRole::ShouldWatch() const {
  const std::size_t rank = this->Rank();
  const std::size_t needed = this->Needed();
  if (rank < needed) return true;
  const auto takeover_rank = static_cast<std::int64_t>(rank - needed);
  const Duration contact_age =
      this->clock.Now() - this->membership.LastStoreContact();
  const Duration delay =
      std::min(this->options.takeover_interval * takeover_rank,
               this->options.max_takeover_delay);
  return contact_age > this->options.stale_after + delay;
}

}  // namespace pollenring
