#include "pollenring/once/ledger.h"

#include <algorithm>
#include <utility>

#include "pollenring/core/hash.h"
#include "pollenring/core/invariant.h"

namespace pollenring {
namespace {

constexpr std::size_t kMaxStoredResponseBytes = std::size_t{16} * 1024;
constexpr std::size_t kResponseBudgetBytes = std::size_t{4} * 1024 * 1024;
/*! @brief Separates the hash of slots from that of workspaces. */
constexpr std::uint64_t kSlotSeed = 0x0ced;

}  // namespace

SlotId SlotOfKey(const std::string &key, SlotId slots) {
  return static_cast<SlotId>(Hash64(key, kSlotSeed) % slots);
}

BeginDecision OnceLedger::Begin(const std::string &key, WallTime created,
                                std::uint64_t attempt, WallTime deadline) {
  this->DropExpired();
  const WallTime now = this->clock.WallNow();
  const auto found = this->records.find(key);
  if (found != this->records.end()) {
    OnceRecord &record = found->second;
    if (record.state == OnceState::kAborted) {
      if (record.attempt == attempt) return {BeginVerdict::kUnknown, false, {}};
      record.state = OnceState::kStarted;
      record.attempt = attempt;
      record.deadline_ms = deadline.count();
      return {BeginVerdict::kRun, true, {}};
    }
    if (record.state == OnceState::kRan) {
      return {BeginVerdict::kRan, false, record.response};
    }
    const bool same = record.attempt == attempt;
    if (same && record.state == OnceState::kStarted) {
      return {BeginVerdict::kRun, false, {}};
    }
    const bool may_still_run = record.state == OnceState::kStarted &&
                               now.count() <= record.deadline_ms;
    return {may_still_run ? BeginVerdict::kInProgress : BeginVerdict::kUnknown,
            false,
            {}};
  }
  const bool from_future = created > now + kMaxWallSkew;
  const bool too_old = created + kOnceRetention - 2 * kMaxWallSkew < now;
  if (from_future || too_old) return {BeginVerdict::kExpired, false, {}};
  if (created < this->complete_since + kMaxWallSkew) {
    const bool may_have_begun = this->complete_since > WallTime{0};
    if (may_have_begun) return {BeginVerdict::kUnknown, false, {}};
  }
  OnceRecord record;
  record.key = key;
  record.created_ms = created.count();
  record.deadline_ms = deadline.count();
  record.attempt = attempt;
  this->records.emplace(key, std::move(record));
  this->by_age.emplace_back(now, key);
  return {BeginVerdict::kRun, true, {}};
}

void OnceLedger::End(const std::string &key, std::uint64_t attempt,
                     OnceState state, std::string response) {
  const auto found = this->records.find(key);
  if (found == this->records.end()) return;
  OnceRecord &record = found->second;
  if (record.attempt != attempt) return;
  if (record.state == OnceState::kRan) return;
  record.state = state;
  if (state == OnceState::kRan)
    this->StoreResponse(record, std::move(response));
}

void OnceLedger::StoreResponse(OnceRecord &record, std::string response) {
  if (response.size() > kMaxStoredResponseBytes) return;
  this->response_bytes += response.size();
  record.response = std::move(response);
  this->with_response.push_back(record.key);
  while (this->response_bytes > kResponseBudgetBytes) {
    const auto oldest = this->records.find(this->with_response.front());
    this->with_response.pop_front();
    if (oldest == this->records.end()) continue;
    this->response_bytes -= oldest->second.response.size();
    oldest->second.response.clear();
  }
}

OnceLog OnceLedger::Log() const {
  OnceLog log;
  log.complete_since_ms = this->complete_since.count();
  for (const auto &[key, record] : this->records) log.records.push_back(record);
  return log;
}

void OnceLedger::Inherit(const OnceLog &log) {
  const WallTime now = this->clock.WallNow();
  for (const auto &record : log.records) {
    const auto [found, added] = this->records.emplace(record.key, record);
    if (added) {
      this->by_age.emplace_back(now, record.key);
      this->response_bytes += record.response.size();
      if (!record.response.empty()) this->with_response.push_back(record.key);
      continue;
    }
    const bool worse = found->second.state == OnceState::kAborted &&
                       record.state != OnceState::kAborted;
    if (worse) found->second.state = record.state;
  }
}

void OnceLedger::DropExpired() {
  const WallTime oldest = this->clock.WallNow() - kOnceRetention - kMaxWallSkew;
  while (!this->by_age.empty() && this->by_age.front().first < oldest) {
    const auto found = this->records.find(this->by_age.front().second);
    this->by_age.pop_front();
    if (found == this->records.end()) continue;
    this->response_bytes -= found->second.response.size();
    this->records.erase(found);
  }
}

}  // namespace pollenring
