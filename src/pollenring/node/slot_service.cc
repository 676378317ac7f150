#include "pollenring/node/slot_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pollenring/core/hash.h"
#include "pollenring/lease/choose_witnesses.h"
#include "pollenring/log/log.h"
#include "pollenring/share/slots_of.h"

namespace pollenring {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds{20};
/*! @brief Time for a joining node to learn of others before it claims. */
constexpr Duration kClaimDelay = std::chrono::milliseconds{500};
constexpr Duration kRebalancePeriod = std::chrono::milliseconds{250};
/*! @brief Time without changes in membership before slots are moved. */
constexpr Duration kMembershipSettleTime = std::chrono::seconds{2};
constexpr std::size_t kMaxMovesPerRebalance = 4;
/*! @brief Turns by which others wait for the witnesses of a lost holder. */
constexpr std::size_t kWitnessRankLead = 4;

[[nodiscard]] std::uint64_t Weight(SlotId slot, NodeId node) noexcept {
  const std::string_view bytes{reinterpret_cast<const char *>(&node),
                               sizeof(node)};
  return Hash64(bytes, slot + 1);
}

}  // namespace

SlotService::SlotService(SlotId slots, Loop &loop, Bus &bus,
                         MemberService &members, Table &table, Random &random)
    : count{slots},
      loop{loop},
      bus{bus},
      members{members},
      table{table},
      self{members.Get().Self().id, members.Get().Self().process},
      witness{this->self.process, this->options, loop.GetClock()},
      keeper{this->self, slots, this->options, loop.GetClock(),
             random,     *this, this->witness, *this},
      holders(slots) {}

void SlotService::Start() {
  this->RegisterHandlers();
  this->members.OnMember(
      [this](const Member &member) { this->RecordMember(member); });
  this->loop.Every(kRebalancePeriod, [this] { this->Rebalance(); });
  this->loop.Every(kTickPeriod, [this] {
    const Time now = this->loop.GetClock().Now();
    if (this->members.Joined() && this->joined_at == Time{}) {
      this->joined_at = now;
    }
    this->keeper.Tick();
    if (std::exchange(this->claims_changed, false)) this->AnnounceClaims();
  });
}

void SlotService::RegisterHandlers() {
  this->bus.On<WitnessQuery>(
      MessageKind::kWitnessQuery,
      [this](NodeId from, const WitnessQuery &query) {
        if (query.slot >= this->count || query.sender.node != from) return;
        // What came while this process stood still may be of long ago.
        if (this->loop.WokeFromStall()) return;
        this->bus.Send(from, MessageKind::kWitnessReply,
                       this->witness.HandleQuery(query));
      });
  this->bus.On<WitnessReply>(
      MessageKind::kWitnessReply,
      [this](NodeId from, const WitnessReply &reply) {
        this->keeper.HandleReply({from, reply.process}, reply);
      });
}

void SlotService::RecordMember(const Member &member) {
  const auto known = this->member_states.find(member.id);
  const bool changed =
      known == this->member_states.end() || known->second != member.state;
  if (changed) this->members_changed_at = this->loop.GetClock().Now();
  this->member_states[member.id] = member.state;
  std::vector<SlotId> claimed;
  for (const auto &claim : member.slots) {
    if (claim.slot >= this->count) continue;
    claimed.push_back(claim.slot);
    Holder &holder = this->holders[claim.slot];
    if (claim.epoch > holder.epoch) holder = {claim.epoch, member.id};
  }
  for (SlotId slot = 0; slot < this->count; ++slot) {
    Holder &holder = this->holders[slot];
    if (holder.node != member.id) continue;
    const bool still_claimed =
        std::find(claimed.begin(), claimed.end(), slot) != claimed.end();
    if (!still_claimed) holder.node = 0;
  }
}

std::optional<NodeId> SlotService::HolderOf(SlotId slot) const {
  if (this->keeper.Held(slot) != nullptr) return this->self.node;
  const Holder &holder = this->holders.at(slot);
  if (holder.node == 0) return std::nullopt;
  const Member *member = this->members.Get().Find(holder.node);
  if (member == nullptr || member->state == MemberState::kDead) {
    return std::nullopt;
  }
  return holder.node;
}

