#include "pollenring/net/buffer_budget.h"

#include <algorithm>
#include <tuple>

namespace pollenring {
namespace {

/*! @brief Part of the maximum above which connections over their shares wait,
 * and below which they go on, in percent. The gap avoids frequent changes. */
constexpr std::size_t kPressurePercent = 75;
constexpr std::size_t kReliefPercent = 67;
/*! @brief Part of the maximum that one request may take, in percent; the rest
 * holds the shares. */
constexpr std::size_t kRequestPercent = 75;
/*! @brief Bytes that count as progress, or a part of what is held: single bytes
 * must not keep a large buffer alive. */
constexpr std::size_t kProgressBytes = std::size_t{16} * 1024;
constexpr std::size_t kProgressDivisor = 16;
/*! @brief Time without progress after which another connection may read
 * instead; above the time of a retransmission. */
constexpr Duration kLeaderStall = std::chrono::milliseconds{250};
/*! @brief Differences of progress below this are chance; size decides. */
constexpr Duration kMinIdle = std::chrono::milliseconds{100};
constexpr std::size_t kPercent = 100;

[[nodiscard]] constexpr std::size_t IndexOf(BufferRole role) noexcept {
  return static_cast<std::size_t>(role);
}

[[nodiscard]] std::size_t PartOf(std::size_t bytes,
                                 std::size_t percent) noexcept {
  return bytes / kPercent * percent + bytes % kPercent * percent / kPercent;
}

}  // namespace

BufferBudget::BufferBudget(const BufferBudgetOptions &options,
                           const Clock &clock)
    : options{options},
      clock{clock},
      request_room{std::min(options.max_body_bytes,
                            PartOf(options.max_bytes, kRequestPercent))} {}

BufferBudget::ConnectionId BufferBudget::Open() {
  const ConnectionId id = ++this->last_id;
  this->connections[id].progressed_at = this->clock.Now();
  return id;
}

void BufferBudget::Close(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  Connection &connection = found->second;
  for (const auto &row : kBufferRoleNames.rows) {
    this->Add(row.value, connection.bytes[IndexOf(row.value)], 0);
  }
  if (connection.evicted) this->evicted_bytes -= connection.total;
  if (!connection.evicted && connection.total > 0) --this->holding;
  if (connection.paused) --this->counts.paused;
  if (this->leader == id) this->leader = 0;
  this->connections.erase(found);
  this->UpdatePressure();
}

void BufferBudget::Set(ConnectionId id, BufferRole role, std::size_t bytes) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  Connection &connection = found->second;
  std::size_t &held = connection.bytes[IndexOf(role)];
  const std::size_t before = held;
  if (before == bytes) return;
  const bool held_any = connection.total > 0;
  held = bytes;
  connection.total = connection.total - before + bytes;
  this->Add(role, before, bytes);
  if (connection.evicted) {
    this->evicted_bytes = this->evicted_bytes - before + bytes;
    return;
  }
  if (held_any && connection.total == 0) --this->holding;
  if (!held_any && connection.total > 0) ++this->holding;
  this->RecordProgress(connection, role, before, bytes);
  this->UpdatePressure();
  const bool waits =
      this->pressure && this->leader != id && this->IsOver(connection);
  if (waits) this->Pause(connection);
}

void BufferBudget::RecordWritten(ConnectionId id, std::size_t bytes) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  found->second.progress += bytes;
  this->CreditProgress(found->second, false);
}

void BufferBudget::SetShared(BufferRole role, std::size_t bytes) {
  std::size_t &held = this->shared[IndexOf(role)];
  this->shared_bytes = this->shared_bytes - held + bytes;
  this->Add(role, held, bytes);
  held = bytes;
  this->UpdatePressure();
}

bool BufferBudget::MayRead(ConnectionId id) const {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return false;
  return !found->second.paused && !found->second.evicted;
}

std::vector<Eviction> BufferBudget::Enforce() {
  if (!this->pressure) return {};
  for (auto &[id, connection] : this->connections) {
    if (connection.evicted || id == this->leader) continue;
    if (this->IsOver(connection)) {
      this->Pause(connection);
    } else {
      this->Resume(connection);
    }
  }
  this->ChooseLeader();
  return this->MakeRoom();
}

std::vector<Eviction> BufferBudget::MakeRoom() {
  std::vector<Eviction> evictions;
  if (this->counts.total - this->evicted_bytes <= this->options.max_bytes) {
    return evictions;
  }
  // What has no evictable bytes is a request in progress, which may have run.
  struct Candidate {
    bool within;
    bool in_progress;
    bool leads;
    double score;
    ConnectionId id;
  };
  std::vector<Candidate> candidates;
  for (const auto &[id, connection] : this->connections) {
    if (connection.evicted || connection.total == 0) continue;
    candidates.push_back({!this->IsOver(connection), Evictable(connection) == 0,
                          id == this->leader, this->Score(connection), id});
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate &a, const Candidate &b) {
        return std::tuple{a.in_progress, a.within, a.leads, -a.score, a.id} <
               std::tuple{b.in_progress, b.within, b.leads, -b.score, b.id};
      });
  for (const Candidate &candidate : candidates) {
    const std::size_t resident = this->counts.total - this->evicted_bytes;
    if (resident <= this->options.max_bytes) break;
    Connection &connection = this->connections.at(candidate.id);
    connection.evicted = true;
    this->evicted_bytes += connection.total;
    --this->holding;
    if (this->leader == candidate.id) this->leader = 0;
    const auto reason =
        connection.bytes[IndexOf(BufferRole::kToCallers)] >
                connection.bytes[IndexOf(BufferRole::kReceiving)]
            ? EvictionReason::kToCallers
            : EvictionReason::kReceiving;
    ++this->counts.evicted[static_cast<std::size_t>(reason)];
    evictions.push_back({candidate.id, reason});
  }
  this->UpdatePressure();
  return evictions;
}

