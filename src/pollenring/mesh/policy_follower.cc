#include "pollenring/mesh/policy_follower.h"

#include <algorithm>

#include "pollenring/log/log.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

/*! @brief Time between two looks at whether this node is to ask the store. */
constexpr Duration kDutyCheck = std::chrono::milliseconds{100};
/*! @brief How long a node that starts waits for a peer's document, which comes
 * within three messages if there is one. */
constexpr Duration kPeersFirst = std::chrono::milliseconds{1500};
constexpr Duration kFirstPause = std::chrono::milliseconds{100};
/*! @brief All nodes together then ask a store that is down some ten times a
 * second each second, well below its rate. */
constexpr Duration kLongestPause = std::chrono::milliseconds{800};
constexpr Duration kPullTimeout = std::chrono::milliseconds{800};
/*! @brief Peers of the own availability zone told at once of a new version;
 * they tell others. */
constexpr std::size_t kSpreadInZone = 3;
/*! @brief Peers of other zones told at once; each fetches the document over a
 * link between zones, and nodes on duty there read it themselves. */
constexpr std::size_t kSpreadAfar = 1;

}  // namespace

PolicyFollower::PolicyFollower(Loop &loop, MemberService &members,
                               LinkClient &link, PolicySource &source,
                               const PolicyCodec &codec, Random &random)
    : loop{loop},
      members{members},
      link{link},
      source{source},
      codec{codec},
      random{random},
      last_store_contact{loop.GetClock().Now()} {}

void PolicyFollower::Start(std::function<void()> given) {
  this->changed = std::move(given);
  this->members.OnZones([this](const ZoneWithdrawals &withdrawals) {
    this->TakeZones(withdrawals, "peer");
  });
  this->members.OnVersion([this](NodeId peer, std::uint64_t version) {
    this->PeerVersion(peer, version);
  });
  this->first_read = this->loop.GetClock().Now() + kPeersFirst;
  this->loop.Every(kDutyCheck, [this] { this->Check(); });
}

void PolicyFollower::Check() {
  if (this->asking) return;
  // Peers of V1 tell of the document, but not of zones.
  const bool whole = this->table.Version() > 0 && this->zones.HasRevision();
  const bool lacks = !whole && this->loop.GetClock().Now() >= this->first_read;
  const bool joined = this->members.Joined();
  if (!lacks && !(joined && this->members.WatcherRole().ShouldWatch())) {
    this->watching = false;
    return;
  }
  this->asking = true;
  if (this->watching) {
    this->Await();
    return;
  }
  this->Read();
}

std::optional<WorkspaceRateLimit> PolicyFollower::RateOf(
    const std::string &workspace) const {
  const WorkspaceRateLimit *share = this->table.RateLimitOf(workspace);
  if (share == nullptr) return std::nullopt;
  return *share;
}

void PolicyFollower::Read() {
  this->source.Read([this](PolicySource::Reply reply) {
    if (const auto *error = std::get_if<StorageError>(&reply)) {
      this->Failed(*error);
      return;
    }
    this->Heard();
    auto &stored = std::get<StoredDocument>(reply);
    this->revision = stored.revision;
    this->watched = ApplyZoneChanges({}, stored.revision, stored.zones);
    this->TakeZones(this->watched, "store");
    this->watching = true;
    // Where the store has none yet, peers will tell of the first one.
    this->first_read = Time::max();
    if (stored.text) this->Take(std::move(*stored.text), "store");
    this->Check();
  });
}

void PolicyFollower::Await() {
  const Duration wait = this->members.WatcherRole().NextWatch(this->random);
  this->source.Await(this->revision, wait, [this](PolicySource::Reply reply) {
    if (const auto *error = std::get_if<StorageError>(&reply)) {
      this->Failed(*error);
      return;
    }
    this->Heard();
    auto &stored = std::get<StoredDocument>(reply);
    this->revision = std::max(this->revision, stored.revision);
    this->watched =
        ApplyZoneChanges(this->watched, this->revision, stored.zones);
    this->TakeZones(this->watched, "store");
    if (stored.text) this->Take(std::move(*stored.text), "store");
    this->Check();
  });
}

