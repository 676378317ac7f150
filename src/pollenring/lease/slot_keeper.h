#ifndef POLLENRING_LEASE_SLOT_KEEPER_H_
#define POLLENRING_LEASE_SLOT_KEEPER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/core/random.h"
#include "pollenring/lease/options.h"
#include "pollenring/lease/promises.h"
#include "pollenring/lease/slot_row.h"
#include "pollenring/lease/witness.h"
#include "pollenring/lease/witness_messages.h"

namespace pollenring {

/*! @brief How a slot came to this node. */
enum class SlotOrigin { kTakenOver, kHandedOver };

/*! @brief What is known of the nodes that may hold or witness slots. */
class SlotDirectory {
 public:
  SlotDirectory() = default;
  SlotDirectory(const SlotDirectory &) = delete;
  SlotDirectory &operator=(const SlotDirectory &) = delete;
  virtual ~SlotDirectory() = default;

  /*! @brief Whether a node that lives says it holds the slot. */
  [[nodiscard]] virtual bool HolderLives(SlotId slot) const = 0;

  /*! @brief Place of this node among those that may claim; none if it may not.
   */
  [[nodiscard]] virtual std::optional<std::size_t> Rank(SlotId slot) const = 0;

  /*! @brief Best witnesses for a holder. @param holder Holder. @return Them. */
  [[nodiscard]] virtual std::vector<ProcessRef> WitnessesFor(
      const ProcessRef &holder) const = 0;

  /*! @brief Whether a process is thought to live. @param ref Process. */
  [[nodiscard]] virtual bool Lives(const ProcessRef &ref) const = 0;
};

/*! @brief What keeping slots asks of its surroundings. */
class SlotDelegate {
 public:
  SlotDelegate() = default;
  SlotDelegate(const SlotDelegate &) = delete;
  SlotDelegate &operator=(const SlotDelegate &) = delete;
  virtual ~SlotDelegate() = default;

  /*! @brief Reads the slot's row; answer with `RowRead`. */
  virtual void ReadRow(SlotId slot) = 0;

  /*! @brief Writes the row if it has a version; answer with `RowWritten`. */
  virtual void WriteRow(SlotId slot, std::uint64_t version,
                        const SlotRow &row) = 0;

  /*! @brief Asks a witness; its answer goes to `Answered`. */
  virtual void Ask(const ProcessRef &witness, const WitnessQuery &ask) = 0;

  /*! @brief The slot is this node's. @param before Its last holder's row;
   * without witnesses when it is not known who held the slot last. */
  virtual void Gained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                      const SlotRow &before) = 0;

  /*! @brief Witnesses have changed. @param row The new row. */
  virtual void Rewitnessed(SlotId slot, const SlotRow &row) = 0;

  /*! @brief The slot is no longer this node's. */
  virtual void Lost(SlotId slot) = 0;

  /*! @brief The slot is a successor's, at this node's wish.
   * @param row The row that names it, or the one that this node has resigned.
   * @param successor Its next holder. */
  virtual void HandedOver(SlotId slot, const SlotRow &row,
                          const ProcessRef &successor) = 0;
};

/*! @brief What became of a row's write. */
enum class RowWrite { kWritten, kConflict, kUnavailable, kUnknown };

/**
 * @brief Claims, holds, renews and hands over the slots of one node.
 *
 * A row of the table names a holder and its witnesses, whose promises say how
 * long a holder is valid. A holder needs no table to stay valid. When it is
 * lost, the witnesses elect another one among them, without the table, and that
 * one writes a row of its own when it can. Before a holder writes a row, a
 * majority of its witnesses has to stop electing. When too few witnesses are
 * left for that, a taker makes them release the row and writes the next one.
 */
class SlotKeeper {
 public:
  /**
   * @brief Starts without slots.
   * @param self This process.
   * @param slots Number of slots in all.
   * @param options Timing.
   * @param clock Clock.
   * @param random Randomness.
   * @param directory Who may hold and witness.
   * @param witness This process's witness, which knows rows without the table.
   * @param observer Carries out requests.
   */
  SlotKeeper(const ProcessRef &self, SlotId slots, const LeaseOptions &options,
             const Clock &clock, Random &random, const SlotDirectory &directory,
             const Witness &witness, SlotDelegate &observer);

