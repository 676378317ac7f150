#include "pollenring/storage/memory_storage.h"

#include <algorithm>

namespace pollenring {

Row MemoryTable::RowOf(const std::string &key) const {
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) return Row{key, 0, {}};
  return found->second;
}

void MemoryTable::Read(const std::vector<std::string> &keys,
                       std::function<void(Rows)> done) {
  ++this->reads;
  if (this->faults.down) {
    done(StorageError::kUnavailable);
    return;
  }
  std::vector<Row> found;
  found.reserve(keys.size());
  for (const auto &key : keys) found.push_back(this->RowOf(key));
  done(std::move(found));
}

void MemoryTable::List(const std::string &prefix,
                       std::function<void(Rows)> done) {
  ++this->reads;
  if (this->faults.down) {
    done(StorageError::kUnavailable);
    return;
  }
  std::vector<Row> found;
  for (auto it = this->rows.lower_bound(prefix); it != this->rows.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    found.push_back(it->second);
  }
  done(std::move(found));
}

void MemoryTable::Write(const std::vector<RowCondition> &conditions,
                        const std::vector<RowPut> &puts,
                        std::function<void(Written)> done) {
  ++this->writes;
  if (this->faults.down) {
    done(StorageError::kUnavailable);
    return;
  }
  const bool holds = std::all_of(
      conditions.begin(), conditions.end(), [this](const auto &condition) {
        return this->RowOf(condition.key).version == condition.version;
      });
  if (holds) {
    for (const auto &put : puts) {
      Row row = this->RowOf(put.key);
      ++row.version;
      row.value = put.value;
      this->rows[put.key] = std::move(row);
    }
  }
  if (this->faults.lose_write_responses) {
    done(StorageError::kUnknown);
    return;
  }
  done(holds ? WriteResult::kWritten : WriteResult::kConflict);
}

void MemoryObjectStore::Put(const std::string &name, std::string content,
                            std::function<void(Stored)> done) {
  if (this->faults.down) {
    done(StorageError::kUnavailable);
    return;
  }
  this->objects[name] = std::move(content);
  if (this->faults.lose_write_responses) {
    done(StorageError::kUnknown);
    return;
  }
  done(std::monostate{});
}

void MemoryObjectStore::Get(const std::string &name,
                            std::function<void(Object)> done) {
  if (this->faults.down) {
    done(StorageError::kUnavailable);
    return;
  }
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) {
    done(StorageError::kNotFound);
    return;
  }
  done(found->second);
}

}  // namespace pollenring
