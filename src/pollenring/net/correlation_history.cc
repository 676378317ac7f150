#include "pollenring/net/correlation_history.h"

#include <algorithm>

#include "pollenring/core/hash.h"

namespace pollenring::internal {

void CorrelationHistory::Add(std::string_view value, Time now, Time until) {
  while (!this->hashes.empty()) {
    const auto oldest = this->until_by_hash.find(this->hashes.front());
    if (oldest->second > now) break;
    this->until_by_hash.erase(oldest);
    this->hashes.pop_front();
  }
  const std::uint64_t hash = Hash64(value);
  const auto [known, added] = this->until_by_hash.emplace(hash, until);
  if (added) {
    this->hashes.push_back(hash);
  } else {
    known->second = std::max(known->second, until);
  }
}

bool CorrelationHistory::MayContain(std::string_view value, Time now) const {
  const auto found = this->until_by_hash.find(Hash64(value));
  return found != this->until_by_hash.end() && found->second > now;
}

}  // namespace pollenring::internal
