#include <algorithm>
#include <utility>

#include "pollenring/lease/slot_keeper.h"

namespace pollenring {

const KnownRow *SlotKeeper::ElectableRow(SlotId id, const Slot &slot) const {
  const KnownRow *known = this->witness.Known(id);
  if (known == nullptr || !IsWitness(known->row, this->self)) return nullptr;
  // A later row has been read from the table.
  if (known->row.epoch < RowEpochOf(slot.row.epoch)) return nullptr;
  const bool over = slot.highest_vote + 1 >= LastEpochOf(known->row.epoch);
  const bool late = this->clock.Now() + this->options.promise >= known->ends;
  return over || late ? nullptr : known;
}

void SlotKeeper::StartElection(SlotId id, Slot &slot, const KnownRow &known) {
  slot.row = known.row;
  slot.in_table = known.row;
  slot.version = known.version;
  slot.last_written =
      known.ends - this->options.ShortenForDrift(this->options.lapse);
  slot.last_promise = LastPromise{};
  slot.agreed.clear();
  SlotRow next = known.row;
  next.epoch = std::max(slot.highest_vote, known.row.epoch) + 1;
  next.holder = this->self;
  slot.next = Promises{std::move(next)};
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  this->StartRound(slot, Phase::kElecting);
  this->TickElecting(id, slot);
}

void SlotKeeper::StartRound(Slot &slot, Phase phase) {
  slot.phase = phase;
  slot.next_send = this->clock.Now();
  slot.round_ends = this->clock.Now() + this->options.round_timeout;
}

bool SlotKeeper::DueToSend(Slot &slot) {
  const Time now = this->clock.Now();
  if (now >= slot.round_ends) {
    this->GiveUp(slot);
    return false;
  }
  if (now < slot.next_send) return false;
  slot.next_send = now + this->options.resend;
  return true;
}

void SlotKeeper::Campaign(SlotId id) {
  Slot &slot = this->slots.at(id);
  const KnownRow *known = this->ElectableRow(id, slot);
  if (!this->claiming || slot.phase != Phase::kFree || known == nullptr) return;
  slot.holder_resigned = true;
  this->StartElection(id, slot, *known);
}

void SlotKeeper::TickElecting(SlotId id, Slot &slot) {
  if (!slot.holder_resigned && this->directory.IsHolderAlive(id)) {
    this->GiveUp(slot);
    return;
  }
  if (this->clock.Now() >= slot.round_ends) slot.election_failed = true;
  if (!this->DueToSend(slot)) return;
  this->QueryAll(id, slot, slot.next->Row(), WitnessRequestKind::kVote);
}

void SlotKeeper::Voted(SlotId id, Slot &slot, const ProcessRef &from,
                       const WitnessReply &reply) {
  if (slot.phase != Phase::kElecting) return;
  const SlotRow &next = slot.next->Row();
  if (next.epoch != reply.epoch || !IsWitness(next, from)) return;
  if (!reply.granted) {
    const std::uint64_t seen = std::max(reply.released, reply.voted);
    slot.highest_vote = std::max(slot.highest_vote, seen);
    // Another process is a candidate for this epoch or a later one.
    if (seen >= next.epoch) this->GiveUp(slot);
    return;
  }
  slot.agreed.insert(from);
  this->RecordLastPromise(slot, from, reply);
  if (slot.agreed.size() < next.Majority()) return;
  this->StartRound(slot, Phase::kPromising);
  this->TickPromising(id, slot);
}

void SlotKeeper::StartReleasing(SlotId id, Slot &slot) {
  slot.agreed.clear();
  slot.wait_until = this->clock.Now();
  this->StartRound(slot, Phase::kReleasing);
  this->TickReleasing(id, slot);
}

void SlotKeeper::TickReleasing(SlotId id, Slot &slot) {
  if (!this->DueToSend(slot)) return;
  SlotRow over = slot.row;
  over.epoch = LastEpochOf(slot.row.epoch);
  this->QueryAll(id, slot, over, WitnessRequestKind::kRelease);
}

void SlotKeeper::Released(Slot &slot, const ProcessRef &from,
                          const WitnessReply &reply) {
  const bool expected =
      slot.phase == Phase::kReleasing || slot.phase == Phase::kWaiting;
  if (!expected || LastEpochOf(slot.row.epoch) != reply.epoch) return;
  if (!IsWitness(slot.row, from)) return;
  this->RecordLastPromise(slot, from, reply);
  if (!slot.agreed.insert(from).second) return;
  const Duration remaining{reply.remaining_us};
  const Time end =
      this->clock.Now() + this->options.LengthenForDrift(remaining);
  slot.wait_until = std::max(slot.wait_until, end);
  if (slot.agreed.size() < slot.row.Majority()) return;
  slot.phase = Phase::kWaiting;
}

void SlotKeeper::RecordLastPromise(Slot &slot, const ProcessRef &from,
                                   const WitnessReply &reply) const {
  if (!reply.remembers) return;
  LastPromise &last = slot.last_promise;
  last.reported_by.insert(from);
  if (reply.promised <= last.epoch) return;
  last.epoch = reply.promised;
  last.holder = reply.promised_to;
}

SlotRow SlotKeeper::LastHolder(const Slot &slot) const {
  SlotRow last = slot.in_table;
  if (last.epoch == 0) return last;
  // A valid holder has promises of a majority, so any majority knows of it.
  if (slot.last_promise.reported_by.size() < last.Majority()) {
    last.holder = ProcessRef{};
    last.witnesses.clear();
    return last;
  }
  if (slot.last_promise.epoch <= last.epoch) return last;
  last.epoch = slot.last_promise.epoch;
  last.holder = slot.last_promise.holder;
  return last;
}

void SlotKeeper::StartPromising(SlotId id, Slot &slot) {
  SlotRow next;
  next.epoch = NextRowEpoch(slot.row.epoch);
  next.holder = this->self;
  next.witnesses = this->directory.WitnessesFor(this->self);
  slot.next = Promises{std::move(next)};
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  this->StartRound(slot, Phase::kPromising);
  this->TickPromising(id, slot);
}

void SlotKeeper::TickPromising(SlotId id, Slot &slot) {
  if (!this->DueToSend(slot)) return;
  this->QueryAll(id, slot, slot.next->Row(), WitnessRequestKind::kPromise);
}

void SlotKeeper::Promised(SlotId id, Slot &slot, const ProcessRef &from,
                          const WitnessReply &reply) {
  const Time sent{reply.sent_us};
  const Time end = sent + this->options.ShortenForDrift(this->options.promise);
  const bool for_current =
      slot.phase == Phase::kHeld && slot.row.epoch == reply.epoch;
  if (for_current) {
    slot.current.Record(from, end);
    if (reply.known_epoch >= slot.in_table.epoch) slot.informed.insert(from);
    const bool counts = reply.sealed && slot.next && sent >= slot.seal_from;
    if (counts && IsWitness(slot.row, from)) slot.sealed.insert(from);
    this->SendChange(id, slot);
  }
  if (!slot.next || slot.next->Row().epoch != reply.epoch) return;
  slot.next->Record(from, end);
  if (slot.next->ValidUntil() <= this->clock.Now()) return;
  switch (slot.phase) {
    case Phase::kPromising:
      if (IsElected(reply.epoch)) {
        const SlotRow before = this->LastHolder(slot);
        slot.current = *std::exchange(slot.next, std::nullopt);
        this->Hold(id, slot, SlotOrigin::kTakenOver, before);
        return;
      }
      if (this->table_calls >= this->options.max_table_calls) return;
      slot.phase = Phase::kWriting;
      this->SendWrite(id, slot);
      return;
    case Phase::kAdopting: {
      const SlotRow before = slot.row;
      slot.current = *std::exchange(slot.next, std::nullopt);
      slot.in_table = slot.current.Row();
      this->Hold(id, slot, SlotOrigin::kHandedOver, before);
      return;
    }
    default:
      this->SendChange(id, slot);
  }
}

void SlotKeeper::AcceptHandover(SlotId id, const SlotRow &row) {
  Slot &slot = this->slots.at(id);
  if (!this->IsMine(row) || row.epoch <= slot.row.epoch) return;
  const bool claims_already = slot.phase == Phase::kReading;
  if (!claims_already && slot.phase != Phase::kFree) return;
  slot.adopting = true;
  slot.write_sent = this->clock.Now();
  if (claims_already) return;
  slot.phase = Phase::kReading;
  ++this->table_calls;
  this->delegate.ReadRow(id);
}

void SlotKeeper::StartAdopting(SlotId id, Slot &slot, std::uint64_t version,
                               const SlotRow &row) {
  slot.version = version;
  slot.next = Promises{row};
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  // The write is older than its notification: stay well within the lapse.
  slot.last_written = slot.write_sent - this->options.lapse / 2;
  this->StartRound(slot, Phase::kAdopting);
  this->TickPromising(id, slot);
}

}  // namespace pollenring