void PolicyFollower::TakeZones(const ZoneWithdrawals &withdrawals,
                               std::string_view origin) {
  const std::uint64_t before = this->zones.Newest().revision;
  const bool other = this->zones.Take(withdrawals);
  if (this->zones.Newest().revision == before) return;
  this->members.Get().SetZones(this->zones.Newest());
  if (!other) return;
  std::map<std::string, Time> since;
  for (const auto &zone : this->zones.Newest().zones) {
    const auto known = this->withdrawn_since.find(zone);
    const bool fresh = known == this->withdrawn_since.end();
    since[zone] = fresh ? this->loop.GetClock().Now() : known->second;
  }
  this->withdrawn_since = std::move(since);
  LogEvent(LogLevel::kInfo, "zones withdrawn",
           {{"zones", this->zones.Newest().zones},
            {"position", this->zones.Newest().revision},
            {"before", before},
            {"origin", origin}});
  this->changed();
  this->loop.Post([this] { this->Spread(); });
}

void PolicyFollower::Heard() {
  this->last_store_contact = this->loop.GetClock().Now();
  this->members.Get().RecordStoreContact();
  this->asking = false;
  this->pause = Duration{0};
  if (!std::exchange(this->store_lost, false)) return;
  LogEvent(LogLevel::kInfo, "store regained",
           {{"version", this->table.Version()}});
}

void PolicyFollower::Failed(StorageError error) {
  const bool first = !std::exchange(this->store_lost, true);
  if (first) {
    LogEvent(LogLevel::kWarning, "store lost",
             {{"error", kStorageErrorNames.Name(error)},
              {"silent_ms", this->StoreSilence().count() / 1000},
              {"version", this->table.Version()}});
  }
  this->pause = std::clamp(this->pause * 2, kFirstPause, kLongestPause);
  // Changes may have been missed meanwhile, so the document is read anew.
  this->watching = false;
  this->loop.After(WithJitter(this->pause, this->random), [this] {
    this->asking = false;
    this->Check();
  });
}

void PolicyFollower::Take(std::string text, std::string_view origin) {
  auto policy = this->codec.Decode(text);
  if (!policy) {
    LogEvent(LogLevel::kError, "configuration unreadable",
             {{"origin", origin},
              {"bytes", text.size()},
              {"in_force", this->table.Version()}});
    return;
  }
  if (policy->version <= this->table.Version()) return;
  const std::uint64_t before = this->table.Version();
  this->table = HostTable{std::move(*policy)};
  this->document = std::move(text);
  LogEvent(LogLevel::kInfo, "configuration in force",
           {{"version", this->table.Version()},
            {"before", before},
            {"origin", origin},
            {"workspaces_ranked", this->table.WorkspacesRanked()}});
  this->members.Get().SetConfigVersion(this->table.Version());
  this->changed();
  this->loop.Post([this] { this->Spread(); });
}

void PolicyFollower::PeerVersion(NodeId peer, std::uint64_t version) {
  std::uint64_t &known = this->peer_versions[peer];
  known = std::max(known, version);
  if (version > this->table.Version()) this->Pull(peer);
}

void PolicyFollower::Pull(NodeId peer) {
  if (std::exchange(this->pulling, true)) return;
  this->link.Call(AddressOf(peer), "document", {}, kPullTimeout,
                  [this](LinkClient::Reply reply) {
                    this->pulling = false;
                    auto *text = std::get_if<std::string>(&reply);
                    // The next gossip of a newer version asks again.
                    if (text == nullptr || text->empty()) return;
                    this->Take(std::move(*text), "peer");
                  });
}

void PolicyFollower::Spread() {
  Membership &membership = this->members.Get();
  std::vector<NodeId> near;
  std::vector<NodeId> afar;
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kDead) continue;
    const auto known = this->peer_versions.find(id);
    const bool has_it = known != this->peer_versions.end() &&
                        known->second >= this->table.Version();
    if (has_it) continue;
    (member.zone == membership.Self().zone ? near : afar).push_back(id);
  }
  const auto contact = [&](std::vector<NodeId> &peers, std::size_t most) {
    for (std::size_t i = 0; i < most && !peers.empty(); ++i) {
      const std::size_t drawn = this->random.Index(peers.size());
      membership.Contact(peers[drawn]);
      peers[drawn] = peers.back();
      peers.pop_back();
    }
  };
  contact(near, kSpreadInZone);
  contact(afar, kSpreadAfar);
}

}  // namespace pollenring
