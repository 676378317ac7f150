#ifndef POLLENRING_CONFIG_PUBLISHER_H_
#define POLLENRING_CONFIG_PUBLISHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/config/change.h"
#include "pollenring/core/clock.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Rows of the configuration in the platform's table. */
inline constexpr const char *kHeadRow = "config/head";
inline constexpr const char *kChangeRowPrefix = "config/change/";
inline constexpr const char *kRefusedRowPrefix = "config/refused/";
inline constexpr const char *kSnapshotObject = "config-snapshot";

/**
 * @brief Names the row of a change so that rows sort by version.
 * @param version The version.
 * @return The key.
 */
[[nodiscard]] std::string ChangeRowKey(std::uint64_t version);

/*! @brief What became of a commit. */
enum class CommitResult { kCommitted, kConflict, kUnavailable, kUnknown };

/*! @brief Names of commit results. */
inline constexpr EnumTable<CommitResult, 4> kCommitResultNames{{{
    {CommitResult::kCommitted, "committed"},
    {CommitResult::kConflict, "raced"},
    {CommitResult::kUnavailable, "unavailable"},
    {CommitResult::kUnknown, "unknown"},
}}};

/*! @brief What an operator is told of a commit. */
struct CommitReport {
  CommitResult result{CommitResult::kUnknown};
  ConfigChange change;
  std::vector<ConfigChange> others; /*!< Changes that came first in a race. */
};

/**
 * @brief Commits changes to the platform's table, one version after another.
 *
 * The head row and the change's own row are written together, only if the head
 * is still at the version that the change builds on. After a lost answer the
 * change's row tells by its nonce whose write it was.
 */
class Publisher {
 public:
  using Done = std::function<void(CommitReport)>;

  /**
   * @brief Creates a publisher.
   * @param table The table.
   * @param clock Clock.
   */
  Publisher(Table &table, const Clock &clock) : table{table}, clock{clock} {}

  /**
   * @brief Commits a change.
   * @param change The change, with the version after the one it builds on.
   * @param done Called once with what is known.
   */
  void Commit(ConfigChange change, Done done);

  /**
   * @brief Records an attempt that was refused, as far as the table allows.
   * @param change The change.
   * @param why Why it was refused.
   */
  void RecordRefusal(const ConfigChange &change, const std::string &why);

 private:
  struct Attempt;

  void Write(const std::shared_ptr<Attempt> &attempt);
  void Recheck(const std::shared_ptr<Attempt> &attempt);
  void CollectOthers(const std::shared_ptr<Attempt> &attempt);

  Table &table;
  const Clock &clock;
};

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_PUBLISHER_H_
