#include "pollenring/membership/departures.h"

#include <algorithm>
#include <tuple>

namespace pollenring {
namespace {

[[nodiscard]] bool StartedLater(const Departure &a, const Departure &b) {
  return std::tie(a.started_at_ms, a.instance) >
         std::tie(b.started_at_ms, b.instance);
}

}  // namespace

bool Departures::Add(const Departure &departure) {
  const auto known = std::find_if(
      this->entries.begin(), this->entries.end(),
      [&](const auto &entry) { return entry.instance == departure.instance; });
  if (known != this->entries.end()) {
    if (known->started_at_ms >= departure.started_at_ms) return false;
    this->entries.erase(known);
  }
  const auto at = std::lower_bound(this->entries.begin(), this->entries.end(),
                                   departure, StartedLater);
  if (at == this->entries.end() && this->entries.size() >= kMaxEntries)
    return false;
  this->entries.insert(at, departure);
  if (this->entries.size() > kMaxEntries) this->entries.pop_back();
  return true;
}

bool Departures::Merge(const Departures &other) {
  bool changed = false;
  for (const auto &entry : other.entries) changed |= this->Add(entry);
  return changed;
}

const Departure *Departures::Find(const std::string &instance) const {
  const auto found = std::find_if(
      this->entries.begin(), this->entries.end(),
      [&](const auto &entry) { return entry.instance == instance; });
  return found == this->entries.end() ? nullptr : &*found;
}

bool Departures::Covers(const std::string &instance,
                        std::uint64_t started_at_ms) const {
  const Departure *departure = this->Find(instance);
  return departure != nullptr && departure->started_at_ms >= started_at_ms;
}

bool Departures::Includes(const Departures &other) const {
  return !Departures{*this}.Merge(other);
}

}  // namespace pollenring
