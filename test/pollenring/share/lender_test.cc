#include "pollenring/share/lender.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <utility>
#include <vector>

#include "pollenring/core/random.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::BorrowReply;
using pollenring::BorrowRequest;
using pollenring::LoanReturn;
using pollenring::ManualClock;
using pollenring::ShareLender;
using pollenring::SharePart;
using pollenring::WorkspaceRateLimit;

/*! @brief One slot's lender, asked for a share that may change. */
struct Slot {
  BorrowReply Lend(std::uint64_t borrower, std::uint32_t want,
                   std::vector<LoanReturn> returns = {},
                   std::uint32_t early = 0) {
    BorrowRequest request;
    request.workspace = "club";
    request.borrower = borrower;
    request.loan = ++this->loans;
    request.want = want;
    request.urgent = want;
    request.early = early;
    request.early_within_us = 400'000;
    request.returns = std::move(returns);
    return this->lender.Lend(request, this->share, this->part,
                             this->clock.Now() + 2s);
  }

  /*! @brief What is in the bucket and what is lent. */
  [[nodiscard]] pollenring::BucketState State() {
    return this->lender.Contents().at("club");
  }

  ManualClock clock{1h};
  ShareLender lender{true, this->clock};
  WorkspaceRateLimit share{"club", 10, 12, {}};
  SharePart part{0, 1};
  std::uint64_t loans{};
};

}  // namespace

TEST_CASE("share lender: a loan comes back to a part that has shrunk") {
  Slot slot;
  const BorrowReply first = slot.Lend(1, 5);
  const BorrowReply second = slot.Lend(2, 5);
  REQUIRE(first.granted == 5);
  REQUIRE(second.granted == 5);
  // The operator lowers the burst, or part of the nodes are cut off.
  slot.share.burst = 4;
  static_cast<void>(slot.Lend(1, 0, {{first.loan, 5}}));
  // More than the part is still lent, so nothing of it is there to lend.
  CHECK(slot.State().lent == 5);
  CHECK(slot.State().level == 0);
  static_cast<void>(slot.Lend(2, 0, {{second.loan, 5}}));
  CHECK(slot.State().lent == 0);
  CHECK(slot.State().level <= 4);
  CHECK(slot.Lend(3, 9).granted <= 4);
}

TEST_CASE("share lender: rates and bursts change while loans are out") {
  for (const auto seed : support::Seeds(40)) {
    INFO("seed " << seed);
    pollenring::SeededRandom random{seed};
    Slot slot;
    std::vector<std::pair<std::uint64_t, BorrowReply>> open;
    double largest = slot.share.burst;
    for (std::uint64_t step = 0; step < support::Steps(3'000); ++step) {
      slot.clock.Advance(std::chrono::milliseconds{random.Index(12)});
      if (random.Chance(0.1)) {
        const double part = 0.05 + random.Fraction();
        slot.share.rate = 40 * part;
        slot.share.burst = 30 * part;
        largest = std::max(largest, slot.share.burst);
      }
      const std::uint64_t borrower = 1 + random.Index(5);
      if (!open.empty() && random.Chance(0.4)) {
        const std::size_t drawn = random.Index(open.size());
        const auto &[whose, loan] = open[drawn];
        const auto unspent =
            static_cast<std::uint32_t>(random.Index(loan.granted + 1));
        static_cast<void>(slot.Lend(whose, 0, {{loan.loan, unspent}}));
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(drawn));
      }
      const auto want = static_cast<std::uint32_t>(random.Index(9));
      const auto reply = slot.Lend(borrower, want, {}, want);
      if (reply.granted > 0) open.emplace_back(borrower, reply);
      const auto state = slot.State();
      REQUIRE(state.level + state.lent <= std::max(largest, state.lent) + 1e-6);
    }
  }
}