  /**
   * @brief Time until which this node may use the slot.
   * @param slot The slot.
   * @return That time on this node's clock; not after now when it may not.
   */
  [[nodiscard]] Time ValidUntil(SlotId slot) const;

  /**
   * @brief Whether this node may use the slot now.
   * @param slot The slot.
   */
  [[nodiscard]] bool Valid(SlotId slot) const {
    return this->clock.Now() < this->ValidUntil(slot);
  }

  /**
   * @brief Epoch and witnesses of a held slot.
   * @param slot The slot.
   * @return The row, or null when the slot is not this node's.
   */
  [[nodiscard]] const SlotRow *Held(SlotId slot) const;

  /*! @brief Slots that are this node's. @return Slots and epochs. */
  [[nodiscard]] std::vector<SlotClaim> Claims() const;

  /*! @brief Whether a slot is being given to a successor now. */
  [[nodiscard]] bool HandingOver() const noexcept;

  /*! @brief Held slots whose loss their witnesses could not make good, as
   * there are none beside this node. @return The count. */
  [[nodiscard]] std::size_t Fragile() const;

  /*! @brief Advances claims and renewals; call it often. */
  void Tick();

  /*! @brief Stops claiming, for a node that leaves. */
  void StopClaiming() noexcept { this->claiming = false; }

  /**
   * @brief Gives a slot to another node; it can't be used here from now on.
   * @param slot The slot.
   * @param successor Its next holder.
   */
  void HandOverTo(SlotId slot, const ProcessRef &successor);

  /**
   * @brief Lets a witness succeed this node without the table, if that is down.
   * @param slot The slot.
   * @param successor One of its row's witnesses.
   * @return Whether this node has given up the slot.
   */
  bool Resign(SlotId slot, const ProcessRef &successor);

  /**
   * @brief Stands for election for a slot whose holder has resigned.
   * @param slot The slot.
   */
  void Campaign(SlotId slot);

  /**
   * @brief Takes a slot that its holder gave to this node.
   * @param slot The slot.
   * @param row The row that the giver wrote.
   */
  void AcceptHandover(SlotId slot, const SlotRow &row);

  /*! @brief The row was read. @param version 0 when there is none. */
  void RowRead(SlotId slot, std::uint64_t version,
               const std::optional<SlotRow> &row);

  /*! @brief The row could not be read. */
  void RowUnreadable(SlotId slot);

  /*! @brief The write of the row has ended. */
  void RowWritten(SlotId slot, RowWrite result);

  /*! @brief A witness has answered. @param from The one that was asked. */
  void Answered(const ProcessRef &from, const WitnessReply &answer);

  /**
   * @brief Names what is being done about a slot, for status and tests.
   * @param slot The slot.
   * @return The name.
   */
  [[nodiscard]] std::string_view PhaseName(SlotId slot) const;

 private:
  enum class Phase {
    kFree,
    kElecting,
    kReading,
    kReleasing,
    kWaiting,
    kPromising,
    kWriting,
    kAdopting,
    kHeld,
    kGiving,
  };
  static constexpr EnumTable<Phase, 10> kPhaseNames{{{
      {Phase::kFree, "free"},
      {Phase::kElecting, "electing"},
      {Phase::kReading, "reading"},
      {Phase::kReleasing, "releasing"},
      {Phase::kWaiting, "waiting"},
      {Phase::kPromising, "promising"},
      {Phase::kWriting, "writing"},
      {Phase::kAdopting, "adopting"},
      {Phase::kHeld, "held"},
      {Phase::kGiving, "giving"},
  }}};

  /*! @brief Who was last promised anything under a row, as witnesses say. */
  struct LastPromise {
    std::uint64_t epoch{};
    ProcessRef holder;
    std::set<ProcessRef> told_by;
  };

