#ifndef POLLENRING_CONFIG_STORE_READER_H_
#define POLLENRING_CONFIG_STORE_READER_H_

#include <functional>

#include "pollenring/config/ledger.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Brings a ledger up to the version that the platform stores. */
class StoreReader {
 public:
  /*! @brief Receives whether the platform responded. */
  using Done = std::function<void(bool reached)>;

  /**
   * @brief Creates a reader.
   * @param table The table.
   * @param objects The object store.
   * @param ledger The ledger to update.
   */
  StoreReader(Table &table, ObjectStore &objects, ConfigLedger &ledger)
      : table{table}, objects{objects}, ledger{ledger} {}

  /**
   * @brief Reads the head and the changes that the ledger lacks.
   * @param done Called once.
   */
  void CatchUp(Done done);

 private:
  void ReadChanges(std::uint64_t head, Done done);
  void ReadSnapshot(std::uint64_t head, const Done &done);

  Table &table;
  ObjectStore &objects;
  ConfigLedger &ledger;
};

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_STORE_READER_H_
