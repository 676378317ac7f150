#include "pollenring/config/withdrawn_zones.h"

#include <algorithm>

namespace pollenring {

bool WithdrawnZones::Take(const ZoneWithdrawals &given) {
  if (given.position <= this->word.position) return false;
  const bool changed = !this->Known() || given.zones != this->word.zones;
  this->word = given;
  return changed;
}

bool WithdrawnZones::Contains(const std::string &zone) const {
  return std::binary_search(this->word.zones.begin(), this->word.zones.end(),
                            zone);
}

ZoneWithdrawals After(const ZoneWithdrawals &before, std::uint64_t position,
                      const std::vector<ZoneChange> &changes) {
  ZoneWithdrawals word{position, before.zones};
  for (const auto &change : changes) {
    const auto place =
        std::lower_bound(word.zones.begin(), word.zones.end(), change.zone);
    const bool there = place != word.zones.end() && *place == change.zone;
    if (change.withdrawn && !there) word.zones.insert(place, change.zone);
    if (!change.withdrawn && there) word.zones.erase(place);
  }
  return word;
}

}  // namespace pollenring
