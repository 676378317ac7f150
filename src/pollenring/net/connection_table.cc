#include "pollenring/net/connection_table.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds{1};
/*! @brief Wait for `accept` that is worth a log line. */
constexpr Duration kLongWait = std::chrono::milliseconds{500};
/*! @brief Time without room after which a role doesn't accept. Shorter spans
 * are normal while connections turn over. */
constexpr Duration kFullGrace = std::chrono::milliseconds{500};
/*! @brief Time without a refusal after which a full role is tried again. */
constexpr Duration kRetryInterval = std::chrono::seconds{1};
/*! @brief Descriptors for all that is no connection: listeners, files, the
 * event queue, probes of targets, and closed connections of the current turn.
 */
constexpr std::size_t kOtherDescriptors = 32;
constexpr std::size_t kMinCapacity = 4;

/*! @brief Part of the descriptors that a role may use, in percent. */
struct CapacityPart {
  ConnectionRole role;
  std::size_t percent;
};

constexpr std::array<CapacityPart, kConnectionRoles> kCapacityParts{{
    {ConnectionRole::kCallers, 40},
    {ConnectionRole::kNodes, 25},
    {ConnectionRole::kTargets, 2},
    {ConnectionRole::kReadiness, 2},
    {ConnectionRole::kOperators, 2},
    {ConnectionRole::kOutgoing, 29},
}};

}  // namespace

ConnectionTable::ConnectionTable(const Clock &clock,
                                 std::size_t max_descriptors)
    : clock{clock} {
  const std::size_t usable =
      std::max(max_descriptors, 2 * kOtherDescriptors) - kOtherDescriptors;
  for (const auto &part : kCapacityParts) {
    this->capacities[static_cast<std::size_t>(part.role)] =
        std::max(kMinCapacity, usable * part.percent / 100);
  }
}

void ConnectionTable::Register(ConnectionRole role, IdleConnections &idle) {
  this->registered.push_back({role, &idle});
}

void ConnectionTable::Unregister(const IdleConnections &idle) {
  auto &all = this->registered;
  all.erase(std::remove_if(
                all.begin(), all.end(),
                [&idle](const auto &entry) { return entry.idle == &idle; }),
            all.end());
}

bool ConnectionTable::MakeRoom(ConnectionRole role) {
  const std::size_t open = this->Counts(role).open;
  if (open < this->Capacity(role)) return true;
  // Evicted connections end later in the turn, so that a few may be open beyond
  // the capacity.
  if (this->EvictOf(role, 1) > 0) return true;
  this->RecordRefusal(role);
  return false;
}

std::size_t ConnectionTable::Evict(ConnectionRole role, std::size_t count) {
  std::size_t evicted = this->EvictOf(role, count);
  for (const auto &part : kCapacityParts) {
    if (evicted >= count) break;
    if (part.role == role) continue;
    evicted += this->EvictOf(part.role, count - evicted);
  }
  return evicted;
}

std::size_t ConnectionTable::EvictOf(ConnectionRole role, std::size_t count) {
  std::size_t evicted = 0;
  for (const auto &entry : this->registered) {
    if (entry.role != role || evicted >= count) continue;
    evicted += entry.idle->CloseIdle(count - evicted);
  }
  if (evicted == 0) return 0;
  ConnectionCounts &of_role = this->counts[static_cast<std::size_t>(role)];
  of_role.evicted += evicted;
  if (!this->MayLog()) return evicted;
  LogEvent(LogLevel::kInfo, "idle connections evicted",
           {{"role", kConnectionRoleNames.Name(role)},
            {"evicted", of_role.evicted},
            {"open_of_role", of_role.open},
            {"capacity", this->Capacity(role)},
            {"left_out", std::exchange(this->left_out, 0)}});
  return evicted;
}

bool ConnectionTable::Accepting(ConnectionRole role) const {
  const ConnectionCounts &of_role = this->Counts(role);
  if (of_role.full_since == Time{}) return true;
  const Time now = this->clock.Now();
  return now - of_role.full_since < kFullGrace ||
         now - of_role.refused_at >= kRetryInterval;
}

void ConnectionTable::Add(ConnectionRole role, Duration waited) {
  ConnectionCounts &of_role = this->counts[static_cast<std::size_t>(role)];
  ++of_role.opened;
  of_role.full_since = {};
  of_role.peak = std::max(of_role.peak, ++of_role.open);
  of_role.longest_wait = std::max(of_role.longest_wait, waited);
  if (waited < kLongWait || !this->MayLog()) return;
  LogEvent(LogLevel::kWarning, "connection accepted late",
           {{"role", kConnectionRoleNames.Name(role)},
            {"waited_ms", waited.count() / 1000},
            {"open", this->Open()},
            {"left_out", std::exchange(this->left_out, 0)}});
}

void ConnectionTable::Remove(ConnectionRole role) {
  ConnectionCounts &of_role = this->counts[static_cast<std::size_t>(role)];
  --of_role.open;
  of_role.full_since = {};
}

void ConnectionTable::RecordFailure(ConnectionRole role, int error) {
  ConnectionCounts &of_role = this->counts[static_cast<std::size_t>(role)];
  const std::uint64_t failures = ++of_role.failures[error];
  if (!this->MayLog()) return;
  LogEvent(LogLevel::kWarning, "connection failed",
           {{"role", kConnectionRoleNames.Name(role)},
            {"error", std::generic_category().message(error)},
            {"failures", failures},
            {"open", this->Open()},
            {"open_of_role", of_role.open},
            {"left_out", std::exchange(this->left_out, 0)}});
}

void ConnectionTable::RecordRefusal(ConnectionRole role) {
  ConnectionCounts &of_role = this->counts[static_cast<std::size_t>(role)];
  ++of_role.refused;
  of_role.refused_at = this->clock.Now();
  if (of_role.full_since == Time{}) of_role.full_since = of_role.refused_at;
  if (!this->MayLog()) return;
  LogEvent(LogLevel::kWarning, "connection refused for want of room",
           {{"role", kConnectionRoleNames.Name(role)},
            {"refused", of_role.refused},
            {"open_of_role", of_role.open},
            {"capacity", this->Capacity(role)},
            {"left_out", std::exchange(this->left_out, 0)}});
}

std::size_t ConnectionTable::Open() const noexcept {
  std::size_t open = 0;
  for (const auto &of_role : this->counts) open += of_role.open;
  return open;
}

bool ConnectionTable::MayLog() {
  const Time now = this->clock.Now();
  if (this->logged_at != Time{} && now - this->logged_at < kLogInterval) {
    ++this->left_out;
    return false;
  }
  this->logged_at = now;
  return true;
}

}  // namespace pollenring
