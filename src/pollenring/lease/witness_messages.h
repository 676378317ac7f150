#ifndef POLLENRING_LEASE_WITNESS_MESSAGES_H_
#define POLLENRING_LEASE_WITNESS_MESSAGES_H_

#include <cstdint>
#include <msgpack.hpp>

#include "pollenring/core/enum_table.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief What a witness is asked for. */
enum class WitnessRequestKind {
  kPromise = 0, /*!< Not to let the slot be taken for a while. */
  kRelease = 1, /*!< Never to promise or vote under the slot's row again. */
  kVote = 2,    /*!< To elect the asker, once no promise runs any more. */
  kResign = 3,  /*!< To end its promise: the asker uses the slot no longer. */
};

/*! @brief Names of the requests. */
inline constexpr EnumTable<WitnessRequestKind, 4> kWitnessRequestKindNames{{{
    {WitnessRequestKind::kPromise, "promise"},
    {WitnessRequestKind::kRelease, "release"},
    {WitnessRequestKind::kVote, "vote"},
    {WitnessRequestKind::kResign, "resign"},
}}};

/*! @brief A row that its holder knows to be in the table. */
struct RowInForce {
  SlotRow row;
  std::uint64_t version{};      /*!< In the table; 0 when nothing is told. */
  std::int64_t lapse_left_us{}; /*!< Time for which it can be held at most. */
  MSGPACK_DEFINE(row, version, lapse_left_us)
};

/*! @brief Asks a witness. */
struct WitnessQuery {
  WitnessRequestKind request{WitnessRequestKind::kPromise};
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{}; /*!< The process that the row names as witness. */
  ProcessRef asker;
  std::int64_t asked_us{}; /*!< On the asker's clock. */
  bool sealing{};          /*!< Not to vote under this row until told. */
  RowInForce in_force;
  MSGPACK_DEFINE(request, slot, epoch, process, asker, asked_us, sealing,
                 in_force)
};

/*! @brief What a witness says. */
struct WitnessReply {
  WitnessRequestKind request{WitnessRequestKind::kPromise};
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{};
  std::int64_t asked_us{};
  bool granted{};
  bool remembers{};            /*!< False from the process after it. */
  bool sealed{};               /*!< It votes for nobody under this row. */
  std::uint64_t released{};    /*!< Epochs up to this are over for it. */
  std::uint64_t voted{};       /*!< Latest epoch that it voted for. */
  std::int64_t remaining_us{}; /*!< How long its promises may still run. */
  std::uint64_t promised{};    /*!< Latest epoch promised under the row. */
  ProcessRef promised_to;
  std::uint64_t knows{}; /*!< Epoch of the row that it knows to be in force. */
  MSGPACK_DEFINE(request, slot, epoch, process, asked_us, granted, remembers,
                 sealed, released, voted, remaining_us, promised, promised_to,
                 knows)
};

}  // namespace pollenring

MSGPACK_ADD_ENUM(pollenring::WitnessRequestKind)

#endif  // POLLENRING_LEASE_WITNESS_MESSAGES_H_
