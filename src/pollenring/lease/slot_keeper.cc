#include "pollenring/lease/slot_keeper.h"

#include <algorithm>
#include <utility>

#include "pollenring/core/invariant.h"

namespace pollenring {

SlotKeeper::SlotKeeper(const ProcessRef &self, SlotId slots,
                       const LeaseOptions &options, const Clock &clock,
                       Random &random, const SlotDirectory &directory,
                       const Witness &witness, SlotDelegate &observer)
    : self{self},
      options{options},
      clock{clock},
      random{random},
      directory{directory},
      witness{witness},
      observer{observer},
      slots(slots) {}

Time SlotKeeper::ValidUntil(SlotId id) const {
  const Slot &slot = this->slots.at(id);
  if (slot.phase != Phase::kHeld) return Time{};
  Time until = slot.current.ValidUntil();
  // While it is unknown which row is in force, both must be promised.
  if (slot.next_sent) until = std::min(until, slot.next->ValidUntil());
  return std::min(until,
                  slot.touched + this->options.Less(this->options.lapse));
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
    // A slot is not up for claims while it is being given to a successor.
    const bool own = slot.phase == Phase::kHeld || slot.phase == Phase::kGiving;
    if (!own) continue;
    claims.push_back({id, slot.row.epoch});
  }
  return claims;
}

std::size_t SlotKeeper::Fragile() const {
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
  if (this->directory.HolderLives(id)) {
    slot.orphaned_at = Time{};
    return;
  }
  const auto rank = this->directory.Rank(id);
  if (!rank) return;
  const Time now = this->clock.Now();
  const KnownRow *known = this->MayElect(id, slot);
  if (slot.orphaned_at == Time{}) {
    slot.orphaned_at = now;
    slot.election_failed = false;
    const Duration spread = this->Jittered(this->options.claim_pause / 10);
    slot.retry_at = now + this->options.rank_pause * *rank + spread;
    slot.elect_at = now + spread;
    if (known != nullptr) {
      const auto &all = known->row.witnesses;
      const auto place = std::find(all.begin(), all.end(), this->self);
      slot.elect_at += this->options.election_pause * (place - all.begin());
    }
  }
  // Witnesses go first: what a taker makes them release can't be elected for.
  const bool to_elect = known != nullptr && !slot.election_failed;
  if (to_elect || (known != nullptr && now < slot.retry_at)) {
    if (now >= slot.elect_at) this->StartElection(id, slot, *known);
    return;
  }
  if (now < slot.retry_at) return;
  if (this->table_calls >= this->options.most_table_calls) return;
  slot.phase = Phase::kReading;
  ++this->table_calls;
  this->observer.ReadRow(id);
}

void SlotKeeper::RowRead(SlotId id, std::uint64_t version,
                         const std::optional<SlotRow> &row) {
  Slot &slot = this->slots.at(id);
  if (this->table_calls > 0) --this->table_calls;
  // The slot may have been lost, and more, since the read was begun.
  slot.reading = false;
  const bool judging = slot.phase == Phase::kHeld ||
                       slot.phase == Phase::kGiving ||
                       slot.phase == Phase::kWriting;
  if (judging) {
    this->JudgeHeldRead(id, slot, version, row);
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
  // Also a row that names this process: another one may have been elected.
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
      this->TakeNext(id, slot);
      return;
    case RowWrite::kConflict:
    case RowWrite::kUnknown:
      // A conflict may be with one's own earlier write whose answer was lost.
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
        this->KeepAfterAll(slot);
        return;
      }
      this->GiveUp(slot);
  }
}

void SlotKeeper::Answered(const ProcessRef &from, const WitnessReply &answer) {
  if (answer.slot >= this->slots.size()) return;
  Slot &slot = this->slots[answer.slot];
  switch (answer.request) {
    case WitnessRequestKind::kRelease:
      this->Released(slot, from, answer);
      return;
    case WitnessRequestKind::kVote:
      this->Voted(answer.slot, slot, from, answer);
      return;
    case WitnessRequestKind::kResign:
      return;
    case WitnessRequestKind::kPromise:
      break;
  }
  if (answer.granted) {
    this->Promised(answer.slot, slot, from, answer);
    return;
  }
  this->PromiseRefused(answer.slot, slot, from, answer);
}

void SlotKeeper::AskAll(SlotId id, const Slot &slot, const SlotRow &row,
                        WitnessRequestKind request) {
  WitnessQuery ask;
  ask.request = request;
  ask.slot = id;
  ask.epoch = row.epoch;
  ask.asker = this->self;
  ask.asked_us = this->clock.Now().count();
  const bool current =
      slot.phase == Phase::kHeld && row.epoch == slot.row.epoch;
  ask.sealing = current && slot.next;
  const RowInForce in_force = current ? this->InForce(slot) : RowInForce{};
  // Answers may come from within the calls and replace the row.
  const std::vector<ProcessRef> witnesses = row.witnesses;
  for (const auto &ref : witnesses) {
    ask.process = ref.process;
    ask.in_force = slot.told.count(ref) > 0 ? RowInForce{} : in_force;
    this->observer.Ask(ref, ask);
  }
}

RowInForce SlotKeeper::InForce(const Slot &slot) const {
  RowInForce told;
  if (slot.next_sent || slot.version == 0) return told;
  const Time ends = slot.touched + this->options.Less(this->options.lapse);
  told.row = slot.in_table;
  told.version = slot.version;
  told.lapse_left_us = (ends - this->clock.Now()).count();
  return told;
}

void SlotKeeper::GiveUp(Slot &slot) {
  slot.phase = Phase::kFree;
  slot.next.reset();
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  slot.refused = false;
  slot.adopting = false;
  slot.invited = false;
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
  return unchanged > this->options.More(this->options.lapse);
}

Duration SlotKeeper::Jittered(Duration span) {
  const double factor = 0.5 + this->random.Fraction();
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor)};
}

}  // namespace pollenring
