#ifndef POLLENRING_ONCE_MIRROR_H_
#define POLLENRING_ONCE_MIRROR_H_

#include <cstdint>
#include <map>
#include <utility>

#include "pollenring/core/clock.h"
#include "pollenring/once/ledger.h"
#include "pollenring/once/record.h"

namespace pollenring {

/**
 * @brief Copies of other holders' idempotency records, kept by a witness.
 *
 * A copy is complete from when its epoch was opened, or from when the holder's
 * ledger is complete if that was copied too. The copies of all mirrors of a
 * holder contain every identifier that was allowed to run in that epoch.
 */
class OnceMirror {
 public:
  /**
   * @brief Starts without copies.
   * @param clock Clock.
   */
  explicit OnceMirror(const Clock &clock) : clock{clock} {}

  /**
   * @brief Copies a record.
   * @param slot The slot.
   * @param epoch The holder's epoch.
   * @param record The record.
   * @return True if it was copied; false once the epoch is closed.
   */
  [[nodiscard]] bool Copy(SlotId slot, std::uint64_t epoch,
                          const OnceRecord &record);

  /**
   * @brief Copies a holder's complete ledger as it opens an epoch.
   * @param slot The slot.
   * @param epoch The holder's epoch.
   * @param log The holder's records.
   */
  void Seed(SlotId slot, std::uint64_t epoch, const OnceLog &log);

  /**
   * @brief Closes an epoch and returns its copy.
   * @param slot The slot.
   * @param epoch The epoch; later copies for it or earlier ones are refused.
   * @return The copy.
   */
  [[nodiscard]] OnceLog Close(SlotId slot, std::uint64_t epoch);

 private:
  struct Copies {
    std::uint64_t closed{};
    std::uint64_t epoch{};
    WallTime complete_since{};
    std::uint64_t copied{};
    std::map<std::string, OnceRecord> records;
  };

  [[nodiscard]] Copies *Open(SlotId slot, std::uint64_t epoch);
  void DropExpired(Copies &copies) const;

  const Clock &clock;
  std::map<SlotId, Copies> slots;
};

}  // namespace pollenring

#endif  // POLLENRING_ONCE_MIRROR_H_
