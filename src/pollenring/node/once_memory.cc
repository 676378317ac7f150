#include <algorithm>
#include <utility>

#include "pollenring/lease/choose_witnesses.h"
#include "pollenring/node/once_service.h"

namespace pollenring {
namespace {

constexpr Duration kCloseTimeout = std::chrono::milliseconds{500};

/*! @brief Names an epoch to a mirror. */
struct OnceEpoch {
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{};
  MSGPACK_DEFINE(slot, epoch, process)
};

/*! @brief All that a holder remembers, for a mirror. */
struct OnceSeed {
  OnceEpoch epoch;
  OnceLog log;
  MSGPACK_DEFINE(epoch, log)
};

/*! @brief Log of a closed epoch; not `known` after a mirror's restart. */
struct OnceClosed {
  bool known{};
  OnceLog log;
  MSGPACK_DEFINE(known, log)
};

}  // namespace

void OnceService::SlotGained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                             const SlotRow &before) {
  const Clock &clock = this->loop.GetClock();
  const bool first = origin == SlotOrigin::kTakenOver && before.epoch == 0;
  const WallTime since = first ? WallTime{0} : clock.WallNow();
  this->owned_slots.erase(slot);
  OwnedSlot &owned =
      this->owned_slots.emplace(slot, OwnedSlot{OnceLedger{since, clock}})
          .first->second;
  const auto found = this->handovers.find(slot);
  bool complete = first;
  if (found != this->handovers.end()) {
    if (found->second.Precedes(row, before)) {
      const OnceLog &log = found->second.once;
      owned.ledger.Inherit(log);
      owned.ledger.SetCompleteSince(WallTime{log.complete_since_ms});
      complete = true;
    }
    this->handovers.erase(found);
  }
  if (!complete) {
    this->CloseMirrors(slot, before);
    return;
  }
  owned.ready = true;
  this->SeedMirrors(slot, row);
}

void OnceService::CloseMirrors(SlotId slot, const SlotRow &before) {
  OwnedSlot &owned = this->owned_slots.at(slot);
  const std::vector<ProcessRef> mirrors = MirrorsOf(before);
  owned.all_closed = !mirrors.empty();
  owned.pending_closes = mirrors.size();
  if (mirrors.empty()) {
    owned.ready = true;
    return;
  }
  for (const auto &ref : mirrors) {
    const std::string body = Pack(OnceEpoch{slot, before.epoch, ref.process});
    if (ref.node == this->slots.Self().node) {
      const std::string log = this->HandleClose(body);
      this->MirrorClosed(slot, &log);
      continue;
    }
    this->link.Call(AddressOf(ref.node), "once-close", body, kCloseTimeout,
                    [this, slot](LinkClient::Reply reply) {
                      this->MirrorClosed(slot,
                                         std::get_if<std::string>(&reply));
                    });
  }
}

void OnceService::MirrorClosed(SlotId slot, const std::string *log) {
  const auto found = this->owned_slots.find(slot);
  if (found == this->owned_slots.end() || found->second.ready) return;
  OwnedSlot &owned = found->second;
  const auto closed = log == nullptr ? std::nullopt : Unpack<OnceClosed>(*log);
  if (closed) owned.ledger.Inherit(closed->log);
  if (closed && closed->known) {
    owned.complete_since_ms =
        std::max(owned.complete_since_ms, closed->log.complete_since_ms);
  } else {
    owned.all_closed = false;
  }
  if (--owned.pending_closes > 0) return;
  if (owned.all_closed) {
    owned.ledger.SetCompleteSince(WallTime{owned.complete_since_ms});
  }
  owned.ready = true;
  const SlotRow *row = this->slots.Keeper().Held(slot);
  if (row != nullptr) this->SeedMirrors(slot, *row);
}

void OnceService::SeedMirrors(SlotId slot, const SlotRow &row) {
  const auto found = this->owned_slots.find(slot);
  if (found == this->owned_slots.end()) return;
  OnceLog log = found->second.ledger.Log();
  for (auto &record : log.records) record.response.clear();
  for (const auto &ref : MirrorsOf(row)) {
    const OnceSeed seed{{slot, row.epoch, ref.process}, log};
    this->link.Call(AddressOf(ref.node), "once-seed", Pack(seed), kCloseTimeout,
                    [](LinkClient::Reply) {});
  }
}

void OnceService::HandleSeed(const std::string &body) {
  const auto seed = Unpack<OnceSeed>(body);
  if (!seed || seed->epoch.process != this->slots.Self().process) return;
  this->mirror.Seed(seed->epoch.slot, seed->epoch.epoch, seed->log);
}

std::string OnceService::HandleClose(const std::string &body) {
  OnceClosed closed;
  const auto epoch = Unpack<OnceEpoch>(body);
  const bool known = epoch && epoch->process == this->slots.Self().process;
  if (known) {
    closed.known = true;
    closed.log = this->mirror.Close(epoch->slot, epoch->epoch);
  }
  return Pack(closed);
}

void OnceService::SlotWitnessesChanged(SlotId slot, const SlotRow &row) {
  this->SeedMirrors(slot, row);
}

void OnceService::SlotHandedOver(SlotId /*slot*/, const SlotRow & /*row*/,
                                 const ProcessRef & /*successor*/) {}

void OnceService::SlotLost(SlotId slot) { this->owned_slots.erase(slot); }

OnceLog OnceService::LogOf(SlotId slot) const {
  const auto found = this->owned_slots.find(slot);
  if (found == this->owned_slots.end() || !found->second.ready) {
    OnceLog log;
    log.complete_since_ms = this->loop.GetClock().WallNow().count();
    return log;
  }
  return found->second.ledger.Log();
}

void OnceService::StoreHandover(const Handover &handover) {
  this->handovers[handover.slot] = handover;
}

}  // namespace pollenring
