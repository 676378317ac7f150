#include <algorithm>
#include <utility>

#include "pollenring/lease/slot_keeper.h"

namespace pollenring {

const KnownRow *SlotKeeper::MayElect(SlotId id, const Slot &slot) const {
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
  slot.touched = known.ends - this->options.Less(this->options.lapse);
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

bool SlotKeeper::AsksNow(Slot &slot) {
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
  const KnownRow *known = this->MayElect(id, slot);
  if (!this->claiming || slot.phase != Phase::kFree || known == nullptr) return;
  slot.invited = true;
  this->StartElection(id, slot, *known);
}

void SlotKeeper::TickElecting(SlotId id, Slot &slot) {
  if (!slot.invited && this->directory.HolderLives(id)) {
    this->GiveUp(slot);
    return;
  }
  if (this->clock.Now() >= slot.round_ends) slot.election_failed = true;
  if (!this->AsksNow(slot)) return;
  this->AskAll(id, slot, slot.next->Row(), WitnessRequestKind::kVote);
}

void SlotKeeper::Voted(SlotId id, Slot &slot, const ProcessRef &from,
                       const WitnessReply &answer) {
  if (slot.phase != Phase::kElecting) return;
  const SlotRow &next = slot.next->Row();
  if (next.epoch != answer.epoch || !IsWitness(next, from)) return;
  if (!answer.granted) {
    const std::uint64_t seen = std::max(answer.released, answer.voted);
    slot.highest_vote = std::max(slot.highest_vote, seen);
    // Another one stands for this epoch or a later one.
    if (seen >= next.epoch) this->GiveUp(slot);
    return;
  }
  slot.agreed.insert(from);
  this->NoteLastPromise(slot, from, answer);
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
  if (!this->AsksNow(slot)) return;
  SlotRow over = slot.row;
  over.epoch = LastEpochOf(slot.row.epoch);
  this->AskAll(id, slot, over, WitnessRequestKind::kRelease);
}

void SlotKeeper::Released(Slot &slot, const ProcessRef &from,
                          const WitnessReply &answer) {
  const bool expected =
      slot.phase == Phase::kReleasing || slot.phase == Phase::kWaiting;
  if (!expected || LastEpochOf(slot.row.epoch) != answer.epoch) return;
  if (!IsWitness(slot.row, from)) return;
  this->NoteLastPromise(slot, from, answer);
  if (!slot.agreed.insert(from).second) return;
  const Duration remaining{answer.remaining_us};
  const Time end = this->clock.Now() + this->options.More(remaining);
  slot.wait_until = std::max(slot.wait_until, end);
  if (slot.agreed.size() < slot.row.Majority()) return;
  slot.phase = Phase::kWaiting;
}

void SlotKeeper::NoteLastPromise(Slot &slot, const ProcessRef &from,
                                 const WitnessReply &answer) const {
  if (!answer.remembers) return;
  LastPromise &last = slot.last_promise;
  last.told_by.insert(from);
  if (answer.promised <= last.epoch) return;
  last.epoch = answer.promised;
  last.holder = answer.promised_to;
}

SlotRow SlotKeeper::LastHolder(const Slot &slot) const {
  SlotRow last = slot.in_table;
  if (last.epoch == 0) return last;
  // Whoever was valid has promises of a majority, so a majority knows of it.
  if (slot.last_promise.told_by.size() < last.Majority()) {
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
  if (!this->AsksNow(slot)) return;
  this->AskAll(id, slot, slot.next->Row(), WitnessRequestKind::kPromise);
}

void SlotKeeper::Promised(SlotId id, Slot &slot, const ProcessRef &from,
                          const WitnessReply &answer) {
  const Time asked{answer.asked_us};
  const Time end = asked + this->options.Less(this->options.promise);
  const bool for_current =
      slot.phase == Phase::kHeld && slot.row.epoch == answer.epoch;
  if (for_current) {
    slot.current.Given(from, end);
    if (answer.knows >= slot.in_table.epoch) slot.told.insert(from);
    const bool counts = answer.sealed && slot.next && asked >= slot.seal_from;
    if (counts && IsWitness(slot.row, from)) slot.sealed.insert(from);
    this->SendChange(id, slot);
  }
  if (!slot.next || slot.next->Row().epoch != answer.epoch) return;
  slot.next->Given(from, end);
  if (slot.next->ValidUntil() <= this->clock.Now()) return;
  switch (slot.phase) {
    case Phase::kPromising:
      if (IsElected(answer.epoch)) {
        const SlotRow before = this->LastHolder(slot);
        slot.current = *std::exchange(slot.next, std::nullopt);
        this->Hold(id, slot, SlotOrigin::kTakenOver, before);
        return;
      }
      if (this->table_calls >= this->options.most_table_calls) return;
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
  this->observer.ReadRow(id);
}

void SlotKeeper::StartAdopting(SlotId id, Slot &slot, std::uint64_t version,
                               const SlotRow &row) {
  slot.version = version;
  slot.next = Promises{row};
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  // The giver's write is older than its news: stay well within its lapse.
  slot.touched = slot.write_sent - this->options.lapse / 2;
  this->StartRound(slot, Phase::kAdopting);
  this->TickPromising(id, slot);
}

}  // namespace pollenring
