#include <catch2/catch.hpp>
#include <functional>

#include "pollenring/core/random.h"
#include "pollenring/retry/retry_all.h"
#include "support/seeds.h"

namespace {

using pollenring::RetryAllowance;
using pollenring::SeededRandom;

constexpr int kDepth = 29;

/*! @brief A chain in which every call may fail, be lost and be retried. */
class Chain {
 public:
  Chain(std::uint64_t seed, int fan_out) : random{seed}, fan_out{fan_out} {}

  /*! @brief Performs a call. @return Retries it reports as unspent. */
  int Call(int granted, int depth) {
    RetryAllowance allowance{granted};
    for (;;) {
      ++this->runs;
      const int slice = allowance.Slice();
      const int unspent = this->Serve(slice, depth);
      const bool lost = this->random.Chance(0.1);
      allowance.Return(slice, lost ? 0 : unspent);
      const bool failed = lost || this->random.Chance(0.5);
      if (!failed || !allowance.Spend()) return allowance.Left();
      ++this->retries;
    }
  }

  int runs{};
  int retries{};

 private:
  int Serve(int granted, int depth) {
    RetryAllowance allowance{granted};
    if (depth == kDepth) return allowance.Left();
    const int calls = depth < 3 ? this->fan_out : 1;
    for (int i = 0; i < calls; ++i) {
      const int slice = allowance.Slice();
      allowance.Return(slice, this->Call(slice, depth + 1));
    }
    return allowance.Left();
  }

  SeededRandom random;
  int fan_out;
};

}  // namespace

TEST_CASE("retry: all retries of a root stay within its allowance") {
  for (const auto seed : support::Seeds(2000)) {
    INFO("seed " << seed);
    Chain chain{seed, 3};
    const int granted = static_cast<int>(seed % 6);
    chain.Call(granted, 1);
    REQUIRE(chain.retries <= granted);
  }
}

TEST_CASE("retry: a failing service gets no more than the reserve") {
  pollenring::RetryCeiling ceiling{0.1, 10};
  int retries = 0;
  for (int i = 0; i < 100'000; ++i) {
    if (ceiling.Spend()) ++retries;
  }
  CHECK(retries == 10);
  for (int i = 0; i < 1000; ++i) {
    ceiling.RecordSuccess();
    if (ceiling.Spend()) ++retries;
  }
  CHECK(retries <= 10 + 100);
}

TEST_CASE("retry: a sub-call can't return more than its slice") {
  RetryAllowance allowance{4};
  const int slice = allowance.Slice();
  CHECK_THROWS_AS(allowance.Return(slice, slice + 1),
                  pollenring::InvariantError);
}