  struct Slot {
    Phase phase{Phase::kFree};
    SlotRow row;             /*!< Held, or last known to be in force. */
    SlotRow in_table;        /*!< The table's row; another one if elected. */
    std::uint64_t version{}; /*!< Its version in the table. */
    Promises current;        /*!< For the row held. */
    std::optional<Promises> next; /*!< For the row being written. */
    bool next_sent{};             /*!< The next row's write may take effect. */
    bool in_doubt{};              /*!< A write was sent and never answered. */
    bool must_read{};             /*!< Only the table can tell what happened. */
    bool refused{};  /*!< A witness refuses promises for the row held. */
    bool adopting{}; /*!< The read checks a row given to this node. */
    bool reading{};  /*!< A read is in progress while held. */
    std::set<ProcessRef> agreed; /*!< Have released, or voted for this node. */
    std::set<ProcessRef> sealed; /*!< Elect nobody under the row held. */
    std::set<ProcessRef> outvoted; /*!< Have voted for a later epoch. */
    std::set<ProcessRef> told;     /*!< Know the table's row to be in force. */
    LastPromise last_promise;
    bool invited{};         /*!< The holder has resigned, though it lives. */
    bool election_failed{}; /*!< Too few witnesses have answered. */
    std::uint64_t highest_vote{}; /*!< Latest epoch that anybody voted for. */
    Time seal_from{}; /*!< Seals that were asked for before are void. */
    Time wait_until{};
    Time next_send{};
    Time next_check{};
    Time round_ends{};
    Time retry_at{};
    Time elect_at{};
    Time orphaned_at{};
    Time touched{}; /*!< Last write known to be in the table. */
    Time write_sent{};
    std::uint64_t seen_version{};
    Time seen_since{};
  };

  void TickFree(SlotId id, Slot &slot);
  void TickElecting(SlotId id, Slot &slot);
  void TickReleasing(SlotId id, Slot &slot);
  void TickPromising(SlotId id, Slot &slot);
  void TickHeld(SlotId id, Slot &slot);
  void Renew(SlotId id, Slot &slot);
  void ChangeWitnesses(SlotId id, Slot &slot);
  void StartRound(Slot &slot, Phase phase);
  [[nodiscard]] bool AsksNow(Slot &slot);
  void StartElection(SlotId id, Slot &slot, const KnownRow &known);
  void StartReleasing(SlotId id, Slot &slot);
  void StartPromising(SlotId id, Slot &slot);
  void StartChange(SlotId id, Slot &slot, SlotRow next);
  void SendWrite(SlotId id, Slot &slot);
  void SendChange(SlotId id, Slot &slot);
  void ReadAgain(SlotId id, Slot &slot);
  void StartAdopting(SlotId id, Slot &slot, std::uint64_t version,
                     const SlotRow &row);
  void Promised(SlotId id, Slot &slot, const ProcessRef &from,
                const WitnessReply &answer);
  void PromiseRefused(SlotId id, Slot &slot, const ProcessRef &from,
                      const WitnessReply &answer);
  void Released(Slot &slot, const ProcessRef &from, const WitnessReply &answer);
  void Voted(SlotId id, Slot &slot, const ProcessRef &from,
             const WitnessReply &answer);
  void GiveUp(Slot &slot);
  void Lose(SlotId id, Slot &slot);
  void KeepAfterAll(Slot &slot);
  void TakeNext(SlotId id, Slot &slot);
  void Hold(SlotId id, Slot &slot, SlotOrigin origin, const SlotRow &before);
  void JudgeHeldRead(SlotId id, Slot &slot, std::uint64_t version,
                     const std::optional<SlotRow> &row);
  void AskAll(SlotId id, const Slot &slot, const SlotRow &row,
              WitnessRequestKind request);
  void NoteLastPromise(Slot &slot, const ProcessRef &from,
                       const WitnessReply &answer) const;
  [[nodiscard]] SlotRow LastHolder(const Slot &slot) const;
  [[nodiscard]] RowInForce InForce(const Slot &slot) const;
  [[nodiscard]] const KnownRow *MayElect(SlotId id, const Slot &slot) const;
  [[nodiscard]] static bool IsWitness(const SlotRow &row,
                                      const ProcessRef &ref);
  [[nodiscard]] bool IsMine(const SlotRow &row) const noexcept;
  [[nodiscard]] bool Lapsed(const Slot &slot) const noexcept;
  [[nodiscard]] Duration Jittered(Duration span);

  ProcessRef self;
  LeaseOptions options;
  const Clock &clock;
  Random &random;
  const SlotDirectory &directory;
  const Witness &witness;
  SlotDelegate &observer;
  std::vector<Slot> slots;
  std::size_t table_calls{};
  bool claiming{true};
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_SLOT_KEEPER_H_
