#include "pollenring/membership/store_watcher_role.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Tells these draws from others over the same nodes. */
constexpr std::uint64_t kDraw = 0x73746f7265;

/*! @brief Order of nodes, the same at all of them. */
[[nodiscard]] std::uint64_t OrderOf(NodeId node) noexcept {
  return HashNumber(node, kDraw);
}

}  // namespace

std::size_t StoreWatcherRole::Rank() const {
  const Member &self = this->membership.Self();
  const std::uint64_t own = OrderOf(self.id);
  std::size_t before = 0;
  for (const auto &[id, member] : this->membership.Members()) {
    if (member.state != MemberState::kAlive) continue;
    if (!this->versions.ReportsZoneWithdrawals(id)) continue;
    if (member.zone == self.zone && OrderOf(id) < own) ++before;
  }
  return before;
}

std::size_t StoreWatcherRole::Needed() const {
  std::set<std::string_view> zones{this->membership.Self().zone};
  for (const auto &[id, member] : this->membership.Members()) {
    if (member.state == MemberState::kAlive) zones.insert(member.zone);
  }
  const std::size_t spread =
      (this->options.fewest + zones.size() - 1) / zones.size();
  return std::max(this->options.per_zone, spread);
}

Duration StoreWatcherRole::NextWatch(Random &random) const {
  const double part = 0.5 + random.Fraction() / 2;
  return Duration{static_cast<std::int64_t>(
      part * static_cast<double>(this->options.longest_watch.count()))};
}

bool StoreWatcherRole::ShouldWatch() const {
  const std::size_t rank = this->Rank();
  const std::size_t needed = this->Needed();
  if (rank < needed) return true;
  const auto later = static_cast<std::int64_t>(rank - needed);
  const Duration silence =
      this->clock.Now() - this->membership.LastStoreContact();
  return silence > this->options.stale_after + this->options.step_in * later;
}

}  // namespace pollenring
