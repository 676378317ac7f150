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

/*! @brief Longest time for which share is lent. */
inline constexpr Duration kLoanValidity = std::chrono::milliseconds{500};

/*! @brief Validity of share for requests that wait; nobody returns it. */
inline constexpr Duration kUrgentValidity = std::chrono::milliseconds{100};

/*! @brief Longest wait for a slot's next share. */
inline constexpr Duration kLongestEarly = std::chrono::milliseconds{500};

/*! @brief How long a request waits for share. */
struct WaitLimit {
  Time deadline{};   /*!< While holders are not to be found. */
  Time next_share{}; /*!< For share that is sure to come then. */

  /**
   * @brief The same patience for both.
   * @param deadline Latest time for the answer.
   * @return It.
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

/*! @brief Requests that may go when the slot's next share has come. */
struct EarlyGrant {
  std::uint32_t count{};
  std::int64_t first_us{}; /*!< Until the first may go. */
  std::int64_t every_us{}; /*!< Between one and the next. */
};

template <>
struct NumberedLayout<EarlyGrant> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.count}, Field{2, value.first_us},
                           Field{3, value.every_us});
  }
};

template <>
struct ArrayLayout<EarlyGrant, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.count, value.first_us, value.every_us);
  }
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
