#include "pollenring/lease/witness.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Longest time from a datagram's sending to its arrival. */
constexpr Duration kLongestDelivery = std::chrono::minutes{2};

}  // namespace

Witness::Witness(std::uint64_t process, const LeaseOptions &options,
                 const Clock &clock)
    : process{process}, options{options}, clock{clock}, started{clock.Now()} {}

WitnessReply Witness::Answer(const WitnessQuery &ask) {
  const Time now = this->clock.Now();
  WitnessReply answer;
  answer.request = ask.request;
  answer.slot = ask.slot;
  answer.epoch = ask.epoch;
  answer.process = ask.process;
  answer.asked_us = ask.asked_us;
  if (ask.process != this->process) {
    // The process that was named has ended, at the latest when this one began.
    const Time until = this->started + this->options.promise;
    answer.granted = ask.request == WitnessRequestKind::kRelease;
    answer.remaining_us = std::max(Duration{0}, until - now).count();
    return answer;
  }
  Slot &slot = this->slots[ask.slot];
  switch (ask.request) {
    case WitnessRequestKind::kPromise:
      answer.granted = this->Promise(slot, ask);
      break;
    case WitnessRequestKind::kRelease:
      Release(slot, ask.epoch);
      answer.granted = true;
      break;
    case WitnessRequestKind::kVote:
      answer.granted = this->Vote(slot, ask);
      break;
    case WitnessRequestKind::kResign:
      this->Resign(slot, ask);
      answer.granted = true;
      break;
  }
  answer.released = slot.released;
  answer.voted = slot.voted;
  answer.knows = slot.known.row.epoch;
  const std::uint64_t row = RowEpochOf(ask.epoch);
  answer.remembers = row >= RowEpochOf(slot.known.row.epoch);
  const auto memory = slot.rows.find(row);
  if (memory == slot.rows.end()) return answer;
  answer.sealed = memory->second.sealed;
  answer.promised = memory->second.promised;
  answer.promised_to = memory->second.promised_to;
  answer.remaining_us =
      std::max(Duration{0}, memory->second.promised_until - now).count();
  return answer;
}

const KnownRow *Witness::Known(SlotId id) const {
  const auto found = this->slots.find(id);
  if (found == this->slots.end() || found->second.known.version == 0) {
    return nullptr;
  }
  return &found->second.known;
}

bool Witness::Promise(Slot &slot, const WitnessQuery &ask) {
  if (ask.epoch <= slot.released) return false;
  if (SealedBefore(slot, ask.epoch)) {
    // Whoever has sealed the row is over, and can't undo it any more.
    Release(slot, ask.epoch - 1);
    return false;
  }
  if (IsElected(ask.epoch)) Release(slot, ask.epoch - 1);
  RowMemory &memory = slot.rows[RowEpochOf(ask.epoch)];
  memory.promised_until = std::max(memory.promised_until,
                                   this->clock.Now() + this->options.promise);
  if (ask.epoch >= memory.promised) {
    memory.promised = ask.epoch;
    memory.promised_to = ask.asker;
  }
  Seal(memory, ask);
  this->Learn(slot, ask);
  return true;
}

bool Witness::Vote(Slot &slot, const WitnessQuery &ask) {
  if (ask.epoch <= slot.released) return false;
  const auto memory = slot.rows.find(RowEpochOf(ask.epoch));
  if (memory != slot.rows.end()) {
    if (memory->second.sealed) return false;
    // A holder that is alive keeps its slot, whatever the asker believes.
    if (this->clock.Now() < memory->second.promised_until) return false;
  }
  const bool voted = slot.voted == ask.epoch && !(slot.voted_for == ask.asker);
  if (voted) return false;
  slot.voted = ask.epoch;
  slot.voted_for = ask.asker;
  Release(slot, ask.epoch - 1);
  return true;
}

void Witness::Resign(Slot &slot, const WitnessQuery &ask) const {
  const auto memory = slot.rows.find(RowEpochOf(ask.epoch));
  if (memory == slot.rows.end()) return;
  const bool own = memory->second.promised == ask.epoch &&
                   memory->second.promised_to == ask.asker;
  if (!own) return;
  memory->second.promised_until = this->clock.Now();
  // One that resigns has no write in progress, and will not begin another.
  if (memory->second.sealer == ask.asker) memory->second.sealed = false;
  Release(slot, ask.epoch);
}

void Witness::Release(Slot &slot, std::uint64_t epoch) {
  slot.released = std::max(slot.released, epoch);
}

bool Witness::SealedBefore(const Slot &slot, std::uint64_t epoch) {
  const auto memory = slot.rows.find(RowEpochOf(epoch));
  return memory != slot.rows.end() && memory->second.sealed &&
         memory->second.seal_epoch < epoch;
}

void Witness::Seal(RowMemory &memory, const WitnessQuery &ask) {
  const Time asked{ask.asked_us};
  if (ask.epoch < memory.seal_epoch) return;
  const bool same =
      ask.epoch == memory.seal_epoch && ask.asker == memory.sealer;
  // A late message must not undo what a newer one has asked for.
  const bool late =
      asked < memory.seal_asked ||
      (asked == memory.seal_asked && memory.sealed && !ask.sealing);
  if (same && late) return;
  // Others that want the same epoch, but have not got it, can't undo it either.
  if (!same && memory.sealed && !ask.sealing) return;
  memory.seal_epoch = ask.epoch;
  memory.sealer = ask.asker;
  memory.seal_asked = asked;
  memory.sealed = ask.sealing;
}

void Witness::Learn(Slot &slot, const WitnessQuery &ask) const {
  const RowInForce &told = ask.in_force;
  KnownRow &known = slot.known;
  const bool older = told.version == 0 || told.row.epoch < known.row.epoch;
  if (older) return;
  const Time ends = this->clock.Now() +
                    this->options.Less(Duration{told.lapse_left_us}) -
                    kLongestDelivery;
  if (told.row.epoch == known.row.epoch) {
    // Of what its own holder says, the least is closest to the truth.
    if (ask.asker == known.row.holder) known.ends = std::min(known.ends, ends);
    return;
  }
  known = {told.row, told.version, ends};
  // Rows before the one in force are over; what was asked for them is moot.
  Release(slot, told.row.epoch - 1);
  slot.rows.erase(slot.rows.begin(), slot.rows.lower_bound(told.row.epoch));
}

}  // namespace pollenring
