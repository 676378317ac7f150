#ifndef POLLENRING_SHARE_BORROW_H_
#define POLLENRING_SHARE_BORROW_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief Longest time for which share is lent. */
inline constexpr Span kLoanValidity = std::chrono::milliseconds{500};

/*! @brief Validity of share for requests that wait; nobody returns it. */
inline constexpr Span kUrgentValidity = std::chrono::milliseconds{100};

/*! @brief Longest wait for a slot's next share. */
inline constexpr Span kLongestEarly = std::chrono::milliseconds{500};

/*! @brief How long a request waits for share. */
struct Patience {
  Time deadline{};   /*!< While holders are not to be found. */
  Time next_share{}; /*!< For share that is sure to come then. */

  /**
   * @brief The same patience for both.
   * @param deadline Latest time for the answer.
   * @return It.
   */
  [[nodiscard]] static Patience Until(Time deadline) noexcept {
    return {deadline, deadline};
  }
};

/*! @brief A loan that its borrower has ended. */
struct LoanReturn {
  std::uint64_t loan{};
  std::uint32_t unspent{};
  MSGPACK_DEFINE(loan, unspent)
};

/*! @brief Asks the holder of a slot for part of a workspace's share. */
struct BorrowRequest {
  SlotId slot{};
  std::string workspace;
  std::uint64_t borrower{}; /*!< The borrower's process. */
  std::uint64_t loan{};     /*!< Unique for the borrower. */
  std::uint32_t want{};
  std::uint32_t urgent{}; /*!< Requests that wait for it. */
  std::uint32_t early{};  /*!< Requests that would wait for the next refill. */
  std::int64_t early_within_us{}; /*!< For so long at most. */
  std::vector<LoanReturn> returns;
  MSGPACK_DEFINE(slot, workspace, borrower, loan, want, urgent, early,
                 early_within_us, returns)
};

/*! @brief Requests that may go when the slot's next share has come. */
struct EarlyGrant {
  std::uint32_t count{};
  std::int64_t first_us{}; /*!< Until the first may go. */
  std::int64_t every_us{}; /*!< Between one and the next. */
  MSGPACK_DEFINE(count, first_us, every_us)
};

/*! @brief What the holder lends. */
struct BorrowReply {
  SlotId slot{};
  std::string workspace;
  std::uint64_t loan{};
  bool holder{}; /*!< False when the asked node may not lend. */
  std::uint32_t granted{};
  std::int64_t validity_us{};
  std::int64_t retry_after_us{};
  EarlyGrant early;
  MSGPACK_DEFINE(slot, workspace, loan, holder, granted, validity_us,
                 retry_after_us, early)
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_BORROW_H_
