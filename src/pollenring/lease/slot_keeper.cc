#include "pollenring/lease/slot_keeper.h"

#include <algorithm>
#include <utility>

#include "pollenring/core/invariant.h"

namespace pollenring {

SlotKeeper::SlotKeeper(const ProcessRef &self, SlotId slots,
                       const LeaseOptions &options, const Clock &clock,
                       Random &random, const SlotDirectory &directory,
                       const Witness &witness, SlotDelegate &delegate)
    : self{self},
      options{options},
      clock{clock},
      random{random},
      directory{directory},
      witness{witness},
      delegate{delegate},
      slots(slots) {}

Time SlotKeeper::ValidUntil(SlotId id) const {
  const Slot &slot = this->slots.at(id);
  if (slot.phase != Phase::kHeld) return Time{};
  Time until = slot.current.ValidUntil();
  // While either row may be the active one, both must be promised.
  if (slot.next_sent) until = std::min(until, slot.next->ValidUntil());
  return std::min(until, slot.last_written + this->options.ShortenForDrift(
                                                 this->options.lapse));
}

const SlotRow *SlotKeeper::Held(SlotId id) const {
  const Slot &slot = this->slots.at(id);
  return slot.phase == Phase::kHeld ? &slot.row : nullptr;
}

std::string_view SlotKeeper::PhaseName(SlotId id) const {
  return kPhaseNames.Name(this->slots.at(id).phase);
}

std::vector<SlotClaim> SlotKeeper::Claims() const {
  std::vector<SlotClaim> claims;
  for (SlotId id = 0; id < this->slots.size(); ++id) {
    const Slot &slot = this->slots[id];
    // A slot can't be claimed while it is being handed over.
    const bool own = slot.phase == Phase::kHeld || slot.phase == Phase::kGiving;
    if (!own) continue;
    claims.push_back({id, slot.row.epoch});
  }
  return claims;
}

std::size_t SlotKeeper::SoleWitnessCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->slots.begin(), this->slots.end(), [this](const Slot &slot) {
        if (slot.phase != Phase::kHeld) return false;
        const auto &all = slot.row.witnesses;
        return all.size() == 1 && all.front() == this->self;
      }));
}

void SlotKeeper::Tick() {
  for (SlotId id = 0; id < this->slots.size(); ++id) {
    Slot &slot = this->slots[id];
    this->ReadAgain(id, slot);
    switch (slot.phase) {
      case Phase::kFree:
        this->TickFree(id, slot);
        break;
      case Phase::kElecting:
        this->TickElecting(id, slot);
        break;
      case Phase::kReleasing:
        this->TickReleasing(id, slot);
        break;
      case Phase::kWaiting:
        if (this->clock.Now() >= slot.wait_until) {
          this->StartPromising(id, slot);
        }
        break;
      case Phase::kPromising:
      case Phase::kAdopting:
        this->TickPromising(id, slot);
        break;
      case Phase::kHeld:
        this->TickHeld(id, slot);
        break;
      default:
        break;
    }
  }
}

void SlotKeeper::TickFree(SlotId id, Slot &slot) {
  if (!this->claiming) return;
  if (this->directory.IsHolderAlive(id)) {
    slot.orphaned_at = Time{};
    return;
  }
  const auto rank = this->directory.Rank(id);
  if (!rank) return;
  const Time now = this->clock.Now();
  const KnownRow *known = this->ElectableRow(id, slot);
  if (slot.orphaned_at == Time{}) {
    slot.orphaned_at = now;
    slot.election_failed = false;
    const Duration spread = this->Jittered(this->options.claim_pause / 10);
    slot.retry_at = now + this->options.rank_pause * *rank + spread;
    slot.elect_at = now + spread;
    if (known != nullptr) {
      const auto &all = known->row.witnesses;
      const auto position = std::find(all.begin(), all.end(), this->self);
      slot.elect_at += this->options.election_pause * (position - all.begin());
    }
  }
  // Election first: witnesses that have released a row can't elect under it.
  const bool to_elect = known != nullptr && !slot.election_failed;
  if (to_elect || (known != nullptr && now < slot.retry_at)) {
    if (now >= slot.elect_at) this->StartElection(id, slot, *known);
    return;
  }
  if (now < slot.retry_at) return;
  if (this->table_calls >= this->options.max_table_calls) return;
  slot.phase = Phase::kReading;
  ++this->table_calls;
  this->delegate.ReadRow(id);
}

