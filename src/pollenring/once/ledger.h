#ifndef POLLENRING_ONCE_LEDGER_H_
#define POLLENRING_ONCE_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/once/record.h"

namespace pollenring {

/*! @brief Verdict of an identifier's owner on an attempt. */
enum class BeginVerdict {
  kRun,        /*!< This attempt may run, and no other ever. */
  kRan,        /*!< It has run; the response is included if still held. */
  kInProgress, /*!< Another attempt may still be running. */
  kUnknown,    /*!< Whether it has run can't be determined. */
  kExpired,    /*!< Created before the retention period or in the future. */
};

/*! @brief Names of the verdicts. */
inline constexpr EnumTable<BeginVerdict, 5> kBeginVerdictNames{{{
    {BeginVerdict::kRun, "run"},
    {BeginVerdict::kRan, "ran"},
    {BeginVerdict::kInProgress, "in progress"},
    {BeginVerdict::kUnknown, "unknown"},
    {BeginVerdict::kExpired, "expired"},
}}};

/*! @brief Decision about one attempt. */
struct BeginDecision {
  BeginVerdict verdict{BeginVerdict::kUnknown};
  bool recorded{}; /*!< A new record has to be mirrored. */
  std::string response;
};

/**
 * @brief Idempotency records of one slot: each identifier runs at most once.
 *
 * An identifier carries the time at which it was created. One created
 * before this ledger is complete and has no record may have begun under an
 * earlier owner; its verdict is "unknown" and it never runs.
 */
class OnceLedger {
 public:
  /**
   * @brief Starts without records.
   * @param complete_since All identifiers that began since then are recorded.
   * @param clock Clock.
   */
  OnceLedger(WallTime complete_since, const Clock &clock)
      : complete_since{complete_since}, clock{clock} {}

  [[nodiscard]] WallTime CompleteSince() const noexcept {
    return this->complete_since;
  }
  [[nodiscard]] std::size_t Size() const noexcept {
    return this->records.size();
  }

  /**
   * @brief Decides about an attempt to run.
   * @param key Workspace and identifier.
   * @param created When the identifier was created.
   * @param attempt Unique number of the attempt; repeats get the same verdict.
   * @param deadline Wall time at which the attempt ends.
   * @return The decision.
   */
  [[nodiscard]] BeginDecision Begin(const std::string &key, WallTime created,
                                    std::uint64_t attempt, WallTime deadline);

  /**
   * @brief Records the end of an attempt.
   * @param key Workspace and identifier.
   * @param attempt The attempt.
   * @param state How it ended.
   * @param response Its response; kept while there is room.
   */
  void End(const std::string &key, std::uint64_t attempt, OnceState state,
           std::string response);

  /*! @brief Copies all records for a successor. @return The log. */
  [[nodiscard]] OnceLog Log() const;

  /**
   * @brief Merges records of predecessors or their mirrors.
   * @param log Their log.
   */
  void Inherit(const OnceLog &log);

  /**
   * @brief Extends the period for which this ledger is complete.
   * @param since Earlier start of completeness.
   */
  void SetCompleteSince(WallTime since) noexcept {
    this->complete_since = std::min(this->complete_since, since);
  }

 private:
  void DropExpired();
  void StoreResponse(OnceRecord &record, std::string response);

  WallTime complete_since;
  const Clock &clock;
  std::unordered_map<std::string, OnceRecord> records;
  std::deque<std::pair<WallTime, std::string>> by_age;
  std::deque<std::string> with_response;
  std::size_t response_bytes{};
};

}  // namespace pollenring

#endif  // POLLENRING_ONCE_LEDGER_H_
