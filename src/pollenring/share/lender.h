#ifndef POLLENRING_SHARE_LENDER_H_
#define POLLENRING_SHARE_LENDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "pollenring/contract/contract.h"
#include "pollenring/core/clock.h"
#include "pollenring/share/borrow.h"
#include "pollenring/share/slots_of.h"

namespace pollenring {

/**
 * @brief Allowance for the time from a request's charge to its arrival at a
 * target.
 */
inline constexpr Duration kTransitAllowance = std::chrono::milliseconds{50};

/*! @brief Age after which every bucket is full. */
inline constexpr Duration kFullAfter = std::chrono::hours{24};

/*! @brief Level and loans of a bucket, for a successor. */
struct BucketState {
  double level{};
  double lent{};
  MSGPACK_DEFINE(level, lent)
};

/**
 * @brief Lends one slot's part of each workspace's rate limit.
 *
 * The level and the loans together never exceed the slot's part of the burst,
 * and grow no faster than its part of the rate. All requests charged in any
 * window therefore stay within burst + rate * window, even if loans, returns
 * and replies are lost, late or repeated. Requests can be granted against the
 * next refills: they are admitted once these arrive, and the level is below
 * zero until then.
 */
class ShareLender {
 public:
  /**
   * @brief Starts lending for a slot.
   * @param first True if the slot never had a holder: its buckets start full.
   * Otherwise they start empty, since a predecessor may have lent everything.
   * @param clock Clock.
   */
  ShareLender(bool first, const Clock &clock)
      : clock{clock},
        initial_refill{clock.Now() - (first ? kFullAfter : Duration{0})} {}

  /**
   * @brief Lends share.
   * @param request The request.
   * @param limit The workspace's complete rate and burst.
   * @param part Position of the slot among those of the workspace.
   * @param valid_until Time until which this node may use the slot.
   * @return The loan; the same one if the request is repeated.
   */
  [[nodiscard]] BorrowReply Lend(const BorrowRequest &request,
                                 const WorkspaceRateLimit &limit,
                                 const SharePart &part, Time valid_until);

  /**
   * @brief Exports all buckets for a successor. @return Contents by workspace.
   */
  [[nodiscard]] std::map<std::string, BucketState> Contents();

  /**
   * @brief Initializes the buckets from those of a predecessor.
   * @param contents Contents by workspace.
   */
  void Inherit(const std::map<std::string, BucketState> &contents);

 private:
  using LoanKey = std::pair<std::uint64_t, std::uint64_t>;
  struct Loan {
    std::uint32_t amount{};
    Time expires{};
    Time first_early{}; /*!< Time of the first early grant. */
  };
  struct Bucket {
    double rate{};
    double cap{};
    double level{};
    double lent{};
    double owed_before{}; /*!< Debt when the limits were last applied. */
    Time refilled{};
    std::map<LoanKey, Loan> loans;
    std::unordered_map<std::uint64_t, std::uint64_t>
        latest; /*!< Latest loan by borrower. */
    std::map<std::pair<Time, LoanKey>, std::uint32_t> by_expiry;
  };

  [[nodiscard]] Bucket &BucketOf(const std::string &workspace,
                                 const WorkspaceRateLimit &limit,
                                 const SharePart &part);
  static void ApplyLimits(Bucket &bucket, const WorkspaceRateLimit &limit,
                          const SharePart &part);
  void Grant(Bucket &bucket, const LoanKey &key, const Loan &loan) const;
  void GrantEarly(Bucket &bucket, const BorrowRequest &request,
                  Time valid_until, BorrowReply &reply) const;
  [[nodiscard]] BorrowReply ReplyToRepeat(const Bucket &bucket,
                                          const Loan &loan,
                                          BorrowReply reply) const;
  [[nodiscard]] static Duration RefillIntervalOf(const Bucket &bucket) noexcept;
  [[nodiscard]] static double MaxOwed(const Bucket &bucket) noexcept;
  void Refill(Bucket &bucket) const;
  void Expire(Bucket &bucket) const;
  [[nodiscard]] static bool IsRepeat(Bucket &bucket,
                                     const BorrowRequest &request);
  void AcceptReturn(Bucket &bucket, std::uint64_t borrower,
                    const LoanReturn &returned) const;
  static void CheckBound(const Bucket &bucket);

  const Clock &clock;
  Time initial_refill;
  std::unordered_map<std::string, Bucket> buckets;
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_LENDER_H_