bool SlotService::IsHolderAlive(SlotId slot) const {
  const Holder &holder = this->holders.at(slot);
  if (holder.node == 0 || holder.node == this->self.node) return false;
  const Member *member = this->members.Get().Find(holder.node);
  return member != nullptr && member->state != MemberState::kDead;
}

std::optional<std::size_t> SlotService::Rank(SlotId slot) const {
  const bool ready =
      this->joined_at != Time{} &&
      this->loop.GetClock().Now() - this->joined_at >= kClaimDelay;
  if (!ready) return std::nullopt;
  const Membership &membership = this->members.Get();
  if (membership.Self().state != MemberState::kAlive) return std::nullopt;
  const std::string zone = this->PreferredZone(slot);
  const auto score = [&](const Member &member) {
    return std::make_pair(member.zone == zone, Weight(slot, member.id));
  };
  const auto own = score(membership.Self());
  std::size_t rank = 0;
  for (const auto &[id, member] : membership.Members()) {
    if (member.state != MemberState::kAlive) continue;
    if (score(member) > own) ++rank;
  }
  const bool had_holder = this->holders[slot].epoch != 0;
  return had_holder ? rank + kWitnessRankLead : rank;
}

std::vector<ProcessRef> SlotService::WitnessesFor(
    const ProcessRef &holder) const {
  const Membership &membership = this->members.Get();
  WitnessCandidate holder_candidate{holder, {}, {}, 0};
  if (const Member *member = membership.Find(holder.node)) {
    holder_candidate.zone = member->zone;
    holder_candidate.region = member->region;
  }
  std::vector<WitnessCandidate> others;
  const auto consider = [&](const Member &member) {
    if (member.id == holder.node) return;
    if (member.state != MemberState::kAlive) return;
    const auto weight =
        Weight(static_cast<SlotId>(holder.node & 0xffffffU), member.id);
    others.push_back(
        {{member.id, member.process}, member.zone, member.region, weight});
  };
  consider(membership.Self());
  for (const auto &[id, member] : membership.Members()) consider(member);
  return ChooseWitnesses(holder_candidate, std::move(others));
}

bool SlotService::IsAlive(const ProcessRef &ref) const {
  const Member *member = this->members.Get().Find(ref.node);
  return member != nullptr && member->process == ref.process &&
         member->state != MemberState::kDead &&
         member->state != MemberState::kLeaving;
}

void SlotService::ReadRow(SlotId slot) {
  this->table.Read({SlotRowKey(slot)}, [this, slot](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      this->keeper.RowUnreadable(slot);
      return;
    }
    const Row &row = found->front();
    this->keeper.RowRead(slot, row.version, SlotRow::FromJson(row.value));
  });
}

void SlotService::WriteRow(SlotId slot, std::uint64_t version,
                           const SlotRow &row) {
  this->table.Write(
      {{SlotRowKey(slot), version}}, {{SlotRowKey(slot), row.ToJson()}},
      [this, slot](Table::Written written) {
        if (const auto *result = std::get_if<WriteResult>(&written)) {
          this->keeper.RowWritten(slot, *result == WriteResult::kWritten
                                            ? RowWrite::kWritten
                                            : RowWrite::kConflict);
          return;
        }
        const bool unavailable =
            std::get<StorageError>(written) == StorageError::kUnavailable;
        this->keeper.RowWritten(
            slot, unavailable ? RowWrite::kUnavailable : RowWrite::kUnknown);
      });
}

void SlotService::SendQuery(const ProcessRef &ref, const WitnessQuery &query) {
  if (ref.node != this->self.node) {
    this->bus.Send(ref.node, MessageKind::kWitnessQuery, query);
    return;
  }
  this->loop.Post([this, ref, reply = this->witness.HandleQuery(query)] {
    this->keeper.HandleReply(ref, reply);
  });
}

