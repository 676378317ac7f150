#include <algorithm>
#include <utility>

#include "pollenring/core/invariant.h"
#include "pollenring/lease/slot_keeper.h"

namespace pollenring {

void SlotKeeper::Hold(SlotId id, Slot &slot, SlotOrigin origin,
                      const SlotRow &before) {
  slot.row = slot.current.Row();
  slot.phase = Phase::kHeld;
  slot.sealed.clear();
  slot.outvoted.clear();
  slot.told.clear();
  slot.orphaned_at = Time{};
  // The witnesses hear at once that the row is in force.
  slot.next_send = this->clock.Now();
  this->observer.Gained(id, slot.row, origin, before);
}

void SlotKeeper::TickHeld(SlotId id, Slot &slot) {
  const Time now = this->clock.Now();
  if (now >= slot.next_send) this->Renew(id, slot);
  this->SendChange(id, slot);
  if (slot.phase != Phase::kHeld) return;
  const bool stalled = slot.next && !slot.next_sent && now >= slot.round_ends;
  if (stalled) {
    slot.next.reset();
    slot.next_send = now;
  }
  const bool waits = slot.next || slot.reading || slot.must_read;
  if (waits || now < slot.retry_at || now < slot.next_check) return;
  slot.next_check = now + this->options.claim_pause;
  const auto best = this->directory.WitnessesFor(this->self);
  const bool one_is_gone = std::any_of(
      slot.row.witnesses.begin(), slot.row.witnesses.end(),
      [this](const auto &ref) { return !this->directory.Lives(ref); });
  const bool only_self = slot.row.witnesses.size() == 1 &&
                         slot.row.witnesses.front() == this->self;
  const bool more_to_be_had = best.size() > slot.row.witnesses.size() ||
                              (only_self && best != slot.row.witnesses);
  const bool due =
      now - slot.touched > this->options.lapse / 3 && this->claiming;
  const bool elected = IsElected(slot.row.epoch);
  const bool invalid = now >= this->ValidUntil(id);
  if (!one_is_gone && !more_to_be_had && !due && !elected && !invalid) return;
  this->ChangeWitnesses(id, slot);
}

void SlotKeeper::Renew(SlotId id, Slot &slot) {
  slot.next_send = this->clock.Now() + this->options.renewal;
  this->AskAll(id, slot, slot.row, WitnessRequestKind::kPromise);
  const bool own = slot.next && this->IsMine(slot.next->Row());
  if (own)
    this->AskAll(id, slot, slot.next->Row(), WitnessRequestKind::kPromise);
}

void SlotKeeper::ChangeWitnesses(SlotId id, Slot &slot) {
  SlotRow next;
  next.epoch = NextRowEpoch(slot.row.epoch);
  next.holder = this->self;
  next.witnesses = this->directory.WitnessesFor(this->self);
  this->StartChange(id, slot, std::move(next));
}

void SlotKeeper::HandOverTo(SlotId id, const ProcessRef &successor) {
  Slot &slot = this->slots.at(id);
  if (slot.phase != Phase::kHeld || slot.next_sent || slot.must_read) return;
  const bool gives = slot.next && !this->IsMine(slot.next->Row());
  if (gives) return;
  SlotRow next;
  next.epoch = NextRowEpoch(slot.row.epoch);
  next.holder = successor;
  next.witnesses = this->directory.WitnessesFor(successor);
  this->StartChange(id, slot, std::move(next));
}

bool SlotKeeper::Resign(SlotId id, const ProcessRef &successor) {
  Slot &slot = this->slots.at(id);
  const bool idle = slot.phase == Phase::kHeld && !slot.next_sent;
  if (!idle || !slot.must_read || !IsWitness(slot.row, successor)) return false;
  const SlotRow row = slot.row;
  this->GiveUp(slot);
  this->AskAll(id, slot, row, WitnessRequestKind::kResign);
  this->observer.HandedOver(id, row, successor);
  return true;
}

void SlotKeeper::StartChange(SlotId id, Slot &slot, SlotRow next) {
  const Time now = this->clock.Now();
  slot.next = Promises{std::move(next)};
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.sealed.clear();
  slot.seal_from = now;
  slot.wait_until = now;
  slot.retry_at = now + this->options.claim_pause;
  slot.round_ends = now + this->options.round_timeout;
  this->Renew(id, slot);
}

void SlotKeeper::SendChange(SlotId id, Slot &slot) {
  if (slot.phase != Phase::kHeld || !slot.next || slot.next_sent) return;
  // As long as the row's witnesses may elect somebody, no other may follow it.
  if (slot.sealed.size() < slot.row.Majority()) return;
  const Time now = this->clock.Now();
  if (now < slot.wait_until) return;
  const bool gives = !this->IsMine(slot.next->Row());
  if (!gives && slot.next->ValidUntil() <= now) return;
  if (this->table_calls >= this->options.most_table_calls) return;
  if (gives) slot.phase = Phase::kGiving;
  this->SendWrite(id, slot);
}

void SlotKeeper::SendWrite(SlotId id, Slot &slot) {
  slot.next_sent = true;
  slot.write_sent = this->clock.Now();
  ++this->table_calls;
  this->observer.WriteRow(id, slot.version, slot.next->Row());
}

void SlotKeeper::PromiseRefused(SlotId id, Slot &slot, const ProcessRef &from,
                                const WitnessReply &answer) {
  if (slot.phase != Phase::kHeld || slot.row.epoch != answer.epoch) return;
  if (!IsWitness(slot.row, from)) return;
  const bool released = answer.released >= LastEpochOf(answer.epoch);
  // A predecessor has sealed the row, and nobody can undo it.
  const bool sealed = answer.sealed && answer.released < answer.epoch;
  if (!answer.remembers || released || sealed) {
    // It can't elect anybody any more; what it has promised may still run.
    slot.sealed.insert(from);
    const Duration remaining{answer.remaining_us};
    slot.wait_until = std::max(
        slot.wait_until, this->clock.Now() + this->options.More(remaining));
  } else if (answer.released >= answer.epoch) {
    slot.outvoted.insert(from);
    if (slot.outvoted.size() >= slot.row.Majority()) {
      this->Lose(id, slot);
      return;
    }
  }
  if (slot.reading || slot.next_sent) return;
  // Someone wants the slot, or the witness has restarted: ask the table.
  slot.must_read = true;
  slot.refused = true;
}

void SlotKeeper::KeepAfterAll(Slot &slot) {
  // The write did not take effect, so the row in force names this process.
  slot.phase = Phase::kHeld;
  slot.next.reset();
  slot.next_sent = false;
  slot.next_send = this->clock.Now();
  slot.retry_at = this->clock.Now() + this->options.claim_pause;
  // A sealed row keeps its witnesses from electing: not before the table is up.
  slot.must_read = true;
}

bool SlotKeeper::HandingOver() const noexcept {
  return std::any_of(
      this->slots.begin(), this->slots.end(), [this](const Slot &slot) {
        if (slot.phase == Phase::kGiving) return true;
        const bool changing = slot.phase == Phase::kHeld && slot.next;
        return changing && !this->IsMine(slot.next->Row());
      });
}

void SlotKeeper::ReadAgain(SlotId id, Slot &slot) {
  if (!slot.must_read || slot.reading) return;
  if (this->clock.Now() < slot.retry_at) return;
  slot.retry_at = this->clock.Now() + this->options.claim_pause;
  slot.reading = true;
  ++this->table_calls;
  this->observer.ReadRow(id);
}

void SlotKeeper::JudgeHeldRead(SlotId id, Slot &slot, std::uint64_t version,
                               const std::optional<SlotRow> &row) {
  slot.must_read = false;
  const bool refused = std::exchange(slot.refused, false);
  const bool next_is_there = slot.next_sent && row &&
                             row->epoch == slot.next->Row().epoch &&
                             row->holder == slot.next->Row().holder &&
                             row->witnesses == slot.next->Row().witnesses;
  if (next_is_there) {
    slot.version = version - 1;
    this->TakeNext(id, slot);
    return;
  }
  if (version == slot.version) {
    // An unanswered write may still arrive. Sending it again is idempotent.
    if (slot.next_sent) {
      this->SendWrite(id, slot);
    } else if (refused && slot.phase == Phase::kHeld && !slot.next) {
      // A taker that gave up has made witnesses release this row.
      this->ChangeWitnesses(id, slot);
    }
    return;
  }
  if (slot.phase == Phase::kHeld || slot.phase == Phase::kGiving) {
    this->Lose(id, slot);
    return;
  }
  this->GiveUp(slot);
}

void SlotKeeper::TakeNext(SlotId id, Slot &slot) {
  const Phase phase = slot.phase;
  const SlotRow before =
      phase == Phase::kWriting ? this->LastHolder(slot) : slot.row;
  ++slot.version;
  slot.touched = slot.write_sent;
  slot.next_sent = false;
  slot.in_doubt = false;
  slot.must_read = false;
  slot.refused = false;
  slot.current = *std::exchange(slot.next, std::nullopt);
  slot.in_table = slot.current.Row();
  Require(slot.in_table.epoch > slot.row.epoch, "a slot's epoch only grows");
  switch (phase) {
    case Phase::kGiving: {
      slot.row = slot.in_table;
      slot.phase = Phase::kFree;
      const Duration since = this->clock.Now() - slot.touched;
      if (since > this->options.lapse / 4) {
        this->observer.Lost(id);
        return;
      }
      this->observer.HandedOver(id, slot.row, slot.row.holder);
      return;
    }
    case Phase::kHeld:
      slot.row = slot.in_table;
      slot.sealed.clear();
      slot.outvoted.clear();
      slot.told.clear();
      slot.next_send = this->clock.Now();
      this->observer.Rewitnessed(id, slot.row);
      return;
    default:
      this->Hold(id, slot, SlotOrigin::kTakenOver, before);
  }
}

void SlotKeeper::Lose(SlotId id, Slot &slot) {
  this->GiveUp(slot);
  this->observer.Lost(id);
}

}  // namespace pollenring
