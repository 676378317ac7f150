#include "pollenring/config/publisher.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

constexpr int kMaxRechecks = 3;
constexpr int kMaxRewrites = 3;
constexpr std::size_t kMaxConflicts = 16;

}  // namespace

std::string ChangeRowKey(std::uint64_t version) {
  std::array<char, 24> digits{};
  std::snprintf(digits.data(), digits.size(), "%012llu",
                static_cast<unsigned long long>(version));
  return std::string{kChangeRowPrefix} + digits.data();
}

struct Publisher::Attempt {
  ConfigChange change;
  Done done;
  int rechecks_left{kMaxRechecks};
  int rewrites_left{kMaxRewrites};
  bool uncertain{}; /*!< A write was sent that had no reply. */

  void Report(CommitResult result, std::vector<ConfigChange> conflicts = {}) {
    this->done({result, this->change, std::move(conflicts)});
  }
};

void Publisher::Commit(ConfigChange change, Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->change = std::move(change);
  attempt->change.nonce = RandomHex(16);
  attempt->change.wall_ms = this->clock.WallNow().count();
  attempt->done = std::move(done);
  this->Write(attempt);
}

void Publisher::Write(const std::shared_ptr<Attempt> &attempt) {
  const ConfigChange &change = attempt->change;
  const std::string key = ChangeRowKey(change.version);
  this->table.Write(
      {{kHeadRow, change.version - 1}, {key, 0}},
      {{kHeadRow, std::to_string(change.version)}, {key, change.ToJson()}},
      [this, attempt](Table::Written written) {
        if (const auto *result = std::get_if<WriteResult>(&written)) {
          if (*result == WriteResult::kWritten) {
            attempt->Report(CommitResult::kCommitted);
            return;
          }
          this->Recheck(attempt);
          return;
        }
        const auto error = std::get<StorageError>(written);
        if (error == StorageError::kUnavailable) {
          attempt->Report(attempt->uncertain ? CommitResult::kUnknown
                                             : CommitResult::kUnavailable);
          return;
        }
        attempt->uncertain = true;
        this->Recheck(attempt);
      });
}

void Publisher::Recheck(const std::shared_ptr<Attempt> &attempt) {
  const std::string key = ChangeRowKey(attempt->change.version);
  this->table.Read({key}, [this, attempt](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      if (--attempt->rechecks_left > 0) {
        this->Recheck(attempt);
        return;
      }
      attempt->Report(CommitResult::kUnknown);
      return;
    }
    const Row &row = found->front();
    if (row.version == 0) {
      // This version does not exist; the head is behind or ahead of the base.
      this->CollectConflicts(attempt);
      return;
    }
    const auto stored = ConfigChange::FromJson(row.value);
    if (stored && stored->nonce == attempt->change.nonce) {
      attempt->Report(CommitResult::kCommitted);
      return;
    }
    this->CollectConflicts(attempt);
  });
}

void Publisher::CollectConflicts(const std::shared_ptr<Attempt> &attempt) {
  this->table.Read({kHeadRow}, [this, attempt](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      attempt->Report(CommitResult::kUnknown);
      return;
    }
    const std::uint64_t head = found->front().version;
    if (head < attempt->change.version) {
      // A write without reply may still arrive. Sending it again is idempotent:
      // both have the same nonce, and at most one meets its conditions.
      const bool rewrite = attempt->uncertain && attempt->rewrites_left > 0;
      if (rewrite) {
        --attempt->rewrites_left;
        this->Write(attempt);
        return;
      }
      attempt->Report(attempt->uncertain ? CommitResult::kUnknown
                                         : CommitResult::kUnavailable);
      return;
    }
    std::vector<std::string> keys;
    for (std::uint64_t version = attempt->change.version;
         version <= head && keys.size() < kMaxConflicts; ++version) {
      keys.push_back(ChangeRowKey(version));
    }
    this->table.Read(keys, [attempt](Table::Rows changes) {
      std::vector<ConfigChange> conflicts;
      const auto *list = std::get_if<std::vector<Row>>(&changes);
      if (list == nullptr) {
        attempt->Report(CommitResult::kConflict);
        return;
      }
      for (const auto &row : *list) {
        const auto change = ConfigChange::FromJson(row.value);
        if (change) conflicts.push_back(*change);
      }
      attempt->Report(CommitResult::kConflict, std::move(conflicts));
    });
  });
}

void Publisher::RecordRefusal(const ConfigChange &change,
                              const std::string &reason) {
  ConfigChange record = change;
  record.wall_ms = this->clock.WallNow().count();
  nlohmann::json json = nlohmann::json::parse(record.ToJson());
  json["refused"] = reason;
  const std::string key =
      kRefusedRowPrefix + std::to_string(record.wall_ms) + "-" + RandomHex(4);
  this->table.Write({{key, 0}}, {{key, json.dump()}}, [](Table::Written) {});
}

}  // namespace pollenring
