#include "pollenring/once/mirror.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Records copied between two sweeps for expired ones. */
constexpr std::uint64_t kCopiesPerSweep = 1024;

}  // namespace

bool OnceMirror::Copy(SlotId slot, std::uint64_t epoch,
                      const OnceRecord &record) {
  Copies *copies = this->Open(slot, epoch);
  if (copies == nullptr) return false;
  copies->records[record.key] = record;
  if (++copies->copied % kCopiesPerSweep == 0) this->DropExpired(*copies);
  return true;
}

void OnceMirror::Seed(SlotId slot, std::uint64_t epoch, const OnceLog &log) {
  Copies *copies = this->Open(slot, epoch);
  if (copies == nullptr) return;
  for (const auto &record : log.records) {
    // An aborted identifier may run again, with only the other mirror notified.
    if (record.state == OnceState::kAborted) continue;
    copies->records.emplace(record.key, record);
  }
  copies->complete_since =
      std::min(copies->complete_since, WallTime{log.complete_since_ms});
}

OnceLog OnceMirror::Close(SlotId slot, std::uint64_t epoch) {
  Copies &copies = this->slots[slot];
  copies.closed = std::max(copies.closed, epoch);
  OnceLog log;
  const bool holds = copies.epoch == epoch;
  const WallTime since = holds ? copies.complete_since : this->clock.WallNow();
  log.complete_since_ms = since.count();
  for (const auto &[key, record] : copies.records) {
    log.records.push_back(record);
  }
  return log;
}

OnceMirror::Copies *OnceMirror::Open(SlotId slot, std::uint64_t epoch) {
  Copies &copies = this->slots[slot];
  if (epoch <= copies.closed || epoch < copies.epoch) return nullptr;
  if (epoch > copies.epoch) {
    copies.epoch = epoch;
    copies.complete_since = this->clock.WallNow();
    this->DropExpired(copies);
  }
  return &copies;
}

void OnceMirror::DropExpired(Copies &copies) const {
  const WallTime oldest =
      this->clock.WallNow() - kOnceRetention - 3 * kMaxWallSkew;
  for (auto it = copies.records.begin(); it != copies.records.end();) {
    const bool old = WallTime{it->second.created_ms} < oldest;
    it = old ? copies.records.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
