#ifndef POLLENRING_STORAGE_MEMORY_STORAGE_H_
#define POLLENRING_STORAGE_MEMORY_STORAGE_H_

#include <map>
#include <string>
#include <vector>

#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Faults to inject, in tests and the stand-in. */
struct StorageFaults {
  bool down{};
  bool lose_write_responses{};
};

/*! @brief A table in memory; calls back before the call returns. */
class MemoryTable final : public Table {
 public:
  [[nodiscard]] StorageFaults &Faults() noexcept { return this->faults; }
  [[nodiscard]] std::uint64_t Reads() const noexcept { return this->reads; }
  [[nodiscard]] std::uint64_t Writes() const noexcept { return this->writes; }

  void Read(const std::vector<std::string> &keys,
            std::function<void(Rows)> done) override;
  void List(const std::string &prefix, std::function<void(Rows)> done) override;
  void Write(const std::vector<RowCondition> &conditions,
             const std::vector<RowPut> &puts,
             std::function<void(Written)> done) override;

 private:
  [[nodiscard]] Row RowOf(const std::string &key) const;

  std::map<std::string, Row> rows;
  StorageFaults faults;
  std::uint64_t reads{};
  std::uint64_t writes{};
};

/*! @brief An object store in memory; calls back before the call returns. */
class MemoryObjectStore final : public ObjectStore {
 public:
  [[nodiscard]] StorageFaults &Faults() noexcept { return this->faults; }

  void Put(const std::string &name, std::string content,
           std::function<void(Stored)> done) override;
  void Get(const std::string &name, std::function<void(Object)> done) override;

 private:
  std::map<std::string, std::string> objects;
  StorageFaults faults;
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_MEMORY_STORAGE_H_
