#include "pollenring/mesh/policy_follower.h"

#include <algorithm>

#include "pollenring/log/log.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

/*! @brief Interval of checks whether this node should query the store. */
constexpr Duration kWatchCheckInterval = std::chrono::milliseconds{100};
/*! @brief How long a starting node waits for a peer's document, which arrives
 * within three messages if there is one. */
constexpr Duration kPeerDocumentWait = std::chrono::milliseconds{1500};
constexpr Duration kMinRetryDelay = std::chrono::milliseconds{100};
/*! @brief All nodes together then query an unavailable store some ten times
 * per second, well below its rate limit. */
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds{800};
constexpr Duration kPullTimeout = std::chrono::milliseconds{800};
/*! @brief Peers in the own availability zone notified immediately of a new
 * version; they notify others. */
constexpr std::size_t kNotifiedInZone = 3;
/*! @brief Peers in other zones notified immediately; each fetches the document
 * over a link between zones, and designated watchers there read it anyway. */
constexpr std::size_t kNotifiedOtherZones = 1;

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

void PolicyFollower::Start(std::function<void()> on_changed,
                           std::function<void()> on_store_returned) {
  this->changed = std::move(on_changed);
  this->store_returned = std::move(on_store_returned);
  this->members.OnZones([this](const ZoneWithdrawals &withdrawals) {
    this->ApplyZones(withdrawals, "peer");
  });
  this->members.OnVersion([this](NodeId peer, std::uint64_t version) {
    this->RecordPeerVersion(peer, version);
  });
  this->first_read = this->loop.GetClock().Now() + kPeerDocumentWait;
  this->loop.Every(kWatchCheckInterval, [this] { this->CheckWatch(); });
}

void PolicyFollower::CheckWatch() {
  if (this->querying) return;
  // V1 peers advertise the document, but not zones.
  const bool complete = this->table.Version() > 0 && this->zones.HasRevision();
  const bool incomplete =
      !complete && this->loop.GetClock().Now() >= this->first_read;
  const StoreWatcherRole &role = this->members.WatcherRole();
  const bool should_watch = this->members.Joined() && role.ShouldWatch();
  const bool takes_over = should_watch && !role.IsDesignated() &&
                          !this->watching && !this->store_lost;
  if (takes_over) {
    LogEvent(LogLevel::kInfo, "store watch taken over",
             {{"silent_ms", this->TimeSinceStoreContact().count() / 1000},
              {"version", this->table.Version()}});
  }
  if (!incomplete && !should_watch) {
    this->watching = false;
    return;
  }
  this->querying = true;
  if (this->watching) {
    this->Await();
    return;
  }
  this->Read();
}

std::optional<WorkspaceRateLimit> PolicyFollower::RateOf(
    const std::string &workspace) const {
  const WorkspaceRateLimit *rate_limit = this->table.RateLimitOf(workspace);
  if (rate_limit == nullptr) return std::nullopt;
  return *rate_limit;
}

bool PolicyFollower::IsCurrent(const StoredDocument &stored) const noexcept {
  return stored.era >= this->zones.Newest().era;
}

void PolicyFollower::Read() {
  const std::uint64_t query = ++this->last_query;
  this->source.Read([this, query](PolicySource::Reply reply) {
    if (query != this->last_query) return;
    if (const auto *error = std::get_if<StorageError>(&reply)) {
      this->StoreFailed(*error);
      return;
    }
    auto &stored = std::get<StoredDocument>(reply);
    if (!this->IsCurrent(stored)) {
      this->StoreFailed(StorageError::kUnavailable);
      return;
    }
    this->StoreReplied();
    this->revision = stored.revision;
    this->watched_zones =
        ApplyZoneChanges({0, {}, stored.era}, stored.revision, stored.zones);
    this->watching = true;
    this->ApplyZones(this->watched_zones, "store");
    // If the store has no document yet, peers will advertise the first one.
    this->first_read = Time::max();
    if (stored.text) this->Apply(std::move(*stored.text), "store");
    this->members.Get().RecordStoreContact();
    this->CheckWatch();
  });
}

void PolicyFollower::Await() {
  const std::uint64_t query = ++this->last_query;
  const Duration wait = this->members.WatcherRole().NextWatch(this->random);
  const auto handle = [this, query](PolicySource::Reply reply) {
    if (query != this->last_query) return;
    if (const auto *error = std::get_if<StorageError>(&reply)) {
      this->StoreFailed(*error);
      return;
    }
    auto &stored = std::get<StoredDocument>(reply);
    if (stored.era != this->watched_zones.era) {
      this->StoreFailed(StorageError::kNotFound);
      return;
    }
    this->StoreReplied();
    this->revision = std::max(this->revision, stored.revision);
    this->watched_zones =
        ApplyZoneChanges(this->watched_zones, this->revision, stored.zones);
    this->ApplyZones(this->watched_zones, "store");
    if (stored.text) this->Apply(std::move(*stored.text), "store");
    this->members.Get().RecordStoreContact();
    this->CheckWatch();
  };
  this->source.Await(this->revision, wait, handle);
}

