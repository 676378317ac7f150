#ifndef POLLENRING_STORAGE_STORAGE_H_
#define POLLENRING_STORAGE_STORAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pollenring/core/enum_table.h"
#include "pollenring/core/result.h"

namespace pollenring {

/*! @brief A row of the table; version 0 means that it does not exist. */
struct Row {
  std::string key;
  std::uint64_t version{};
  std::string value;
};

/*! @brief Precondition of a write: the version that a row must have. */
struct RowCondition {
  std::string key;
  std::uint64_t version{};
};

/*! @brief A row to write. */
struct RowPut {
  std::string key;
  std::string value;
};

/*! @brief Why a storage operation failed. */
enum class StorageError {
  kUnavailable, /*!< Nothing was written. */
  kUnknown,     /*!< A write may have happened. */
  kNotFound     /*!< There is no such object. */
};

/*! @brief Names of storage errors. */
inline constexpr EnumTable<StorageError, 3> kStorageErrorNames{{{
    {StorageError::kUnavailable, "unavailable"},
    {StorageError::kUnknown, "unknown"},
    {StorageError::kNotFound, "not found"},
}}};

/*! @brief Result of a conditional write. */
enum class WriteResult { kWritten, kConflict };

/*! @brief The platform's transactional table. */
class Table {
 public:
  using Rows = Result<std::vector<Row>, StorageError>;
  using Written = Result<WriteResult, StorageError>;

  Table() = default;
  Table(const Table &) = delete;
  Table &operator=(const Table &) = delete;
  virtual ~Table() = default;

  /**
   * @brief Reads rows in one snapshot.
   * @param keys Their keys.
   * @param done Called once, with one row per key; missing rows have version 0.
   */
  virtual void Read(const std::vector<std::string> &keys,
                    std::function<void(Rows)> done) = 0;

  /**
   * @brief Reads the rows whose keys have a prefix.
   * @param prefix Prefix of the keys.
   * @param done Called once, with the rows sorted by key.
   */
  virtual void List(const std::string &prefix,
                    std::function<void(Rows)> done) = 0;

  /**
   * @brief Writes all rows if all conditions hold, and none otherwise.
   * @param conditions Versions that rows must have.
   * @param puts Rows to write; the version of each increases by one.
   * @param done Called once.
   */
  virtual void Write(const std::vector<RowCondition> &conditions,
                     const std::vector<RowPut> &puts,
                     std::function<void(Written)> done) = 0;
};

/*! @brief The platform's object store. */
class ObjectStore {
 public:
  using Object = Result<std::string, StorageError>;
  using Stored = Result<std::monostate, StorageError>;

  ObjectStore() = default;
  ObjectStore(const ObjectStore &) = delete;
  ObjectStore &operator=(const ObjectStore &) = delete;
  virtual ~ObjectStore() = default;

  /**
   * @brief Stores an object and replaces any of that name.
   * @param name Name.
   * @param content Content.
   * @param done Called once.
   */
  virtual void Put(const std::string &name, std::string content,
                   std::function<void(Stored)> done) = 0;

  /**
   * @brief Fetches an object.
   * @param name Name.
   * @param done Called once.
   */
  virtual void Get(const std::string &name,
                   std::function<void(Object)> done) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_STORAGE_H_
