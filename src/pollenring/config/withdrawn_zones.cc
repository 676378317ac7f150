#include "pollenring/config/withdrawn_zones.h"

#include <algorithm>

namespace pollenring {

bool WithdrawnZones::Take(const ZoneWithdrawals &given) {
  if (given.revision <= this->withdrawals.revision) return false;
  const bool changed =
      !this->HasRevision() || given.zones != this->withdrawals.zones;
  this->withdrawals = given;
  return changed;
}

bool WithdrawnZones::Contains(const std::string &zone) const {
  return std::binary_search(this->withdrawals.zones.begin(),
                            this->withdrawals.zones.end(), zone);
}

ZoneWithdrawals ApplyZoneChanges(const ZoneWithdrawals &before,
                                 std::uint64_t revision,
                                 const std::vector<ZoneChange> &changes) {
  ZoneWithdrawals withdrawals{revision, before.zones};
  for (const auto &change : changes) {
    const auto place = std::lower_bound(withdrawals.zones.begin(),
                                        withdrawals.zones.end(), change.zone);
    const bool there =
        place != withdrawals.zones.end() && *place == change.zone;
    if (change.withdrawn && !there)
      withdrawals.zones.insert(place, change.zone);
    if (!change.withdrawn && there) withdrawals.zones.erase(place);
  }
  return withdrawals;
}

}  // namespace pollenring
