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

/*! @brief How this node obtained a slot. */
enum class SlotOrigin { kTakenOver, kHandedOver };

/*! @brief Information about the nodes that may hold or witness slots. */
class SlotDirectory {
 public:
  SlotDirectory() = default;
  SlotDirectory(const SlotDirectory &) = delete;
  SlotDirectory &operator=(const SlotDirectory &) = delete;
  virtual ~SlotDirectory() = default;

  /*! @brief True if a live node advertises that it holds the slot. */
  [[nodiscard]] virtual bool IsHolderAlive(SlotId slot) const = 0;

  /*! @brief Rank of this node among those that may claim, if it may. */
  [[nodiscard]] virtual std::optional<std::size_t> Rank(SlotId slot) const = 0;

  /*! @brief Chooses the best witnesses for a holder. @param holder Holder. */
  [[nodiscard]] virtual std::vector<ProcessRef> WitnessesFor(
      const ProcessRef &holder) const = 0;

  /*! @brief True if a process is believed to be alive. @param ref Process. */
  [[nodiscard]] virtual bool IsAlive(const ProcessRef &ref) const = 0;
};

/*! @brief Dependencies of the slot keeper. */
class SlotDelegate {
 public:
  SlotDelegate() = default;
  SlotDelegate(const SlotDelegate &) = delete;
  SlotDelegate &operator=(const SlotDelegate &) = delete;
  virtual ~SlotDelegate() = default;

  /*! @brief Reads a row; completes with `RowRead` or `RowUnreadable`. */
  virtual void ReadRow(SlotId slot) = 0;

  /*! @brief Writes the row if it has a version; completes with `RowWritten`. */
  virtual void WriteRow(SlotId slot, std::uint64_t version,
                        const SlotRow &row) = 0;

  /*! @brief Queries a witness; its reply goes to `HandleReply`. */
  virtual void SendQuery(const ProcessRef &witness,
                         const WitnessQuery &query) = 0;

  /**
   * @brief This node has become the slot's holder.
   * @param before Row of its last holder; without witnesses if that is unknown.
   */
  virtual void Gained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                      const SlotRow &before) = 0;

  /*! @brief The witnesses have changed. @param row The new row. */
  virtual void WitnessesChanged(SlotId slot, const SlotRow &row) = 0;

  /*! @brief This node is no longer the slot's holder. */
  virtual void Lost(SlotId slot) = 0;

  /**
   * @brief This node has handed the slot over.
   * @param row The row that names the successor, or the one that was resigned.
   * @param successor Its next holder.
   */
  virtual void HandedOver(SlotId slot, const SlotRow &row,
                          const ProcessRef &successor) = 0;
};

/*! @brief Result of writing a row. */
enum class RowWrite { kWritten, kConflict, kUnavailable, kUnknown };

/**
 * @brief Claims, holds, renews and hands over the slots of one node.
 *
 * A row of the table names a holder and its witnesses, whose promises determine
 * how long the holder is valid. A holder does not need the table to stay valid.
 * When it is lost, its witnesses elect one of themselves without the table, and
 * the elected one writes a row of its own once it can. Before a holder writes a
 * row, a majority of its witnesses has to stop electing. If too few witnesses
 * are left for an election, a claiming node makes them release the row and
 * writes the next one.
 */
class SlotKeeper {
 public:
  /**
   * @brief Starts without slots.
   * @param self This process.
   * @param slots Total number of slots.
   * @param options Timing.
   * @param clock Clock.
   * @param random Random source.
   * @param directory Nodes that may hold and witness.
   * @param witness Witness of this process, which knows rows without the table.
   * @param delegate Carries out requests.
   */
  SlotKeeper(const ProcessRef &self, SlotId slots, const LeaseOptions &options,
             const Clock &clock, Random &random, const SlotDirectory &directory,
             const Witness &witness, SlotDelegate &delegate);

  /**
   * @brief Time until which this node may use the slot.
   * @param slot The slot.
   * @return That time on this node's clock; not in the future if it may not.
   */
  [[nodiscard]] Time ValidUntil(SlotId slot) const;

  /**
   * @brief Checks whether this node may use the slot.
   * @param slot The slot.
   * @return True if it may.
   */
  [[nodiscard]] bool Valid(SlotId slot) const {
    return this->clock.Now() < this->ValidUntil(slot);
  }

  /**
   * @brief Epoch and witnesses of a held slot.
   * @param slot The slot.
   * @return The row, or null if this node does not hold the slot.
   */
  [[nodiscard]] const SlotRow *Held(SlotId slot) const;

  /*! @brief Slots of this node. @return Slots and epochs. */
  [[nodiscard]] std::vector<SlotClaim> Claims() const;

  /*! @brief True while a slot is being handed over to a successor. */
  [[nodiscard]] bool HandingOver() const noexcept;

  /**
   * @brief Held slots that only this node witnesses, so that no witness could
   * take over if it fails.
   * @return The count.
   */
  [[nodiscard]] std::size_t SoleWitnessCount() const;

