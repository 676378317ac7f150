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
                       MembershipDelegate &observer)
    : self{std::move(self)},
      options{options},
      clock{clock},
      random{random},
      observer{observer},
      started{clock.Now()},
      last_heard{this->started} {
  this->Touch(this->self);
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
    const std::size_t part = PartOfNode(member.id);
    if (theirs[part] == this->digests[part]) return;
    found.records.push_back(member);
  };
  add(this->self);
  for (const auto &[id, member] : this->members) add(member);
  return found;
}

void Membership::Tick() {
  const Time now = this->clock.Now();
  if (this->probe && now >= this->probe->due) {
    const NodeId silent = this->probe->to;
    if (--this->probe->tries_left > 0) {
      this->probe->due = now + this->options.probe_timeout;
      this->Send(silent, GossipKind::kPing, this->probe->sequence, true);
    } else {
      this->probe.reset();
      this->Suspect(silent);
    }
  }
  this->ExpireSuspicions();
  if (now < this->next_probe || this->probe) return;
  this->next_probe = now + this->options.probe_period;
  this->ProbeNext();
}

void Membership::Receive(const Gossip &gossip) {
  if (gossip.from == this->self.id) return;
  this->last_heard = this->clock.Now();
  this->Merge(gossip.updates);
  const bool answers_probe = gossip.kind == GossipKind::kAck && this->probe &&
                             this->probe->to == gossip.from &&
                             this->probe->sequence == gossip.sequence;
  if (answers_probe) this->probe.reset();
  if (gossip.kind == GossipKind::kPing) {
    // A peer that is unknown here, or thought gone, must learn and refute it.
    const Member *peer = this->Find(gossip.from);
    if (peer == nullptr) this->Enqueue(this->self.id);
    if (peer != nullptr && peer->state >= MemberState::kSuspect) {
      this->Enqueue(gossip.from);
    }
    this->Send(gossip.from, GossipKind::kAck, gossip.sequence);
  }
  this->observer.PeerConfigVersion(gossip.from, gossip.config_version);
  this->observer.PeerZoneWithdrawals(gossip.zones);
  // Only one that holds as new a version is as sure of it.
  const bool as_new = gossip.config_version <= this->config_version;
  if (as_new && gossip.store_age_ms >= 0) {
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

void Membership::Announce(std::vector<Target> targets) {
  if (targets == this->self.targets) return;
  this->self.targets = std::move(targets);
  this->BumpSelf();
}

void Membership::Claim(std::vector<SlotClaim> slots) {
  this->self.slots = std::move(slots);
  this->BumpSelf();
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
  this->Touch(this->self);
  ++this->self.version;
  this->Touch(this->self);
  this->Enqueue(this->self.id);
  this->observer.MemberChanged(this->self);
}

void Membership::Apply(const Member &record) {
  if (record.id == this->self.id) {
    this->Refute(record);
    return;
  }
  const auto found = this->members.find(record.id);
  const bool known = found != this->members.end();
  if (known && !record.Supersedes(found->second)) return;
  if (known) this->Touch(found->second);
  this->members[record.id] = record;
  this->Touch(record);
  if (!known) this->order.push_back(record.id);
  if (record.state != MemberState::kSuspect) {
    this->suspected_at.erase(record.id);
  } else {
    this->suspected_at.emplace(record.id, this->clock.Now());
  }
  if (record.state == MemberState::kLeaving) {
    this->left[record.id] = record.incarnation;
  }
  if (record.state == MemberState::kDead) {
    this->died_at.emplace(record.id, this->clock.Now());
    const auto left = this->left.find(record.id);
    const bool announced =
        left != this->left.end() && left->second == record.incarnation;
    if (!announced) this->silent_since.emplace(record.id, this->clock.Now());
  } else {
    this->died_at.erase(record.id);
    this->silent_since.erase(record.id);
  }
  this->Enqueue(record.id);
  this->observer.MemberChanged(record);
}

std::uint64_t Membership::DigestOf(const Member &record) {
  // Dead records are forgotten at different times; they do not count.
  if (record.state == MemberState::kDead) return 0;
  const std::string text = std::to_string(record.id) + '/' +
                           std::to_string(record.incarnation) + '/' +
                           std::to_string(record.version);
  return Hash64(text);
}

std::size_t Membership::PartOfNode(NodeId id) noexcept {
  return static_cast<std::size_t>(HashNumber(id) % kDigestPartitions);
}

std::uint64_t Membership::WholeDigest() const noexcept {
  std::uint64_t whole = 0;
  for (const std::uint64_t part : this->digests) whole ^= part;
  return whole;
}

void Membership::Touch(const Member &record) {
  this->digests[PartOfNode(record.id)] ^= DigestOf(record);
  this->last_change = this->clock.Now();
  ++this->changes;
}

void Membership::CompareDigest(const Gossip &gossip) {
  if (gossip.digest == this->WholeDigest()) return;
  const Time now = this->clock.Now();
  const Duration quiet = this->options.quiet_before_exchange;
  // A young node lacks most records; waiting for gossip would take seconds.
  const bool young = now - this->started < this->options.young_for;
  if (!young && now - this->last_change < quiet) return;
  const Duration pause = young ? this->options.young_pause : quiet;
  if (now - this->last_exchange < pause) return;
  this->last_exchange = now;
  this->observer.RecordsDiffer(gossip.from);
}

void Membership::Refute(const Member &rumour) {
  if (rumour.incarnation > this->self.incarnation) {
    // The wall clock went back over a restart: go past the predecessor.
    this->Touch(this->self);
    this->self.incarnation = rumour.incarnation + 1;
    this->Touch(this->self);
    this->BumpSelf();
    return;
  }
  const bool harmful = rumour.state != this->self.state &&
                       rumour.incarnation == this->self.incarnation &&
                       rumour.version >= this->self.version;
  if (!harmful) return;
  this->Touch(this->self);
  this->self.version = rumour.version;
  this->Touch(this->self);
  this->BumpSelf();
}

void Membership::Enqueue(NodeId id) {
  const double members = static_cast<double>(this->members.size()) + 2;
  const auto rounds = static_cast<std::size_t>(std::ceil(std::log2(members)));
  this->spreading[id] = {rounds * this->options.spread_factor};
}

std::vector<Member> Membership::TakeUpdates() {
  std::vector<Member> updates;
  while (updates.size() < this->options.updates_per_gossip &&
         updates.size() < this->spreading.size()) {
    auto next = this->spreading.upper_bound(this->last_spread);
    if (next == this->spreading.end()) next = this->spreading.begin();
    this->last_spread = next->first;
    const Member *member = this->Find(next->first);
    if (member != nullptr) updates.push_back(*member);
    if (--next->second.sends_left == 0) this->spreading.erase(next);
    if (member == nullptr && this->spreading.empty()) break;
  }
  return updates;
}

void Membership::Send(NodeId to, GossipKind kind, std::uint64_t number,
                      bool again) {
  Gossip gossip;
  gossip.again = again;
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
  gossip.digest = this->WholeDigest();
  gossip.zones = this->zones;
  gossip.updates = this->TakeUpdates();
  this->observer.SendGossip(to, gossip);
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
  for (auto it = this->silent_since.begin(); it != this->silent_since.end();) {
    const bool recent = now - it->second < this->options.silent_age;
    it = recent ? std::next(it) : this->silent_since.erase(it);
    if (!recent) ++this->changes;
  }
  for (auto it = this->died_at.begin(); it != this->died_at.end();) {
    const bool old = now - it->second >= this->options.tombstone_age;
    if (!old) {
      ++it;
      continue;
    }
    this->Touch(this->members.at(it->first));
    this->members.erase(it->first);
    this->left.erase(it->first);
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
    // Dead nodes are probed at times, so that two sides of a healed cut meet.
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
                      this->options.probe_tries};
  const bool thought_gone =
      this->members.at(*peer).state >= MemberState::kSuspect;
  if (thought_gone) this->Enqueue(*peer);
  this->Send(*peer, GossipKind::kPing, this->sequence);
}

}  // namespace pollenring
