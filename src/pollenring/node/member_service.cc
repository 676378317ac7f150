#include "pollenring/node/member_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr const char *kBootstrapRow = "bootstrap";
constexpr std::size_t kMaxListed = 16;
/*! @brief Listed nodes from which only designated watchers list themselves; if
 * all nodes wrote at a first start, most writes would conflict. */
constexpr std::size_t kMaxListedByAnyNode = 4;
/*! @brief Peers queried at a time for all records; some may be gone. */
constexpr std::size_t kJoinsAtOnce = 2;
/*! @brief Time over which the nodes of a first start read the row, so that
 * most of them find a few others in it. */
constexpr Duration kFirstReadSpread = std::chrono::milliseconds{400};
/*! @brief Mean delay before a conflicting write is retried. */
constexpr Duration kConflictPause = std::chrono::milliseconds{60};
constexpr Duration kTickPeriod = std::chrono::milliseconds{50};
constexpr Duration kBootstrapPeriod = std::chrono::seconds{2};
/*! @brief Delay before a node without known peers tries again. */
constexpr Duration kJoinPause = std::chrono::milliseconds{500};
/*! @brief Interval at which a designated watcher checks the bootstrap row. */
constexpr Duration kUpkeepPeriod = std::chrono::seconds{10};
/*! @brief Age until which checks are more frequent: nodes that start together
 * may form groups that don't know of one another. */
constexpr Duration kEarlyAge = std::chrono::seconds{15};
/*! @brief Peers told at once of a crash of a target; each tells as many. */
constexpr std::size_t kCrashReportFanout = 4;
constexpr Duration kAloneAfter = std::chrono::milliseconds{1500};
constexpr Duration kJoinTimeout = std::chrono::seconds{1};

}  // namespace

MemberService::MemberService(Member self, std::vector<Address> seeds,
                             Loop &loop, Bus &bus, LinkClient &link,
                             Table &table, Quarantine &quarantine,
                             Random &random, bool first_start)
    : seeds{std::move(seeds)},
      loop{loop},
      bus{bus},
      link{link},
      table{table},
      quarantine{quarantine},
      random{random},
      membership{std::move(self), MembershipOptions{}, loop.GetClock(), random,
                 *this},
      watcher_role{this->membership, bus.Wire().versions, StoreWatcherOptions{},
                   loop.GetClock()},
      first_start{first_start},
      started{loop.GetClock().Now()} {}

void MemberService::OnMember(MemberListener listener) {
  this->member_listeners.push_back(std::move(listener));
}

void MemberService::OnVersion(VersionListener listener) {
  this->version_listeners.push_back(std::move(listener));
}

void MemberService::OnZones(ZonesListener listener) {
  this->zones_listeners.push_back(std::move(listener));
}

void MemberService::Start() {
  this->bus.On<Gossip>(
      MessageKind::kGossip,
      [this](NodeId from, const Gossip &gossip, WireVersion version) {
        this->Receive(from, gossip, version);
      });
  this->quarantine.OnCrashReport([this] {
    if (std::exchange(this->spreading, true)) return;
    this->loop.Post([this] { this->SpreadCrashReports(); });
  });
  this->loop.Every(kTickPeriod, [this] { this->membership.Tick(); });
  if (!this->first_start) {
    this->Bootstrap();
    return;
  }
  const double fraction = this->random.Fraction();
  const Duration wait{static_cast<std::int64_t>(
      fraction * static_cast<double>(kFirstReadSpread.count()))};
  this->loop.After(wait, [this] { this->Bootstrap(); });
}

bool MemberService::Alone() const {
  const auto &members = this->membership.Members();
  return std::none_of(members.begin(), members.end(), [](const auto &entry) {
    return entry.second.state < MemberState::kSuspect;
  });
}

void MemberService::Bootstrap() {
  const Time age = this->loop.GetClock().Now() - this->started;
  const bool alone = this->Alone();
  if (alone) {
    if (age >= kAloneAfter) this->joined = true;
    for (const auto &seed : this->seeds) this->JoinThrough(seed.Packed());
  } else if (!this->joined) {
    // Some peer has probed this node; it knows all the others.
    std::vector<NodeId> alive;
    for (const auto &[id, member] : this->membership.Members()) {
      if (member.state == MemberState::kAlive) alive.push_back(id);
    }
    this->JoinThroughSome(std::move(alive));
  }
  if (alone || (this->joined && this->watcher_role.IsDesignated()))
    this->ReadBootstrapRow();
  this->loop.After(this->BootstrapPause(), [this] { this->Bootstrap(); });
}

void MemberService::ReadBootstrapRow() {
  this->table.Read({kBootstrapRow}, [this](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) return;
    const auto json =
        nlohmann::json::parse(found->front().value, nullptr, false);
    std::vector<NodeId> listed;
    if (json.is_array()) {
      for (const auto &item : json) {
        if (item.is_number_unsigned()) listed.push_back(item.get<NodeId>());
      }
    }
    this->JoinThroughSome(this->Alone() ? listed : this->UnknownOf(listed));
    this->Register(found->front().version, std::move(listed));
  });
}

