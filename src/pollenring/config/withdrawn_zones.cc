#include "pollenring/config/withdrawn_zones.h"

#include <algorithm>

namespace pollenring {

bool WithdrawnZones::Merge(const ZoneWithdrawals &reported) {
  if (!reported.Supersedes(this->withdrawals)) return false;
  const bool changed =
      !this->HasRevision() || reported.zones != this->withdrawals.zones;
  this->withdrawals = reported;
  return changed;
}

bool WithdrawnZones::Contains(const std::string &zone) const {
  return std::binary_search(this->withdrawals.zones.begin(),
                            this->withdrawals.zones.end(), zone);
}

ZoneWithdrawals ApplyZoneChanges(const ZoneWithdrawals &before,
                                 std::uint64_t revision,
                                 const std::vector<ZoneChange> &changes) {
  ZoneWithdrawals withdrawals{revision, before.zones, before.era};
  for (const auto &change : changes) {
    const auto found = std::lower_bound(withdrawals.zones.begin(),
                                        withdrawals.zones.end(), change.zone);
    const bool present =
        found != withdrawals.zones.end() && *found == change.zone;
    if (change.withdrawn && !present)
      withdrawals.zones.insert(found, change.zone);
    if (!change.withdrawn && present) withdrawals.zones.erase(found);
  }
  return withdrawals;
}

}  // namespace pollenring