  /*! @brief Advances claims and renewals; called frequently. */
  void Tick();

  /*! @brief Stops claiming, for a node that drains. */
  void StopClaiming() noexcept { this->claiming = false; }

  /**
   * @brief Hands over a slot, which is unusable here once the row's write is
   * sent.
   * @param slot The slot.
   * @param successor Its next holder.
   */
  void HandOverTo(SlotId slot, const ProcessRef &successor);

  /**
   * @brief Lets a witness take over without the table while that is down.
   * @param slot The slot.
   * @param successor One of its row's witnesses.
   * @return True if this node has given up the slot.
   */
  bool Resign(SlotId slot, const ProcessRef &successor);

  /**
   * @brief Starts an election for a slot whose holder has resigned.
   * @param slot The slot.
   */
  void Campaign(SlotId slot);

  /**
   * @brief Accepts a slot that its holder hands over to this node.
   * @param slot The slot.
   * @param row The row written by that holder.
   */
  void AcceptHandover(SlotId slot, const SlotRow &row);

  /*! @brief The row was read. @param version 0 if there is none. */
  void RowRead(SlotId slot, std::uint64_t version,
               const std::optional<SlotRow> &row);

  /*! @brief The row could not be read. */
  void RowUnreadable(SlotId slot);

  /*! @brief The write of the row has completed. */
  void RowWritten(SlotId slot, RowWrite result);

  /*! @brief A witness has replied. @param from The witness queried. */
  void HandleReply(const ProcessRef &from, const WitnessReply &reply);

  /**
   * @brief Names the phase of a slot, for status and tests.
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

  /*! @brief Latest holder with promises under a row, as reported. */
  struct LastPromise {
    std::uint64_t epoch{};
    ProcessRef holder;
    std::set<ProcessRef> reported_by;
  };

  struct Slot {
    Phase phase{Phase::kFree};
    SlotRow row;      /*!< The row held, or last known to be active. */
    SlotRow in_table; /*!< Row in the table; differs from `row` if elected. */
    std::uint64_t version{};      /*!< Its version in the table. */
    Promises current;             /*!< For the row held. */
    std::optional<Promises> next; /*!< For the row being written. */
    bool next_sent{}; /*!< The write of the next row may take effect. */
    bool in_doubt{};  /*!< A write was sent without a response. */
    bool must_read{}; /*!< A write's outcome must be read from the table. */
    bool refused{};   /*!< A witness refuses promises for the row held. */
    bool adopting{};  /*!< The read checks a row handed over to this node. */
    bool reading{};   /*!< A read is in progress while held. */
    std::set<ProcessRef> agreed; /*!< Have released, or voted for this node. */
    std::set<ProcessRef> sealed; /*!< Elect nobody under the row held. */
    std::set<ProcessRef> outvoted; /*!< Have voted for a later epoch. */
    std::set<ProcessRef> informed; /*!< Know that the table's row is active. */
    LastPromise last_promise;
    bool holder_resigned{};       /*!< The holder has resigned, but is alive. */
    bool election_failed{};       /*!< Too few witnesses have replied. */
    std::uint64_t highest_vote{}; /*!< Latest epoch voted for by anyone. */
    Time seal_from{};             /*!< Seals requested earlier are void. */
    Time wait_until{};
    Time next_send{};
    Time next_check{};
    Time round_ends{};
    Time retry_at{};
    Time elect_at{};
    Time orphaned_at{};
    Time last_written{}; /*!< Last write known to be in the table. */
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
  [[nodiscard]] bool DueToSend(Slot &slot);
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
                const WitnessReply &reply);
  void PromiseRefused(SlotId id, Slot &slot, const ProcessRef &from,
                      const WitnessReply &reply);
  void Released(Slot &slot, const ProcessRef &from, const WitnessReply &reply);
  void Voted(SlotId id, Slot &slot, const ProcessRef &from,
             const WitnessReply &reply);
  void GiveUp(Slot &slot);
  void Lose(SlotId id, Slot &slot);
  void ResumeHeld(Slot &slot);
  void ActivateNext(SlotId id, Slot &slot);
  void Hold(SlotId id, Slot &slot, SlotOrigin origin, const SlotRow &before);
  void HandleHeldRead(SlotId id, Slot &slot, std::uint64_t version,
                      const std::optional<SlotRow> &row);
  void QueryAll(SlotId id, const Slot &slot, const SlotRow &row,
                WitnessRequestKind request);
  void RecordLastPromise(Slot &slot, const ProcessRef &from,
                         const WitnessReply &reply) const;
  [[nodiscard]] SlotRow LastHolder(const Slot &slot) const;
  [[nodiscard]] ActiveRow ActiveRowOf(const Slot &slot) const;
  [[nodiscard]] const KnownRow *ElectableRow(SlotId id, const Slot &slot) const;
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
  SlotDelegate &delegate;
  std::vector<Slot> slots;
  std::size_t table_calls{};
  bool claiming{true};
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_SLOT_KEEPER_H_