void SlotKeeper::RowRead(SlotId id, std::uint64_t version,
                         const std::optional<SlotRow> &row) {
  Slot &slot = this->slots.at(id);
  if (this->table_calls > 0) --this->table_calls;
  // The slot may have changed state since the read began.
  slot.reading = false;
  const bool holds_or_writes = slot.phase == Phase::kHeld ||
                               slot.phase == Phase::kGiving ||
                               slot.phase == Phase::kWriting;
  if (holds_or_writes) {
    this->HandleHeldRead(id, slot, version, row);
    return;
  }
  if (slot.phase != Phase::kReading) return;
  const bool adopts = std::exchange(slot.adopting, false);
  if (adopts && row && this->IsMine(*row)) {
    this->StartAdopting(id, slot, version, *row);
    return;
  }
  slot.version = version;
  slot.row = row.value_or(SlotRow{});
  slot.in_table = slot.row;
  slot.last_promise = LastPromise{};
  const Time now = this->clock.Now();
  if (slot.seen_version != version || slot.seen_since == Time{}) {
    slot.seen_version = version;
    slot.seen_since = now;
  }
  const bool unclaimed = version == 0 || slot.row.witnesses.empty();
  if (unclaimed || this->Lapsed(slot)) {
    this->StartPromising(id, slot);
    return;
  }
  // Also for a row that names this process: another one may have been elected.
  this->StartReleasing(id, slot);
}

void SlotKeeper::RowUnreadable(SlotId id) {
  Slot &slot = this->slots.at(id);
  if (this->table_calls > 0) --this->table_calls;
  slot.reading = false;
  if (slot.phase == Phase::kReading) this->GiveUp(slot);
}

void SlotKeeper::RowWritten(SlotId id, RowWrite result) {
  Slot &slot = this->slots.at(id);
  if (this->table_calls > 0) --this->table_calls;
  if (!slot.next_sent) return;
  switch (result) {
    case RowWrite::kWritten:
      this->ActivateNext(id, slot);
      return;
    case RowWrite::kConflict:
    case RowWrite::kUnknown:
      // Possibly with this node's own earlier write, whose response was lost.
      slot.in_doubt = true;
      slot.must_read = true;
      slot.retry_at = this->clock.Now();
      return;
    case RowWrite::kUnavailable:
      if (slot.in_doubt) {
        slot.must_read = true;
        return;
      }
      if (slot.phase == Phase::kHeld || slot.phase == Phase::kGiving) {
        this->ResumeHeld(slot);
        return;
      }
      this->GiveUp(slot);
  }
}

void SlotKeeper::HandleReply(const ProcessRef &from,
                             const WitnessReply &reply) {
  if (reply.slot >= this->slots.size()) return;
  Slot &slot = this->slots[reply.slot];
  switch (reply.request) {
    case WitnessRequestKind::kRelease:
      this->Released(slot, from, reply);
      return;
    case WitnessRequestKind::kVote:
      this->Voted(reply.slot, slot, from, reply);
      return;
    case WitnessRequestKind::kResign:
      return;
    case WitnessRequestKind::kPromise:
      break;
  }
  if (reply.granted) {
    this->Promised(reply.slot, slot, from, reply);
    return;
  }
  this->PromiseRefused(reply.slot, slot, from, reply);
}

void SlotKeeper::QueryAll(SlotId id, const Slot &slot, const SlotRow &row,
                          WitnessRequestKind request) {
  WitnessQuery query;
  query.request = request;
  query.slot = id;
  query.epoch = row.epoch;
  query.sender = this->self;
  query.sent_us = this->clock.Now().count();
  const bool current =
      slot.phase == Phase::kHeld && row.epoch == slot.row.epoch;
  query.sealing = current && slot.next;
  const ActiveRow active_row = current ? this->ActiveRowOf(slot) : ActiveRow{};
  // Replies may arrive within the calls and replace the row.
  const std::vector<ProcessRef> witnesses = row.witnesses;
  for (const auto &ref : witnesses) {
    query.process = ref.process;
    query.active_row = slot.informed.count(ref) > 0 ? ActiveRow{} : active_row;
    this->delegate.SendQuery(ref, query);
  }
}

ActiveRow SlotKeeper::ActiveRowOf(const Slot &slot) const {
  ActiveRow active;
  if (slot.next_sent || slot.version == 0) return active;
  const Time ends =
      slot.last_written + this->options.ShortenForDrift(this->options.lapse);
  active.row = slot.in_table;
  active.version = slot.version;
  active.lapse_left_us = (ends - this->clock.Now()).count();
  return active;
}

void SlotKeeper::GiveUp(Slot &slot) {
  slot.phase = Phase::kFree;
  slot.next.reset();
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  slot.refused = false;
  slot.adopting = false;
  slot.holder_resigned = false;
  slot.retry_at =
      this->clock.Now() + this->Jittered(this->options.claim_pause * 2);
  slot.elect_at =
      this->clock.Now() + this->Jittered(this->options.election_pause);
}

bool SlotKeeper::IsMine(const SlotRow &row) const noexcept {
  return row.holder == this->self;
}

bool SlotKeeper::IsWitness(const SlotRow &row, const ProcessRef &ref) {
  const auto &all = row.witnesses;
  return std::find(all.begin(), all.end(), ref) != all.end();
}

bool SlotKeeper::Lapsed(const Slot &slot) const noexcept {
  const Duration unchanged = this->clock.Now() - slot.seen_since;
  return unchanged > this->options.LengthenForDrift(this->options.lapse);
}

Duration SlotKeeper::Jittered(Duration span) {
  const double factor = 0.5 + this->random.Fraction();
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor)};
}

}  // namespace pollenring