void PolicyFollower::RestartWatch() {
  ++this->last_query;
  this->querying = false;
  this->watching = false;
  this->CheckWatch();
}

void PolicyFollower::ApplyZones(const ZoneWithdrawals &withdrawals,
                                std::string_view origin) {
  if (!withdrawals.Supersedes(this->zones.Newest())) return;
  const ZoneWithdrawals before = this->zones.Newest();
  const bool differs = this->zones.Merge(withdrawals);
  this->members.Get().SetZones(this->zones.Newest());
  if (withdrawals.era > before.era && before.era > 0) {
    LogEvent(LogLevel::kWarning, "store returned from an older copy",
             {{"era", withdrawals.era},
              {"position", withdrawals.revision},
              {"before", before.revision},
              {"origin", origin}});
    this->store_returned();
  }
  const bool outdated_watch =
      this->watching && this->watched_zones.era < withdrawals.era;
  if (outdated_watch) this->loop.Post([this] { this->RestartWatch(); });
  if (!differs) return;
  std::map<std::string, Time> since;
  for (const auto &zone : this->zones.Newest().zones) {
    const auto known = this->withdrawn_since.find(zone);
    const bool first_seen = known == this->withdrawn_since.end();
    since[zone] = first_seen ? this->loop.GetClock().Now() : known->second;
  }
  this->withdrawn_since = std::move(since);
  LogEvent(LogLevel::kInfo, "zones withdrawn",
           {{"zones", this->zones.Newest().zones},
            {"position", this->zones.Newest().revision},
            {"before", before.revision},
            {"origin", origin}});
  this->changed();
  this->loop.Post([this] { this->NotifyPeers(); });
}

void PolicyFollower::StoreReplied() {
  this->last_store_contact = this->loop.GetClock().Now();
  this->querying = false;
  this->retry_delay = Duration{0};
  if (!std::exchange(this->store_lost, false)) return;
  LogEvent(LogLevel::kInfo, "store regained",
           {{"version", this->table.Version()}});
}

void PolicyFollower::StoreFailed(StorageError error) {
  const bool first = !std::exchange(this->store_lost, true);
  if (first) {
    LogEvent(LogLevel::kWarning, "store lost",
             {{"error", kStorageErrorNames.Name(error)},
              {"silent_ms", this->TimeSinceStoreContact().count() / 1000},
              {"version", this->table.Version()}});
  }
  this->retry_delay =
      std::clamp(this->retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  // Changes may have been missed meanwhile, so the document is read anew.
  this->watching = false;
  const std::uint64_t query = ++this->last_query;
  this->loop.After(WithJitter(this->retry_delay, this->random), [this, query] {
    if (query != this->last_query) return;
    this->querying = false;
    this->CheckWatch();
  });
}

void PolicyFollower::Apply(std::string text, std::string_view origin) {
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
  this->loop.Post([this] { this->NotifyPeers(); });
}

void PolicyFollower::RecordPeerVersion(NodeId peer, std::uint64_t version) {
  std::uint64_t &known = this->peer_versions[peer];
  known = std::max(known, version);
  if (version > this->table.Version()) this->FetchFrom(peer);
}

void PolicyFollower::FetchFrom(NodeId peer) {
  if (std::exchange(this->fetching, true)) return;
  this->link.Call(AddressOf(peer), "document", {}, kPullTimeout,
                  [this](LinkClient::Reply reply) {
                    this->fetching = false;
                    auto *text = std::get_if<std::string>(&reply);
                    // The next gossip of a newer version triggers a retry.
                    if (text == nullptr || text->empty()) return;
                    this->Apply(std::move(*text), "peer");
                  });
}

void PolicyFollower::NotifyPeers() {
  Membership &membership = this->members.Get();
  std::vector<NodeId> local_peers;
  std::vector<NodeId> remote_peers;
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kDead) continue;
    const auto known = this->peer_versions.find(id);
    const bool up_to_date = known != this->peer_versions.end() &&
                            known->second >= this->table.Version();
    if (up_to_date) continue;
    (member.zone == membership.Self().zone ? local_peers : remote_peers)
        .push_back(id);
  }
  const auto notify = [&](std::vector<NodeId> &peers, std::size_t max_peers) {
    for (std::size_t i = 0; i < max_peers && !peers.empty(); ++i) {
      const std::size_t chosen = this->random.Index(peers.size());
      membership.Contact(peers[chosen]);
      peers[chosen] = peers.back();
      peers.pop_back();
    }
  };
  notify(local_peers, kNotifiedInZone);
  notify(remote_peers, kNotifiedOtherZones);
}

}  // namespace pollenring
