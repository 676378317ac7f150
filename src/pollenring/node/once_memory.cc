#include <algorithm>
#include <utility>

#include "pollenring/lease/choose_witnesses.h"
#include "pollenring/node/once_service.h"

namespace pollenring {
namespace {

constexpr Duration kCloseTimeout = std::chrono::milliseconds{500};

/*! @brief Identifies an epoch of a slot at a mirror. */
struct OnceEpoch {
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{};
  MSGPACK_DEFINE(slot, epoch, process)
};

/*! @brief All records of a holder, for a mirror. */
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
  this->owned.erase(slot);
  Owned &memory =
      this->owned.emplace(slot, Owned{OnceLedger{since, clock}}).first->second;
  const auto left = this->expected.find(slot);
  bool knows = first;
  if (left != this->expected.end()) {
    if (left->second.Precedes(row, before)) {
      const OnceLog &log = left->second.once;
      memory.ledger.Inherit(log);
      memory.ledger.SetCompleteSince(WallTime{log.complete_since_ms});
      knows = true;
    }
    this->expected.erase(left);
  }
  if (!knows) {
    this->CloseMirrors(slot, before);
    return;
  }
  memory.ready = true;
  this->SeedMirrors(slot, row);
}

void OnceService::CloseMirrors(SlotId slot, const SlotRow &before) {
  Owned &memory = this->owned.at(slot);
  const std::vector<ProcessRef> mirrors = MirrorsOf(before);
  memory.all_closed = !mirrors.empty();
  memory.closes_left = mirrors.size();
  if (mirrors.empty()) {
    memory.ready = true;
    return;
  }
  for (const auto &ref : mirrors) {
    const std::string body = Pack(OnceEpoch{slot, before.epoch, ref.process});
    if (ref.node == this->slots.Self().node) {
      const std::string log = this->AnswerClose(body);
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
  const auto found = this->owned.find(slot);
  if (found == this->owned.end() || found->second.ready) return;
  Owned &memory = found->second;
  const auto closed = log == nullptr ? std::nullopt : Unpack<OnceClosed>(*log);
  if (closed) memory.ledger.Inherit(closed->log);
  if (closed && closed->known) {
    memory.complete_since_ms =
        std::max(memory.complete_since_ms, closed->log.complete_since_ms);
  } else {
    memory.all_closed = false;
  }
  if (--memory.closes_left > 0) return;
  if (memory.all_closed) {
    memory.ledger.SetCompleteSince(WallTime{memory.complete_since_ms});
  }
  memory.ready = true;
  const SlotRow *row = this->slots.Keeper().Held(slot);
  if (row != nullptr) this->SeedMirrors(slot, *row);
}

void OnceService::SeedMirrors(SlotId slot, const SlotRow &row) {
  const auto found = this->owned.find(slot);
  if (found == this->owned.end()) return;
  OnceLog log = found->second.ledger.Log();
  for (auto &record : log.records) record.answer.clear();
  for (const auto &ref : MirrorsOf(row)) {
    const OnceSeed seed{{slot, row.epoch, ref.process}, log};
    this->link.Call(AddressOf(ref.node), "once-seed", Pack(seed), kCloseTimeout,
                    [](LinkClient::Reply) {});
  }
}

void OnceService::TakeSeed(const std::string &body) {
  const auto seed = Unpack<OnceSeed>(body);
  if (!seed || seed->epoch.process != this->slots.Self().process) return;
  this->mirror.Seed(seed->epoch.slot, seed->epoch.epoch, seed->log);
}

std::string OnceService::AnswerClose(const std::string &body) {
  OnceClosed closed;
  const auto epoch = Unpack<OnceEpoch>(body);
  const bool known = epoch && epoch->process == this->slots.Self().process;
  if (known) {
    closed.known = true;
    closed.log = this->mirror.Close(epoch->slot, epoch->epoch);
  }
  return Pack(closed);
}

void OnceService::SlotRewitnessed(SlotId slot, const SlotRow &row) {
  this->SeedMirrors(slot, row);
}

void OnceService::SlotHandedOver(SlotId /*slot*/, const SlotRow & /*row*/,
                                 const ProcessRef & /*successor*/) {}

void OnceService::SlotLost(SlotId slot) { this->owned.erase(slot); }

OnceLog OnceService::LogOf(SlotId slot) const {
  const auto found = this->owned.find(slot);
  if (found == this->owned.end() || !found->second.ready) {
    OnceLog log;
    log.complete_since_ms = this->loop.GetClock().WallNow().count();
    return log;
  }
  return found->second.ledger.Log();
}

void OnceService::Expect(const Handover &handover) {
  this->expected[handover.slot] = handover;
}

}  // namespace pollenring