std::vector<NodeId> MemberService::UnknownOf(
    const std::vector<NodeId> &listed) const {
  std::vector<NodeId> unknown;
  for (const NodeId id : listed) {
    if (this->membership.Find(id) == nullptr) unknown.push_back(id);
  }
  return unknown;
}

void MemberService::JoinThroughSome(std::vector<NodeId> peers) {
  const NodeId self = this->membership.Self().id;
  peers.erase(std::remove(peers.begin(), peers.end(), self), peers.end());
  for (std::size_t i = 0; i < kJoinsAtOnce && !peers.empty(); ++i) {
    const std::size_t drawn = this->random.Index(peers.size());
    this->JoinThrough(peers[drawn]);
    peers[drawn] = peers.back();
    peers.pop_back();
  }
}

Duration MemberService::BootstrapPause() {
  if (!this->joined) return kJoinPause;
  if (this->Alone()) return kBootstrapPeriod;
  const Time age = this->loop.GetClock().Now() - this->started;
  if (age < kEarlyAge) return WithJitter(kBootstrapPeriod, this->random);
  return WithJitter(kUpkeepPeriod, this->random);
}

void MemberService::Register(std::uint64_t version,
                             std::vector<NodeId> listed) {
  const NodeId self = this->membership.Self().id;
  const auto is_dead = [this](NodeId id) {
    const Member *member = this->membership.Find(id);
    return member != nullptr && member->state == MemberState::kDead;
  };
  const std::size_t before = listed.size();
  listed.erase(std::remove_if(listed.begin(), listed.end(), is_dead),
               listed.end());
  const bool shrunk = listed.size() < before;
  const bool listed_self =
      std::find(listed.begin(), listed.end(), self) != listed.end();
  const bool draining = this->membership.Self().state != MemberState::kAlive;
  const std::size_t max_listed =
      this->watcher_role.IsDesignated() && this->joined ? kMaxListed
                                                        : kMaxListedByAnyNode;
  const bool adds_self =
      !listed_self && !draining && listed.size() < max_listed;
  if (adds_self) listed.push_back(self);
  if (!adds_self && !shrunk) return;
  this->table.Write({{kBootstrapRow, version}},
                    {{kBootstrapRow, nlohmann::json(listed).dump()}},
                    [this](Table::Written written) {
                      const auto *result = std::get_if<WriteResult>(&written);
                      const bool conflict = result != nullptr &&
                                            *result == WriteResult::kConflict;
                      if (!conflict || this->joined) return;
                      // Whoever came first is in the row now.
                      this->loop.After(WithJitter(kConflictPause, this->random),
                                       [this] { this->ReadBootstrapRow(); });
                    });
}

void MemberService::JoinThrough(NodeId peer) {
  if (peer == this->membership.Self().id) return;
  const WireVersion request_version =
      this->bus.Wire().versions.Of(peer).value_or(kNewestWire);
  this->link.Call(AddressOf(peer), "members",
                  Encode(this->membership.Snapshot(), request_version),
                  kJoinTimeout,
                  [this, peer, request_version](LinkClient::Reply reply) {
                    const auto *body = std::get_if<std::string>(&reply);
                    if (body != nullptr)
                      this->HandleJoinReply(peer, request_version, *body);
                  });
}

void MemberService::HandleJoinReply(NodeId peer, WireVersion request_version,
                                    const std::string &body) {
  const auto records = Decode<std::vector<Member>>(body);
  if (!records) {
    this->bus.Wire().NoteUnreadable(peer, "members", body.size());
    return;
  }
  this->membership.Merge(records->value);
  // Old builds reply without having read numbered fields.
  const bool needs_merge = records->version < request_version;
  if (needs_merge) {
    this->link.Call(AddressOf(peer), "members-merge",
                    Encode(this->membership.Snapshot(), kCommonWire),
                    kJoinTimeout, [](LinkClient::Reply) {});
  }
  if (this->joined) return;
  this->joined = true;
  LogEvent(LogLevel::kInfo, "joined", {{"members", records->value.size()}});
  // The reply carries the active version.
  this->membership.Contact(peer);
}

std::optional<std::string> MemberService::HandleRequest(
    std::string_view path, const Address &from, const std::string &body) {
  if (path == "members") return this->ReplyToJoin(from, body);
  if (path == kDeparturesPath) return this->ReplyToDepartures(from, body);
  if (path == "members-differ") return this->ReplyToDigests(from, body);
  if (path != "members-merge") return std::nullopt;
  this->MergeRecords(from, body);
  return std::string{};
}

