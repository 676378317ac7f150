#ifndef POLLENRING_SHARE_BORROW_H_
#define POLLENRING_SHARE_BORROW_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/lease/slot_row.h"
#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief Maximum validity of a loan. */
inline constexpr Duration kLoanValidity = std::chrono::milliseconds{500};

/*! @brief Validity of a loan for waiting requests, which is never returned. */
inline constexpr Duration kUrgentValidity = std::chrono::milliseconds{100};

/*! @brief Maximum wait for a slot's next refill. */
inline constexpr Duration kMaxEarlyWait = std::chrono::milliseconds{500};

/*! @brief How long a request waits for share. */
struct WaitLimit {
  Time deadline{};    /*!< While no holder is reachable. */
  Time next_refill{}; /*!< For share that the next refill is sure to bring. */

  /**
   * @brief Uses the same limit for both waits.
   * @param deadline Latest time for the result.
   * @return The wait limit.
   */
  [[nodiscard]] static WaitLimit Until(Time deadline) noexcept {
    return {deadline, deadline};
  }
};

/*! @brief A loan that its borrower has ended. */
struct LoanReturn {
  std::uint64_t loan{};
  std::uint32_t unspent{};
};

template <>
struct NumberedLayout<LoanReturn> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.loan}, Field{2, value.unspent});
  }
};

template <>
struct ArrayLayout<LoanReturn, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.loan, value.unspent);
  }
};

/*! @brief Requests part of a workspace's rate limit from a slot's holder. */
struct BorrowRequest {
  SlotId slot{};
  std::string workspace;
  std::uint64_t borrower{}; /*!< Process that borrows. */
  std::uint64_t loan{};     /*!< Unique per borrower. */
  std::uint32_t want{};
  std::uint32_t urgent{}; /*!< Requests waiting for share. */
  std::uint32_t early{};  /*!< Requests that can wait for the next refill. */
  std::int64_t early_within_us{}; /*!< Maximum wait of these requests. */
  std::vector<LoanReturn> returns;
};

template <>
struct NumberedLayout<BorrowRequest> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(
        Field{1, value.slot}, Field{2, value.workspace},
        Field{3, value.borrower}, Field{4, value.loan}, Field{5, value.want},
        Field{6, value.urgent}, Field{7, value.early},
        Field{8, value.early_within_us}, Field{9, value.returns});
  }
};

template <>
struct ArrayLayout<BorrowRequest, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.slot, value.workspace, value.borrower, value.loan,
                    value.want, value.urgent, value.early,
                    value.early_within_us, value.returns);
  }
};

/*! @brief Requests admitted against the slot's next refills. */
struct EarlyGrant {
  std::uint32_t count{};
  std::int64_t first_us{};    /*!< Time until the first is admitted. */
  std::int64_t interval_us{}; /*!< Interval between admissions. */
};

template <>
struct NumberedLayout<EarlyGrant> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.count}, Field{2, value.first_us},
                           Field{3, value.interval_us});
  }
};

template <>
struct ArrayLayout<EarlyGrant, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.count, value.first_us, value.interval_us);
  }
};

/*! @brief The holder's reply to a borrow request. */
struct BorrowReply {
  SlotId slot{};
  std::string workspace;
  std::uint64_t loan{};
  bool holder{}; /*!< False if the node may not lend from the slot. */
  std::uint32_t granted{};
  std::int64_t validity_us{};
  std::int64_t retry_after_us{};
  EarlyGrant early;
};

template <>
struct NumberedLayout<BorrowReply> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.slot}, Field{2, value.workspace},
                           Field{3, value.loan}, Field{4, value.holder},
                           Field{5, value.granted}, Field{6, value.validity_us},
                           Field{7, value.retry_after_us},
                           Field{8, value.early});
  }
};

template <>
struct ArrayLayout<BorrowReply, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.slot, value.workspace, value.loan, value.holder,
                    value.granted, value.validity_us, value.retry_after_us,
                    value.early);
  }
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_BORROW_H_
