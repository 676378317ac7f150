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

/*! @brief Time from a request's charge to its arrival at a target. */
inline constexpr Duration kTransitAllowance = std::chrono::milliseconds{50};

/*! @brief A time after which every bucket is full. */
inline constexpr Duration kLongAgo = std::chrono::hours{24};

/*! @brief What a bucket holds and has lent, for a successor. */
struct BucketState {
  double level{};
  double lent{};
  MSGPACK_DEFINE(level, lent)
};

/**
 * @brief Lends the part of each workspace's share that one slot stands for.
 *
 * What is in the bucket and what is lent together never exceed the slot's part
 * of the burst, and grow no faster than its part of the rate. So all requests
 * charged in any window stay within burst + rate * window, however loans,
 * returns and answers are lost, late or repeated. What comes next may be
 * granted before it is there: then the request goes when it is, and the level
 * is below zero until then.
 */
class ShareLender {
 public:
  /**
   * @brief Starts a slot.
   * @param first Whether nobody ever held the slot: then its buckets are full;
   * otherwise nothing is in them, since a predecessor may have lent it all.
   * @param clock Clock.
   */
  ShareLender(bool first, const Clock &clock)
      : clock{clock}, founded{clock.Now() - (first ? kLongAgo : Duration{0})} {}

  /**
   * @brief Lends.
   * @param request What is asked.
   * @param share The workspace's whole rate and burst.
   * @param part The slot's place among those of the workspace.
   * @param valid_until Time until which this node may use the slot.
   * @return What is lent; the same again when the request is repeated.
   */
  [[nodiscard]] BorrowReply Lend(const BorrowRequest &request,
                                 const WorkspaceRateLimit &share,
                                 const SharePart &part, Time valid_until);

  /*! @brief Reads what a successor needs. @return Contents by workspace. */
  [[nodiscard]] std::map<std::string, BucketState> Contents();

  /**
   * @brief Starts from what a predecessor had left.
   * @param contents Contents by workspace.
   */
  void Inherit(const std::map<std::string, BucketState> &contents);

 private:
  using LoanKey = std::pair<std::uint64_t, std::uint64_t>;
  struct Loan {
    std::uint32_t amount{};
    Time expires{};
    Time first_early{}; /*!< When the first early grant may go. */
  };
  struct Bucket {
    double rate{};
    double cap{};
    double level{};
    double lent{};
    double owed_before{}; /*!< By which the level was below zero. */
    Time refilled{};
    std::map<LoanKey, Loan> loans;
    std::unordered_map<std::uint64_t, std::uint64_t>
        latest; /*!< By borrower. */
    std::map<std::pair<Time, LoanKey>, std::uint32_t> by_expiry;
  };

  [[nodiscard]] Bucket &BucketOf(const std::string &workspace,
                                 const WorkspaceRateLimit &share,
                                 const SharePart &part);
  static void SetContract(Bucket &bucket, const WorkspaceRateLimit &share,
                          const SharePart &part);
  void Grant(Bucket &bucket, const LoanKey &key, const Loan &loan) const;
  void GrantEarly(Bucket &bucket, const BorrowRequest &request,
                  Time valid_until, BorrowReply &reply) const;
  [[nodiscard]] BorrowReply Repeated(const Bucket &bucket, const Loan &loan,
                                     BorrowReply reply) const;
  [[nodiscard]] static Duration EveryOf(const Bucket &bucket) noexcept;
  [[nodiscard]] static double MostOwed(const Bucket &bucket) noexcept;
  void Refill(Bucket &bucket) const;
  void Expire(Bucket &bucket) const;
  [[nodiscard]] static bool IsRepeat(Bucket &bucket,
                                     const BorrowRequest &request);
  void TakeBack(Bucket &bucket, std::uint64_t borrower,
                const LoanReturn &returned) const;
  static void CheckBound(const Bucket &bucket);

  const Clock &clock;
  Time founded;
  std::unordered_map<std::string, Bucket> buckets;
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_LENDER_H_
