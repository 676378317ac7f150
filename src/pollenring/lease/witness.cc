#include "pollenring/lease/witness.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Maximum time from sending a datagram to its arrival. */
constexpr Duration kMaxDeliveryTime = std::chrono::minutes{2};

}  // namespace

Witness::Witness(std::uint64_t process, const LeaseOptions &options,
                 const Clock &clock)
    : process{process}, options{options}, clock{clock}, started{clock.Now()} {}

WitnessReply Witness::HandleQuery(const WitnessQuery &query) {
  const Time now = this->clock.Now();
  WitnessReply reply;
  reply.request = query.request;
  reply.slot = query.slot;
  reply.epoch = query.epoch;
  reply.process = query.process;
  reply.sent_us = query.sent_us;
  if (query.process != this->process) {
    // The addressed process ended no later than this one started.
    const Time until = this->started + this->options.promise;
    reply.granted = query.request == WitnessRequestKind::kRelease;
    reply.remaining_us = std::max(Duration{0}, until - now).count();
    return reply;
  }
  Slot &slot = this->slots[query.slot];
  switch (query.request) {
    case WitnessRequestKind::kPromise:
      reply.granted = this->Promise(slot, query);
      break;
    case WitnessRequestKind::kRelease:
      Release(slot, query.epoch);
      reply.granted = true;
      break;
    case WitnessRequestKind::kVote:
      reply.granted = this->Vote(slot, query);
      break;
    case WitnessRequestKind::kResign:
      this->Resign(slot, query);
      reply.granted = true;
      break;
  }
  reply.released = slot.released;
  reply.voted = slot.voted;
  reply.known_epoch = slot.known.row.epoch;
  const std::uint64_t row = RowEpochOf(query.epoch);
  reply.remembers = row >= RowEpochOf(slot.known.row.epoch);
  const auto memory = slot.rows.find(row);
  if (memory == slot.rows.end()) return reply;
  reply.sealed = memory->second.sealed;
  reply.promised = memory->second.promised;
  reply.promised_to = memory->second.promised_to;
  reply.remaining_us =
      std::max(Duration{0}, memory->second.promised_until - now).count();
  return reply;
}

const KnownRow *Witness::Known(SlotId id) const {
  const auto found = this->slots.find(id);
  if (found == this->slots.end() || found->second.known.version == 0) {
    return nullptr;
  }
  return &found->second.known;
}

bool Witness::Promise(Slot &slot, const WitnessQuery &query) {
  if (query.epoch <= slot.released) return false;
  if (SealedBefore(slot, query.epoch)) {
    // The process that sealed the row is superseded and can't unseal it.
    Release(slot, query.epoch - 1);
    return false;
  }
  if (IsElected(query.epoch)) Release(slot, query.epoch - 1);
  RowMemory &memory = slot.rows[RowEpochOf(query.epoch)];
  memory.promised_until = std::max(memory.promised_until,
                                   this->clock.Now() + this->options.promise);
  if (query.epoch >= memory.promised) {
    memory.promised = query.epoch;
    memory.promised_to = query.sender;
  }
  Seal(memory, query);
  this->RecordActiveRow(slot, query);
  return true;
}

bool Witness::Vote(Slot &slot, const WitnessQuery &query) {
  if (query.epoch <= slot.released) return false;
  const auto memory = slot.rows.find(RowEpochOf(query.epoch));
  if (memory != slot.rows.end()) {
    if (memory->second.sealed) return false;
    // A live holder keeps its slot, whatever the sender believes.
    if (this->clock.Now() < memory->second.promised_until) return false;
  }
  const bool voted =
      slot.voted == query.epoch && !(slot.voted_for == query.sender);
  if (voted) return false;
  slot.voted = query.epoch;
  slot.voted_for = query.sender;
  Release(slot, query.epoch - 1);
  return true;
}

void Witness::Resign(Slot &slot, const WitnessQuery &query) const {
  const auto memory = slot.rows.find(RowEpochOf(query.epoch));
  if (memory == slot.rows.end()) return;
  const bool own = memory->second.promised == query.epoch &&
                   memory->second.promised_to == query.sender;
  if (!own) return;
  memory->second.promised_until = this->clock.Now();
  // A process that resigns has no write in progress and won't begin another.
  if (memory->second.sealer == query.sender) memory->second.sealed = false;
  Release(slot, query.epoch);
}

void Witness::Release(Slot &slot, std::uint64_t epoch) {
  slot.released = std::max(slot.released, epoch);
}

bool Witness::SealedBefore(const Slot &slot, std::uint64_t epoch) {
  const auto memory = slot.rows.find(RowEpochOf(epoch));
  return memory != slot.rows.end() && memory->second.sealed &&
         memory->second.seal_epoch < epoch;
}

void Witness::Seal(RowMemory &memory, const WitnessQuery &query) {
  const Time sent{query.sent_us};
  if (query.epoch < memory.seal_epoch) return;
  const bool same =
      query.epoch == memory.seal_epoch && query.sender == memory.sealer;
  // A late message must not undo a newer request.
  const bool late =
      sent < memory.seal_sent ||
      (sent == memory.seal_sent && memory.sealed && !query.sealing);
  if (same && late) return;
  // Nor can others unseal it that request the same epoch but don't hold it.
  if (!same && memory.sealed && !query.sealing) return;
  memory.seal_epoch = query.epoch;
  memory.sealer = query.sender;
  memory.seal_sent = sent;
  memory.sealed = query.sealing;
}

void Witness::RecordActiveRow(Slot &slot, const WitnessQuery &query) const {
  const ActiveRow &reported = query.active_row;
  KnownRow &known = slot.known;
  const bool older =
      reported.version == 0 || reported.row.epoch < known.row.epoch;
  if (older) return;
  const Time ends =
      this->clock.Now() +
      this->options.ShortenForDrift(Duration{reported.lapse_left_us}) -
      kMaxDeliveryTime;
  if (reported.row.epoch == known.row.epoch) {
    // Of the holder's own reports, the earliest end is the most accurate.
    if (query.sender == known.row.holder)
      known.ends = std::min(known.ends, ends);
    return;
  }
  known = {reported.row, reported.version, ends};
  // Earlier rows than the active one are superseded; requests for them are
  // void.
  Release(slot, reported.row.epoch - 1);
  slot.rows.erase(slot.rows.begin(), slot.rows.lower_bound(reported.row.epoch));
}

}  // namespace pollenring