void SlotService::Gained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                         const SlotRow &before) {
  this->claims_changed = true;
  this->holders[slot] = {row.epoch, this->self.node};
  LogEvent(LogLevel::kInfo, "slot gained",
           {{"slot", slot},
            {"epoch", row.epoch},
            {"handed_over", origin == SlotOrigin::kHandedOver}});
  for (SlotListener *listener : this->listeners) {
    listener->SlotGained(slot, row, origin, before);
  }
}

void SlotService::WitnessesChanged(SlotId slot, const SlotRow &row) {
  this->claims_changed = true;
  this->holders[slot] = {row.epoch, this->self.node};
  for (SlotListener *listener : this->listeners)
    listener->SlotWitnessesChanged(slot, row);
}

void SlotService::Lost(SlotId slot) {
  this->claims_changed = true;
  LogEvent(LogLevel::kWarning, "slot lost", {{"slot", slot}});
  for (SlotListener *listener : this->listeners) listener->SlotLost(slot);
}

void SlotService::HandedOver(SlotId slot, const SlotRow &row,
                             const ProcessRef &successor) {
  this->claims_changed = true;
  const bool named = row.holder == successor;
  this->holders[slot] = {row.epoch, named ? successor.node : 0};
  for (SlotListener *listener : this->listeners) {
    listener->SlotHandedOver(slot, row, successor);
  }
  for (SlotListener *listener : this->listeners) listener->SlotLost(slot);
}

void SlotService::AnnounceClaims() {
  this->members.Get().Claim(this->keeper.Claims());
}

std::string SlotService::PreferredZone(SlotId slot) const {
  // The slots of one workspace lie a third of all slots apart, and each third
  // has a zone of its own: the loss of a zone takes at most one of them.
  const Membership &membership = this->members.Get();
  std::set<std::string> zones{membership.Self().zone};
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kAlive) zones.insert(member.zone);
  }
  const std::size_t third =
      std::size_t{slot} * kSlotsPerWorkspace / this->count;
  return *std::next(zones.begin(),
                    static_cast<std::ptrdiff_t>(third % zones.size()));
}

std::optional<ProcessRef> SlotService::SuccessorFor(SlotId slot) const {
  const Membership &membership = this->members.Get();
  const std::string zone = this->PreferredZone(slot);
  const Member *best = nullptr;
  const auto score = [&](const Member &member) {
    return std::make_pair(member.zone == zone, Weight(slot, member.id));
  };
  const auto consider = [&](const Member &member) {
    if (member.state != MemberState::kAlive) return;
    if (best == nullptr || score(member) > score(*best)) best = &member;
  };
  consider(membership.Self());
  for (const auto &[id, member] : membership.Members()) consider(member);
  if (best == nullptr) return std::nullopt;
  return ProcessRef{best->id, best->process};
}

void SlotService::HandOverAll() {
  this->keeper.StopClaiming();
  for (const auto &claim : this->keeper.Claims()) {
    this->HandOverOne(claim.slot);
  }
}

void SlotService::HandOverOne(SlotId slot) {
  const SlotRow *row = this->keeper.Held(slot);
  if (row == nullptr) return;
  const std::vector<ProcessRef> witnesses = row->witnesses;
  for (const auto &ref : witnesses) {
    if (ref == this->self || !this->IsAlive(ref)) continue;
    if (this->keeper.Resign(slot, ref)) return;
  }
  const auto successor = this->SuccessorFor(slot);
  if (successor) this->keeper.HandOverTo(slot, *successor);
}

void SlotService::Rebalance() {
  const Time now = this->loop.GetClock().Now();
  const bool settled = now - this->members_changed_at >= kMembershipSettleTime;
  const bool alive = this->members.Get().Self().state == MemberState::kAlive;
  if (!settled || !alive) return;
  // With a slow table, only one batch of slots may be without a holder.
  if (this->keeper.HandingOver()) return;
  std::size_t moved = 0;
  for (const auto &claim : this->keeper.Claims()) {
    const auto better = this->SuccessorFor(claim.slot);
    if (!better || *better == this->self) continue;
    this->keeper.HandOverTo(claim.slot, *better);
    if (++moved == kMaxMovesPerRebalance) return;
  }
}

}  // namespace pollenring
