#include "pollenring/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>
#include <utility>

#include "pollenring/core/hash.h"

namespace pollenring {

Membership::Membership(Member self, const MembershipOptions &options,
                       const Clock &clock, Random &random,
                       MembershipDelegate &delegate)
    : self{std::move(self)},
      options{options},
      clock{clock},
      random{random},
      delegate{delegate},
      started{clock.Now()},
      last_tick{this->started},
      last_contact{this->started} {
  this->ToggleDigest(this->self);
}

const Member *Membership::Find(NodeId id) const {
  if (id == this->self.id) return &this->self;
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

std::vector<Member> Membership::Snapshot() const {
  std::vector<Member> records{this->self};
  for (const auto &[id, member] : this->members) records.push_back(member);
  return records;
}

DigestReply Membership::Differing(const PartitionDigests &theirs) const {
  DigestReply found;
  found.digests = this->digests;
  const auto add = [&](const Member &member) {
    const std::size_t partition = PartitionOf(member.id);
    if (theirs[partition] == this->digests[partition]) return;
    found.records.push_back(member);
  };
  add(this->self);
  for (const auto &[id, member] : this->members) add(member);
  return found;
}

bool Membership::InputMayBeOld() const noexcept {
  const Time now = this->clock.Now();
  return now < this->late_input_until ||
         now - this->last_tick > this->options.max_tick_gap;
}

void Membership::Tick() {
  const Time now = this->clock.Now();
  if (now - this->last_tick > this->options.max_tick_gap)
    this->late_input_until = now + this->options.late_input_period;
  this->last_tick = now;
  if (this->probe && now >= this->probe->due) {
    const NodeId probed = this->probe->to;
    if (--this->probe->attempts_left > 0) {
      this->probe->due = now + this->options.probe_timeout;
      this->Send(probed, GossipKind::kPing, this->probe->sequence, true);
    } else {
      this->probe.reset();
      this->Suspect(probed);
    }
  }
  this->ExpireSuspicions();
  if (now < this->next_probe || this->probe) return;
  this->next_probe = now + this->options.probe_period;
  this->ProbeNext();
}

void Membership::Receive(const Gossip &gossip) {
  if (gossip.from == this->self.id) return;
  this->last_contact = this->clock.Now();
  this->Merge(gossip.updates);
  const bool acks_probe = gossip.kind == GossipKind::kAck && this->probe &&
                          this->probe->to == gossip.from &&
                          this->probe->sequence == gossip.sequence;
  if (acks_probe) this->probe.reset();
  if (gossip.kind == GossipKind::kPing) {
    // An unknown peer needs this node's record; one held suspect or dead here
    // needs that record to refute it.
    const Member *peer = this->Find(gossip.from);
    if (peer == nullptr) this->Enqueue(this->self.id);
    if (peer != nullptr && peer->state >= MemberState::kSuspect) {
      this->Enqueue(gossip.from);
    }
    this->Send(gossip.from, GossipKind::kAck, gossip.sequence);
  }
  this->delegate.PeerConfigVersion(gossip.from, gossip.config_version);
  this->delegate.PeerZoneWithdrawals(gossip.zones);
  if (!gossip.crash_reports.empty())
    this->delegate.PeerCrashReports(gossip.crash_reports);
  // The peer's store contact counts only if this node holds at least the
  // configuration that the peer has, and the peer knows of the store's era.
  const bool config_is_current = gossip.config_version <= this->config_version;
  const bool era_is_current = gossip.zones.era == this->zones.era;
  const bool age_is_known = gossip.store_age_ms >= 0 && !this->InputMayBeOld();
  if (config_is_current && era_is_current && age_is_known) {
    const Duration age = std::chrono::milliseconds{gossip.store_age_ms};
    this->last_store_contact =
        std::max(this->last_store_contact, this->clock.Now() - age);
  }
  this->CompareDigest(gossip);
}

void Membership::Merge(const std::vector<Member> &records) {
  for (const auto &record : records) this->Apply(record);
}

void Membership::Contact(NodeId id) {
  if (id == this->self.id) return;
  this->Enqueue(this->self.id);
  this->Send(id, GossipKind::kPing, ++this->sequence);
}

void Membership::RecordStoreContact() {
  if (this->InputMayBeOld()) return;
  this->last_store_contact = this->clock.Now();
  for (std::size_t i = 0; i < this->options.contact_fanout; ++i) {
    if (this->order.empty()) return;
    const NodeId id = this->order[this->random.Index(this->order.size())];
    if (this->members.at(id).state == MemberState::kDead) continue;
    this->Send(id, GossipKind::kPing, ++this->sequence);
  }
}

void Membership::Announce(std::vector<Target> targets) {
  if (targets == this->self.targets) return;
  this->self.targets = std::move(targets);
  this->BumpSelf();
}

void Membership::Claim(std::vector<SlotClaim> slots) {
  this->self.slots = std::move(slots);
  this->BumpSelf();
}

void Membership::AddDepartures(const DepartureRecord &departures) {
  if (this->self.departures.Merge(departures)) this->BumpSelf();
}

void Membership::Leave() {
  if (this->self.state == MemberState::kLeaving) return;
  this->self.state = MemberState::kLeaving;
  this->BumpSelf();
}

void Membership::SetConfigVersion(std::uint64_t version) {
  this->config_version = version;
}

void Membership::BumpSelf() {
  this->ToggleDigest(this->self);
  ++this->self.version;
  this->ToggleDigest(this->self);
  this->Enqueue(this->self.id);
  this->delegate.MemberChanged(this->self);
}

void Membership::Apply(const Member &record) {
  if (record.id == this->self.id) {
    this->AddDepartures(record.departures);
    this->Refute(record);
    return;
  }
  const auto found = this->members.find(record.id);
  const bool known = found != this->members.end();
  if (known && !record.Supersedes(found->second)) {
    if (found->second.departures.Merge(record.departures))
      this->Enqueue(record.id);
    return;
  }
  Member merged = record;
  merged.departures = known ? found->second.departures : DepartureRecord{};
  merged.departures.Merge(record.departures);
  if (known) this->ToggleDigest(found->second);
  this->members[record.id] = std::move(merged);
  this->ToggleDigest(record);
  if (!known) this->order.push_back(record.id);
  if (record.state != MemberState::kSuspect) {
    this->suspected_at.erase(record.id);
  } else {
    this->suspected_at.emplace(record.id, this->clock.Now());
  }
  if (record.state == MemberState::kLeaving) {
    this->announced_leave[record.id] = record.incarnation;
  }
  if (record.state == MemberState::kDead) {
    this->died_at.emplace(record.id, this->clock.Now());
    const auto announced_leave = this->announced_leave.find(record.id);
    const bool announced = announced_leave != this->announced_leave.end() &&
                           announced_leave->second == record.incarnation;
    if (!announced)
      this->unreachable_since.emplace(record.id, this->clock.Now());
  } else {
    this->died_at.erase(record.id);
    this->unreachable_since.erase(record.id);
  }
  this->Enqueue(record.id);
  this->delegate.MemberChanged(record);
}

std::uint64_t Membership::DigestOf(const Member &record) {
  // Nodes expire dead records at different times, so these are left out.
  if (record.state == MemberState::kDead) return 0;
  const std::string text = std::to_string(record.id) + '/' +
                           std::to_string(record.incarnation) + '/' +
                           std::to_string(record.version);
  return Hash64(text);
}

std::size_t Membership::PartitionOf(NodeId id) noexcept {
  return static_cast<std::size_t>(HashNumber(id) % kDigestPartitions);
}

std::uint64_t Membership::CombinedDigest() const noexcept {
  std::uint64_t combined = 0;
  for (const std::uint64_t partition : this->digests) combined ^= partition;
  return combined;
}

void Membership::ToggleDigest(const Member &record) {
  this->digests[PartitionOf(record.id)] ^= DigestOf(record);
  this->last_change = this->clock.Now();
  ++this->changes;
}

void Membership::CompareDigest(const Gossip &gossip) {
  if (gossip.digest == this->CombinedDigest()) return;
  const Time now = this->clock.Now();
  const Duration quiet = this->options.quiet_before_exchange;
  // A node that just started lacks most records; gossip would take seconds.
  const bool starting_up = now - this->started < this->options.startup_period;
  if (!starting_up && now - this->last_change < quiet) return;
  const Duration pause =
      starting_up ? this->options.startup_exchange_pause : quiet;
  if (now - this->last_exchange < pause) return;
  this->last_exchange = now;
  this->delegate.RecordsDiffer(gossip.from);
}

void Membership::Refute(const Member &record) {
  if (record.incarnation > this->self.incarnation) {
    // The wall clock went back over a restart: exceed the last incarnation.
    this->ToggleDigest(this->self);
    this->self.incarnation = record.incarnation + 1;
    this->ToggleDigest(this->self);
    this->BumpSelf();
    return;
  }
  const bool contradicts_self = record.state != this->self.state &&
                                record.incarnation == this->self.incarnation &&
                                record.version >= this->self.version;
  if (!contradicts_self) return;
  this->ToggleDigest(this->self);
  this->self.version = record.version;
  this->ToggleDigest(this->self);
  this->BumpSelf();
}

void Membership::Enqueue(NodeId id) {
  const double members = static_cast<double>(this->members.size()) + 2;
  const auto rounds = static_cast<std::size_t>(std::ceil(std::log2(members)));
  this->pending_updates[id] = {rounds * this->options.retransmit_factor};
}

std::vector<Member> Membership::TakeUpdates() {
  std::vector<Member> updates;
  while (updates.size() < this->options.updates_per_gossip &&
         updates.size() < this->pending_updates.size()) {
    auto next = this->pending_updates.upper_bound(this->last_sent_update);
    if (next == this->pending_updates.end())
      next = this->pending_updates.begin();
    this->last_sent_update = next->first;
    const Member *member = this->Find(next->first);
    if (member != nullptr) updates.push_back(*member);
    if (--next->second.sends_left == 0) this->pending_updates.erase(next);
    if (member == nullptr && this->pending_updates.empty()) break;
  }
  return updates;
}

void Membership::Send(NodeId to, GossipKind kind, std::uint64_t number,
                      bool is_retry) {
  Gossip gossip;
  gossip.is_retry = is_retry;
  gossip.wire = this->self.wire;
  gossip.kind = kind;
  gossip.from = this->self.id;
  gossip.sequence = number;
  gossip.config_version = this->config_version;
  if (this->last_store_contact > Time{}) {
    const Duration age = this->clock.Now() - this->last_store_contact;
    gossip.store_age_ms =
        std::chrono::ceil<std::chrono::milliseconds>(age).count();
  }
  gossip.digest = this->CombinedDigest();
  gossip.zones = this->zones;
  gossip.updates = this->TakeUpdates();
  gossip.crash_reports = this->delegate.TakeCrashReports();
  this->delegate.SendGossip(to, gossip);
}

void Membership::Suspect(NodeId id) {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return;
  if (found->second.state >= MemberState::kSuspect) return;
  Member suspect = found->second;
  suspect.state = MemberState::kSuspect;
  this->Apply(suspect);
}

void Membership::ExpireSuspicions() {
  const Time now = this->clock.Now();
  std::vector<NodeId> expired;
  for (const auto &[id, since] : this->suspected_at) {
    if (now - since < this->options.suspicion_timeout) continue;
    expired.push_back(id);
  }
  for (const NodeId id : expired) {
    Member dead = this->members.at(id);
    dead.state = MemberState::kDead;
    this->Apply(dead);
  }
  for (auto it = this->unreachable_since.begin();
       it != this->unreachable_since.end();) {
    const bool recent = now - it->second < this->options.unreachable_window;
    it = recent ? std::next(it) : this->unreachable_since.erase(it);
    if (!recent) ++this->changes;
  }
  for (auto it = this->died_at.begin(); it != this->died_at.end();) {
    const bool old = now - it->second >= this->options.tombstone_age;
    if (!old) {
      ++it;
      continue;
    }
    this->ToggleDigest(this->members.at(it->first));
    this->members.erase(it->first);
    this->announced_leave.erase(it->first);
    this->order.erase(
        std::remove(this->order.begin(), this->order.end(), it->first),
        this->order.end());
    it = this->died_at.erase(it);
  }
}

std::optional<NodeId> Membership::PickPeer() {
  const std::size_t size = this->order.size();
  for (std::size_t tried = 0; tried < size; ++tried) {
    if (this->next_in_order >= size) {
      this->next_in_order = 0;
      for (std::size_t i = size; i > 1; --i) {
        std::swap(this->order[i - 1], this->order[this->random.Index(i)]);
      }
    }
    const NodeId id = this->order[this->next_in_order++];
    // Dead nodes are probed occasionally, so that the sides of a healed
    // network partition find each other.
    constexpr double kDeadProbeChance = 0.1;
    const bool dead = this->members.at(id).state == MemberState::kDead;
    if (dead && !this->random.Chance(kDeadProbeChance)) continue;
    return id;
  }
  return std::nullopt;
}

void Membership::ProbeNext() {
  const auto peer = this->PickPeer();
  if (!peer) return;
  this->probe = Probe{*peer, ++this->sequence,
                      this->clock.Now() + this->options.probe_timeout,
                      this->options.probe_attempts};
  const bool believed_down =
      this->members.at(*peer).state >= MemberState::kSuspect;
  if (believed_down) this->Enqueue(*peer);
  this->Send(*peer, GossipKind::kPing, this->sequence);
}

}  // namespace pollenring
