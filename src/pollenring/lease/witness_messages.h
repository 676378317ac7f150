#ifndef POLLENRING_LEASE_WITNESS_MESSAGES_H_
#define POLLENRING_LEASE_WITNESS_MESSAGES_H_

#include <cstdint>
#include <msgpack.hpp>

#include "pollenring/core/enum_table.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief What a witness is queried for. */
enum class WitnessRequestKind {
  kPromise = 0, /*!< Not to let the slot be taken for a while. */
  kRelease = 1, /*!< Never to promise or vote under the slot's row again. */
  kVote = 2,    /*!< To elect the sender, once all promises have expired. */
  kResign = 3,  /*!< To end its promise: the sender no longer uses the slot. */
};

/*! @brief Names of the requests. */
inline constexpr EnumTable<WitnessRequestKind, 4> kWitnessRequestKindNames{{{
    {WitnessRequestKind::kPromise, "promise"},
    {WitnessRequestKind::kRelease, "release"},
    {WitnessRequestKind::kVote, "vote"},
    {WitnessRequestKind::kResign, "resign"},
}}};

/*! @brief A row that its holder knows to be in the table. */
struct ActiveRow {
  SlotRow row;
  std::uint64_t version{};      /*!< In the table; 0 if no row is reported. */
  std::int64_t lapse_left_us{}; /*!< Maximum remaining time to hold it. */
  MSGPACK_DEFINE(row, version, lapse_left_us)
};

/*! @brief Query to a witness. */
struct WitnessQuery {
  WitnessRequestKind request{WitnessRequestKind::kPromise};
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{}; /*!< Process that the row names as witness. */
  ProcessRef sender;
  std::int64_t sent_us{}; /*!< On the sender's clock. */
  bool sealing{};         /*!< Not to vote under this row until unsealed. */
  ActiveRow active_row;
  MSGPACK_DEFINE(request, slot, epoch, process, sender, sent_us, sealing,
                 active_row)
};

/*! @brief Reply of a witness. */
struct WitnessReply {
  WitnessRequestKind request{WitnessRequestKind::kPromise};
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{};
  std::int64_t sent_us{};
  bool granted{};
  bool remembers{};         /*!< False if a later process replies. */
  bool sealed{};            /*!< It votes for nobody under this row. */
  std::uint64_t released{}; /*!< It has released all epochs up to this one. */
  std::uint64_t voted{};    /*!< Latest epoch that it voted for. */
  std::int64_t remaining_us{}; /*!< Maximum remaining time of its promises. */
  std::uint64_t promised{};    /*!< Latest epoch promised under the row. */
  ProcessRef promised_to;
  std::uint64_t
      known_epoch{}; /*!< Epoch of the row that it knows to be active. */
  MSGPACK_DEFINE(request, slot, epoch, process, sent_us, granted, remembers,
                 sealed, released, voted, remaining_us, promised, promised_to,
                 known_epoch)
};

}  // namespace pollenring

MSGPACK_ADD_ENUM(pollenring::WitnessRequestKind)

#endif  // POLLENRING_LEASE_WITNESS_MESSAGES_H_
