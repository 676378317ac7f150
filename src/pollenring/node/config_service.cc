#include "pollenring/node/config_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/node/wire.h"

namespace pollenring {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds{1000};
constexpr Duration kPullTimeout = std::chrono::seconds{2};
constexpr Duration kFreshnessLimit = std::chrono::seconds{4};
constexpr Duration kAcceptTimeout = std::chrono::seconds{5};
constexpr Duration kAcceptCheckPeriod = std::chrono::milliseconds{20};
constexpr Duration kMinContactInterval = std::chrono::milliseconds{50};
constexpr std::size_t kSpreadFanout = 3;
constexpr std::uint64_t kVersionsPerSnapshot = 32;

}  // namespace

ConfigService::ConfigService(Loop &loop, MemberService &members,
                             LinkClient &link, Table &table,
                             ObjectStore &objects, Random &random)
    : loop{loop},
      members{members},
      link{link},
      objects{objects},
      random{random},
      ledger{[this](std::uint64_t version) { this->HandleInstalled(version); }},
      reader{table, objects, this->ledger},
      publisher{table, loop.GetClock()},
      last_store_contact{loop.GetClock().Now()} {}

bool ConfigService::Fresh() const {
  const Time now = this->loop.GetClock().Now();
  if (now - this->last_store_contact < kFreshnessLimit) return true;
  const Membership &membership = this->members.Get();
  if (membership.SinceLastContact() < kFreshnessLimit) return true;
  // Without any known peers, no other node could have changed anything.
  return membership.Members().empty();
}

std::optional<WorkspaceRateLimit> ConfigService::RateOf(
    const std::string &workspace) const {
  const WorkspaceRateLimit *rate_limit =
      this->ledger.Active().RateLimitOf(workspace);
  if (rate_limit == nullptr) return std::nullopt;
  return *rate_limit;
}

void ConfigService::Start() {
  this->members.OnVersion([this](NodeId peer, std::uint64_t version) {
    this->HandlePeerVersion(peer, version);
  });
  this->Poll();
  this->loop.Every(kPollPeriod, [this] {
    if (this->ShouldPollForZone()) this->Poll();
  });
}

void ConfigService::Poll() {
  if (std::exchange(this->polling, true)) return;
  const Time requested_at = this->loop.GetClock().Now();
  this->reader.CatchUp([this, requested_at](bool reached) {
    this->polling = false;
    if (reached) this->last_store_contact = requested_at;
  });
}

bool ConfigService::ShouldPollForZone() const {
  const Membership &membership = this->members.Get();
  const Member &self = membership.Self();
  for (const auto &[id, member] : membership.Members()) {
    const bool precedes = member.zone == self.zone && id < self.id;
    if (precedes && member.state == MemberState::kAlive) return false;
  }
  return true;
}

void ConfigService::HandlePeerVersion(NodeId peer, std::uint64_t version) {
  std::uint64_t &known = this->peer_versions[peer];
  known = std::max(known, version);
  if (version > this->ledger.Version()) {
    this->Pull(peer);
    return;
  }
  if (version == this->ledger.Version()) return;
  const Time now = this->loop.GetClock().Now();
  if (now - this->last_contact_request < kMinContactInterval) return;
  this->last_contact_request = now;
  this->members.Get().Contact(peer);
}

void ConfigService::Pull(NodeId peer) {
  if (std::exchange(this->pulling, true)) return;
  this->link.Call(AddressOf(peer), "config", Pack(this->ledger.Version()),
                  kPullTimeout, [this](LinkClient::Reply reply) {
                    this->pulling = false;
                    const auto *body = std::get_if<std::string>(&reply);
                    if (body == nullptr) return;
                    const auto catch_up = Unpack<ConfigCatchUp>(*body);
                    if (catch_up) this->ledger.Apply(*catch_up);
                  });
}

std::string ConfigService::ReplyToCatchUp(const std::string &body) const {
  const auto from = Unpack<std::uint64_t>(body);
  return Pack(this->ledger.Since(from.value_or(0)));
}

void ConfigService::HandleInstalled(std::uint64_t version) {
  LogEvent(LogLevel::kInfo, "configuration in force", {{"version", version}});
  this->members.Get().SetConfigVersion(version);
  this->loop.Post([this] { this->SpreadVersion(); });
}

void ConfigService::SpreadVersion() {
  Membership &membership = this->members.Get();
  std::map<std::string, std::vector<NodeId>> zones;
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kDead) continue;
    const auto known = this->peer_versions.find(id);
    const bool up_to_date = known != this->peer_versions.end() &&
                            known->second >= this->ledger.Version();
    if (!up_to_date) zones[member.zone].push_back(id);
  }
  for (const auto &[zone, nodes] : zones) {
    const std::size_t count = std::min(kSpreadFanout, nodes.size());
    const std::size_t first = this->random.Index(nodes.size());
    for (std::size_t i = 0; i < count; ++i) {
      membership.Contact(nodes[(first + i) % nodes.size()]);
    }
  }
}

void ConfigService::Publish(ConfigChange change, Done done) {
  this->publisher.Commit(
      std::move(change), [this, done = std::move(done)](CommitReport report) {
        if (report.result != CommitResult::kCommitted) {
          const std::string why{kCommitResultNames.Name(report.result)};
          this->publisher.RecordRefusal(report.change, why);
          this->Poll();
          done({std::move(report), {}});
          return;
        }
        this->ledger.Apply(report.change);
        this->Poll();
        if (report.change.version % kVersionsPerSnapshot == 0) {
          this->objects.Put(kSnapshotObject, this->ledger.Snapshot().ToJson(),
                            [](ObjectStore::Stored) {});
        }
        const Time until = this->loop.GetClock().Now() + kAcceptTimeout;
        this->AwaitZones(report, until, done);
      });
}

std::vector<std::string> ConfigService::ZonesBehind(
    std::uint64_t version) const {
  const Membership &membership = this->members.Get();
  std::set<std::string> behind;
  std::set<std::string> reached{membership.Self().zone};
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kDead) {
      // A failed zone can't be distinguished from a partitioned one.
      behind.insert(member.zone);
      continue;
    }
    const auto known = this->peer_versions.find(id);
    const bool up_to_date =
        known != this->peer_versions.end() && known->second >= version;
    (up_to_date ? reached : behind).insert(member.zone);
  }
  std::vector<std::string> names;
  for (const auto &zone : behind) {
    if (reached.count(zone) == 0) names.push_back(zone);
  }
  return names;
}

void ConfigService::AwaitZones(const CommitReport &report, Time until,
                               const Done &done) {
  const auto behind = this->ZonesBehind(report.change.version);
  const bool timed_out = this->loop.GetClock().Now() >= until;
  if (behind.empty() || timed_out) {
    done({report, behind});
    return;
  }
  this->loop.After(kAcceptCheckPeriod, [this, report, until, done] {
    this->AwaitZones(report, until, done);
  });
}

}  // namespace pollenring
