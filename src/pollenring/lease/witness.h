#ifndef POLLENRING_LEASE_WITNESS_H_
#define POLLENRING_LEASE_WITNESS_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/lease/options.h"
#include "pollenring/lease/slot_row.h"
#include "pollenring/lease/witness_messages.h"

namespace pollenring {

/*! @brief A row that its holder last reported to be in the table. */
struct KnownRow {
  SlotRow row;
  std::uint64_t version{}; /*!< Version in the table. */
  Time ends{}; /*!< Nobody may use the slot under this row afterwards. */
};

/**
 * @brief Promises a slot's holder for a limited time that no other node takes
 * the slot over, and elects a new holder once the promises have expired.
 *
 * A witness never promises again for an epoch it has released, and votes once
 * per epoch. While a holder has sealed its row, in order to write the next one
 * to the table, the witness elects no one. It does not know what an earlier
 * process promised; for that it reports the maximum time such a promise can
 * still run, and does not vote.
 */
class Witness {
 public:
  /**
   * @brief Starts without promises.
   * @param process ID of this process.
   * @param options Timing.
   * @param clock Clock.
   */
  Witness(std::uint64_t process, const LeaseOptions &options,
          const Clock &clock);

  /**
   * @brief Handles the query of a holder or a claiming node.
   * @param query The query.
   * @return The decision, and the state that the sender needs.
   */
  [[nodiscard]] WitnessReply HandleQuery(const WitnessQuery &query);

  /**
   * @brief Finds the row that was last reported active.
   * @param slot The slot.
   * @return The row, or null if none was reported.
   */
  [[nodiscard]] const KnownRow *Known(SlotId slot) const;

 private:
  /*! @brief State of one row, kept until a later row is known. */
  struct RowMemory {
    std::uint64_t promised{};
    ProcessRef promised_to;
    Time promised_until{};
    std::uint64_t
        seal_epoch{};  /*!< Latest epoch with a seal or unseal request. */
    ProcessRef sealer; /*!< Process that sent it. */
    Time seal_sent{};  /*!< Time of sending, on that process's clock. */
    bool sealed{};
  };
  struct Slot {
    std::uint64_t released{};
    std::uint64_t voted{};
    ProcessRef voted_for;
    std::map<std::uint64_t, RowMemory> rows; /*!< By the row's epoch. */
    KnownRow known;
  };

  [[nodiscard]] bool Promise(Slot &slot, const WitnessQuery &query);
  [[nodiscard]] bool Vote(Slot &slot, const WitnessQuery &query);
  void Resign(Slot &slot, const WitnessQuery &query) const;
  static void Release(Slot &slot, std::uint64_t epoch);
  static void Seal(RowMemory &memory, const WitnessQuery &query);
  void RecordActiveRow(Slot &slot, const WitnessQuery &query) const;
  [[nodiscard]] static bool SealedBefore(const Slot &slot, std::uint64_t epoch);

  std::uint64_t process;
  LeaseOptions options;
  const Clock &clock;
  Time started;
  std::unordered_map<SlotId, Slot> slots;
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_WITNESS_H_