std::string MemberService::ReplyToJoin(const Address &from,
                                       const std::string &body) {
  const WireVersion version = this->MergeRecords(from, body);
  this->quarantine.RepeatReports();
  return Encode(this->membership.Snapshot(), version);
}

void MemberService::Receive(NodeId from, const Gossip &gossip,
                            WireVersion version) {
  Gossip received = gossip;
  // V1 nodes learn nothing of zones, however recent their store contact is.
  const bool lacks_zones = version == WireVersion::kV1 && gossip.wire == 0;
  if (lacks_zones) received.store_age_ms = -1;
  this->reply_version = version;
  this->membership.Receive(received);
  this->reply_version.reset();
  PeerVersions &versions = this->bus.Wire().versions;
  versions.MessageReceived(from, version);
  versions.Advertised(from, gossip.wire);
}

void MemberService::SendGossip(NodeId to, const Gossip &gossip) {
  if (this->reply_version) {
    this->bus.Send(to, MessageKind::kGossip, gossip, *this->reply_version);
    return;
  }
  const auto known = this->bus.Wire().versions.Of(to);
  if (known && !gossip.is_retry) {
    this->bus.Send(to, MessageKind::kGossip, gossip, *known);
    return;
  }
  // Each build reads one of them, whatever runs there now, and drops the other
  // or learns the same from it.
  this->bus.Send(to, MessageKind::kGossip, gossip, WireVersion::kV1);
  this->bus.Send(to, MessageKind::kGossip, gossip, WireVersion::kV2);
}

void MemberService::MemberChanged(const Member &member) {
  this->bus.Wire().versions.MemberChanged(member);
  for (const auto &listener : this->member_listeners) listener(member);
}

void MemberService::RecordsDiffer(NodeId peer) {
  const WireVersion version =
      this->bus.Wire().versions.Of(peer).value_or(kCommonWire);
  const PartitionDigests &digests = this->membership.Digests();
  const std::string request =
      version < WireVersion::kV3 ? Pack(digests) : Pack(DigestRequest{digests});
  this->link.Call(AddressOf(peer), "members-differ", request, kJoinTimeout,
                  [this, peer](LinkClient::Reply reply) {
                    const auto *body = std::get_if<std::string>(&reply);
                    if (body != nullptr) this->ExchangeRecords(peer, *body);
                  });
}

void MemberService::ExchangeRecords(NodeId peer, const std::string &body) {
  const auto theirs = Decode<DigestReply>(body);
  if (!theirs) {
    this->bus.Wire().NoteUnreadable(peer, "members-differ", body.size());
    return;
  }
  const auto own = this->membership.Differing(theirs->value.digests);
  this->membership.Merge(theirs->value.records);
  this->link.Call(AddressOf(peer), "members-merge",
                  Encode(own.records, theirs->version), kJoinTimeout,
                  [](LinkClient::Reply) {});
}

std::string MemberService::ReplyToDigests(const Address &from,
                                          const std::string &body) {
  if (const auto request = Unpack<DigestRequest>(body)) {
    return Pack(this->membership.Differing(request->digests));
  }
  if (const auto theirs = Unpack<PartitionDigests>(body)) {
    return Encode(this->membership.Differing(*theirs), kCommonWire);
  }
  this->bus.Wire().unreadable.Note({from, "members-differ", body.size(), {}});
  return Encode(DigestReply{}, InferWireVersion(body));
}

WireVersion MemberService::MergeRecords(const Address &from,
                                        const std::string &body) {
  const auto records = Decode<std::vector<Member>>(body);
  if (!records) {
    this->bus.Wire().unreadable.Note({from, "members", body.size(), {}});
    return kCommonWire;
  }
  this->membership.Merge(records->value);
  return records->version;
}

std::vector<CrashReport> MemberService::TakeCrashReports() {
  return this->quarantine.TakeReports(this->membership.Members().size());
}

void MemberService::PeerCrashReports(const std::vector<CrashReport> &reports) {
  for (const auto &report : reports) this->quarantine.Merge(report);
}

void MemberService::SpreadCrashReports() {
  this->spreading = false;
  std::vector<NodeId> peers;
  for (const auto &[id, member] : this->membership.Members()) {
    if (member.state < MemberState::kSuspect) peers.push_back(id);
  }
  for (std::size_t i = 0; i < kCrashReportFanout && !peers.empty(); ++i) {
    const std::size_t drawn = this->random.Index(peers.size());
    this->membership.Contact(peers[drawn]);
    peers[drawn] = peers.back();
    peers.pop_back();
  }
}

void MemberService::PeerConfigVersion(NodeId peer, std::uint64_t version) {
  for (const auto &listener : this->version_listeners) listener(peer, version);
}

void MemberService::PeerZoneWithdrawals(const ZoneWithdrawals &withdrawals) {
  for (const auto &listener : this->zones_listeners) listener(withdrawals);
}

}  // namespace pollenring