bool BufferBudget::AdmitRequest() {
  const std::size_t resident = this->counts.total - this->evicted_bytes;
  if (resident <= this->options.max_bytes) return true;
  ++this->counts.refused;
  return false;
}

std::size_t BufferBudget::Share() const noexcept {
  const std::size_t beside = this->options.max_bytes - this->request_room;
  const std::size_t room = beside - std::min(beside, this->shared_bytes);
  return room / std::max<std::size_t>(1, this->holding);
}

void BufferBudget::Add(BufferRole role, std::size_t before, std::size_t after) {
  std::size_t &bytes = this->counts.bytes[IndexOf(role)];
  bytes = bytes - before + after;
  this->counts.total = this->counts.total - before + after;
  this->counts.peak = std::max(this->counts.peak, this->counts.total);
}

void BufferBudget::RecordProgress(Connection &connection, BufferRole role,
                                  std::size_t before, std::size_t after) {
  const bool grew = after > before;
  if (role == BufferRole::kReceiving && grew) {
    connection.progress += after - before;
  }
  if (role == BufferRole::kToCallers && !grew) {
    connection.progress += before - after;
  }
  const bool response_begins =
      role == BufferRole::kToCallers && before == 0 && grew;
  const bool request_complete = role == BufferRole::kReceiving && after == 0;
  this->CreditProgress(connection, response_begins || request_complete);
}

void BufferBudget::CreditProgress(Connection &connection, bool at_once) {
  const std::size_t enough =
      std::min(kProgressBytes, connection.total / kProgressDivisor);
  if (connection.progress <= enough && !at_once) return;
  connection.progress = 0;
  connection.progressed_at = this->clock.Now();
  connection.paused_at = connection.progressed_at;
}

void BufferBudget::UpdatePressure() {
  const std::size_t resident = this->counts.total - this->evicted_bytes;
  const std::size_t percent =
      this->pressure ? kReliefPercent : kPressurePercent;
  const bool was = this->pressure;
  this->pressure = resident > PartOf(this->options.max_bytes, percent);
  if (!was || this->pressure) return;
  this->leader = 0;
  for (auto &[id, connection] : this->connections) this->Resume(connection);
}

void BufferBudget::ChooseLeader() {
  const auto current = this->connections.find(this->leader);
  const bool leads = current != this->connections.end() &&
                     this->IsOver(current->second) &&
                     this->IdleTime(current->second) <= kLeaderStall;
  if (leads) return;
  // Without another one that waits, a stalled leader goes on.
  auto best = this->connections.end();
  for (auto it = this->connections.begin(); it != this->connections.end();
       ++it) {
    const Connection &connection = it->second;
    if (!connection.paused || connection.evicted) continue;
    if (connection.bytes[IndexOf(BufferRole::kReceiving)] == 0) continue;
    const bool better = best == this->connections.end() ||
                        std::tuple{this->Score(connection), it->first} <
                            std::tuple{this->Score(best->second), best->first};
    if (better) best = it;
  }
  if (best == this->connections.end()) return;
  if (current != this->connections.end() && this->IsOver(current->second)) {
    this->Pause(current->second);
  }
  this->leader = best->first;
  this->Resume(best->second);
}

void BufferBudget::Pause(Connection &connection) {
  if (connection.paused) return;
  connection.paused = true;
  connection.paused_at = this->clock.Now();
  ++this->counts.paused;
  ++this->counts.pauses;
}

void BufferBudget::Resume(Connection &connection) {
  if (!connection.paused) return;
  // Time in which it was not read is no fault of its caller.
  connection.progressed_at = this->clock.Now() - this->IdleTime(connection);
  connection.paused = false;
  --this->counts.paused;
}

bool BufferBudget::IsOver(const Connection &connection) const noexcept {
  return connection.total > this->Share();
}

Duration BufferBudget::IdleTime(const Connection &connection) const {
  const bool frozen = connection.paused &&
                      connection.bytes[IndexOf(BufferRole::kToCallers)] == 0;
  const Time until = frozen ? connection.paused_at : this->clock.Now();
  return until - connection.progressed_at;
}

double BufferBudget::Score(const Connection &connection) const {
  const Duration idle = this->IdleTime(connection) + kMinIdle;
  return static_cast<double>(Evictable(connection)) *
         static_cast<double>(idle.count());
}

std::size_t BufferBudget::Evictable(const Connection &connection) {
  return connection.bytes[IndexOf(BufferRole::kReceiving)] +
         connection.bytes[IndexOf(BufferRole::kToCallers)];
}

}  // namespace pollenring
