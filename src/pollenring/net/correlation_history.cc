#include "pollenring/net/correlation_history.h"

#include <algorithm>

#include "pollenring/core/hash.h"

namespace pollenring::internal {

void CorrelationHistory::Add(std::string_view value, Time now, Time until) {
  while (!this->entries.empty() && this->entries.front().until <= now) {
    this->entries.pop_front();
  }
  this->entries.push_back({Hash64(value), until});
}

bool CorrelationHistory::MayContain(std::string_view value, Time now) const {
  const std::uint64_t hash = Hash64(value);
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [hash, now](const Entry &entry) {
                       return entry.hash == hash && entry.until > now;
                     });
}

}  // namespace pollenring::internal
