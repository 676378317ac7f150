#include "pollenring/config/store_reader.h"

#include <algorithm>

#include "pollenring/config/publisher.h"

namespace pollenring {
namespace {

/*! @brief Changes fetched by one read. */
constexpr std::uint64_t kChangesPerRead = 64;

}  // namespace

void StoreReader::CatchUp(Done done) {
  this->table.Read({kHeadRow},
                   [this, done = std::move(done)](Table::Rows rows) mutable {
                     const auto *found = std::get_if<std::vector<Row>>(&rows);
                     if (found == nullptr) {
                       done(false);
                       return;
                     }
                     const std::uint64_t head = found->front().version;
                     if (head <= this->ledger.Version()) {
                       done(true);
                       return;
                     }
                     if (head - this->ledger.Version() > kChangesPerRead) {
                       this->ReadSnapshot(head, done);
                       return;
                     }
                     this->ReadChanges(head, std::move(done));
                   });
}

void StoreReader::ReadSnapshot(std::uint64_t head, const Done &done) {
  this->objects.Get(
      kSnapshotObject, [this, head, done](ObjectStore::Object object) {
        if (const auto *text = std::get_if<std::string>(&object)) {
          const auto snapshot = ConfigSnapshot::FromJson(*text);
          if (snapshot) this->ledger.Apply(*snapshot);
        }
        this->ReadChanges(head, done);
      });
}

void StoreReader::ReadChanges(std::uint64_t head, Done done) {
  if (head <= this->ledger.Version()) {
    done(true);
    return;
  }
  std::vector<std::string> keys;
  const std::uint64_t first = this->ledger.Version() + 1;
  const std::uint64_t last = std::min(head, first + kChangesPerRead - 1);
  for (std::uint64_t version = first; version <= last; ++version) {
    keys.push_back(ChangeRowKey(version));
  }
  this->table.Read(keys, [this, head, first,
                          done = std::move(done)](Table::Rows rows) mutable {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      done(false);
      return;
    }
    for (const auto &row : *found) {
      const auto change = ConfigChange::FromJson(row.value);
      if (change) this->ledger.Apply(*change);
    }
    const bool progressed = this->ledger.Version() >= first;
    if (!progressed) {
      done(true);
      return;
    }
    this->ReadChanges(head, std::move(done));
  });
}

}  // namespace pollenring
