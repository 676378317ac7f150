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

/*! @brief A row that was in the table when its holder last told of it. */
struct KnownRow {
  SlotRow row;
  std::uint64_t version{}; /*!< In the table. */
  Time ends{};             /*!< Nobody may use the slot under it afterwards. */
};

/**
 * @brief Promises holders of slots that nobody takes their slot for a while,
 * and elects a new holder when the promises have run out.
 *
 * A witness that has released an epoch never promises for it again, and it
 * votes once for each epoch. While a holder has sealed its row, in order to
 * write another one to the table, the witness elects nobody. What it promised
 * in an earlier life it does not know; it then reports the longest time that
 * such a promise can still run, and votes for nobody.
 */
class Witness {
 public:
  /**
   * @brief Starts without promises.
   * @param process This process.
   * @param options Timing.
   * @param clock Clock.
   */
  Witness(std::uint64_t process, const LeaseOptions &options,
          const Clock &clock);

  /**
   * @brief Answers a holder or a taker.
   * @param ask What it asks for.
   * @return Whether it is granted, and what the asker has to know.
   */
  [[nodiscard]] WitnessReply Answer(const WitnessQuery &ask);

  /**
   * @brief Finds the row that was last said to be in force.
   * @param slot The slot.
   * @return The row, or null when none was told.
   */
  [[nodiscard]] const KnownRow *Known(SlotId slot) const;

 private:
  /*! @brief What must be remembered of one row, until a later one is known. */
  struct RowMemory {
    std::uint64_t promised{};
    ProcessRef promised_to;
    Time promised_until{};
    std::uint64_t
        seal_epoch{};  /*!< Latest that was asked to be sealed or not. */
    ProcessRef sealer; /*!< Who asked so. */
    Time seal_asked{}; /*!< When it asked so, on its own clock. */
    bool sealed{};
  };
  struct Slot {
    std::uint64_t released{};
    std::uint64_t voted{};
    ProcessRef voted_for;
    std::map<std::uint64_t, RowMemory> rows; /*!< By the row's epoch. */
    KnownRow known;
  };

  [[nodiscard]] bool Promise(Slot &slot, const WitnessQuery &ask);
  [[nodiscard]] bool Vote(Slot &slot, const WitnessQuery &ask);
  void Resign(Slot &slot, const WitnessQuery &ask) const;
  static void Release(Slot &slot, std::uint64_t epoch);
  static void Seal(RowMemory &memory, const WitnessQuery &ask);
  void Learn(Slot &slot, const WitnessQuery &ask) const;
  [[nodiscard]] static bool SealedBefore(const Slot &slot, std::uint64_t epoch);

  std::uint64_t process;
  LeaseOptions options;
  const Clock &clock;
  Time started;
  std::unordered_map<SlotId, Slot> slots;
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_WITNESS_H_
