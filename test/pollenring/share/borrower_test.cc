#include "pollenring/share/borrower.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace {

using pollenring::BorrowReply;
using pollenring::BorrowRequest;
using pollenring::ChargeResult;
using pollenring::Duration;
using pollenring::Time;
using pollenring::WaitLimit;

/*! @brief Records the requests sent. */
class Recorder final : public pollenring::ShareDelegate {
 public:
  bool SendBorrow(const BorrowRequest &request) override {
    this->requests.push_back(request);
    return this->holders_known;
  }
  std::vector<BorrowRequest> requests;
  bool holders_known{true};
};

constexpr Duration kTick = std::chrono::milliseconds{10};

[[nodiscard]] BorrowReply Granting(const BorrowRequest &request,
                                   std::uint32_t amount) {
  BorrowReply reply;
  reply.slot = request.slot;
  reply.workspace = request.workspace;
  reply.loan = request.loan;
  reply.holder = true;
  reply.granted = amount;
  reply.validity_us = 400'000;
  return reply;
}

}  // namespace

TEST_CASE(
    "borrower: a callback that changes the name does not change a request") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  Recorder recorder;
  pollenring::ShareBorrower borrower{1, 9, {}, clock, recorder};
  std::string workspace = "club";
  int granted = 0;
  const auto charge = [&] {
    workspace = "club";
    borrower.Charge(workspace, WaitLimit::Until(Time::max()),
                    [&](const ChargeResult &result) {
                      if (result.granted) ++granted;
                      workspace.clear();
                    });
  };
  for (int i = 0; i < 400; ++i) {
    charge();
    clock.Advance(std::chrono::milliseconds{2});
    const BorrowRequest &last = recorder.requests.back();
    CHECK(last.workspace == "club");
    if (last.want == 0) continue;
    borrower.HandleReply(Granting(last, last.want));
  }
  CHECK(granted == 400);
}

TEST_CASE("borrower: a loan that expired during a pause is not spent") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  Recorder recorder;
  pollenring::ShareBorrower borrower{1, 9, {}, clock, recorder};
  int granted = 0;
  const auto charge = [&] {
    borrower.Charge("club", WaitLimit::Until(Time::max()),
                    [&](const ChargeResult &result) {
                      if (result.granted) ++granted;
                    });
  };
  charge();
  borrower.HandleReply(Granting(recorder.requests.back(), 5));
  CHECK(granted == 1);
  // The process is paused beyond the loan's end; a charge comes before any
  // tick.
  clock.Advance(std::chrono::milliseconds{500});
  charge();
  CHECK(granted == 1);
}

TEST_CASE("borrower: a request waits for holders within its limits") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  Recorder recorder;
  pollenring::ShareBorrower borrower{1, 9, {}, clock, recorder};
  std::vector<ChargeResult> results;
  const auto charge = [&] {
    borrower.Charge(
        "club", WaitLimit::Until(Time::max()),
        [&](const ChargeResult &result) { results.push_back(result); });
  };
  const auto pass = [&](Duration length) {
    for (Duration passed{0}; passed < length; passed += kTick) {
      clock.Advance(kTick);
      borrower.Tick();
    }
  };

  // All holders are empty; the first then grants its next refill.
  const auto grant_next = [&] {
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.HandleReply(nothing);
    }
    BorrowReply next = Granting(recorder.requests.back(), 0);
    next.early = {1, 50'000, 50'000};
    borrower.HandleReply(next);
  };

  SECTION("no holder is known") {
    recorder.holders_known = false;
    charge();
    pass(std::chrono::milliseconds{400});
    CHECK(results.empty());
    recorder.holders_known = true;
    pass(std::chrono::milliseconds{30});
    borrower.HandleReply(Granting(recorder.requests.back(), 2));
    REQUIRE(results.size() == 1);
    CHECK(results.front().granted);
  }

  SECTION("the queried nodes no longer hold the slot") {
    charge();
    for (int i = 0; i < 40; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.holder = false;
      borrower.HandleReply(reply);
      pass(kTick);
    }
    CHECK(results.empty());
    borrower.HandleReply(Granting(recorder.requests.back(), 2));
    REQUIRE(results.size() == 1);
    CHECK(results.front().granted);
  }

  SECTION("after a second it is refused with a retry-after") {
    recorder.holders_known = false;
    charge();
    pass(std::chrono::milliseconds{1100});
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
    CHECK(results.front().reason == pollenring::Reason::kNoShare);
    CHECK(results.front().retry_after > Duration{0});
  }

  SECTION("it is refused by its deadline") {
    recorder.holders_known = false;
    borrower.Charge(
        "club", WaitLimit::Until(clock.Now() + std::chrono::milliseconds{100}),
        [&](const ChargeResult &result) { results.push_back(result); });
    pass(std::chrono::milliseconds{110});
    CHECK(results.size() == 1);
  }

  SECTION("all holders are empty: refused without further wait") {
    charge();
    for (int i = 0; i < 3; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.retry_after_us = 501'000;
      borrower.HandleReply(reply);
    }
    REQUIRE(results.size() == 1);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
  }

  SECTION("all holders are empty: early grants are requested once each") {
    charge();
    charge();
    for (int i = 0; i < 3; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.retry_after_us = 90'000 - 20'000 * i;
      CHECK(recorder.requests.back().early == 0);
      borrower.HandleReply(reply);
    }
    // The slot with the earliest refill is queried first.
    CHECK(recorder.requests.back().slot == recorder.requests[2].slot);
    CHECK(recorder.requests.back().early == 2);
    BorrowReply reply = Granting(recorder.requests.back(), 0);
    reply.early = {1, 50'000, 50'000};
    borrower.HandleReply(reply);
    CHECK(recorder.requests.back().slot == recorder.requests[1].slot);
    borrower.HandleReply(Granting(recorder.requests.back(), 0));
    CHECK(recorder.requests.back().slot == recorder.requests[0].slot);
    CHECK(results.empty());
    borrower.HandleReply(Granting(recorder.requests.back(), 0));
    // The request that no holder can serve is refused immediately.
    REQUIRE(results.size() == 1);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
    pass(std::chrono::milliseconds{40});
    CHECK(results.size() == 1);
    pass(std::chrono::milliseconds{20});
    REQUIRE(results.size() == 2);
    CHECK(results.back().granted);
  }

  SECTION("an early grant is not spent after a pause") {
    charge();
    grant_next();
    clock.Advance(std::chrono::milliseconds{500});
    borrower.Tick();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
  }

  SECTION("no early grant is awaited past the deadline") {
    borrower.Charge(
        "club", WaitLimit::Until(clock.Now() + std::chrono::milliseconds{30}),
        [&](const ChargeResult &result) { results.push_back(result); });
    grant_next();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
  }

  SECTION("no early grant is requested that comes too late") {
    const Time now = clock.Now();
    borrower.Charge(
        "club",
        {now + std::chrono::seconds{1}, now + std::chrono::milliseconds{30}},
        [&](const ChargeResult &result) { results.push_back(result); });
    const std::size_t asked = recorder.requests.size();
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.HandleReply(nothing);
    }
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
    // No early grant was requested: it would have been lost.
    CHECK(recorder.requests.size() == asked + 2);
  }

  SECTION("early grants are requested up to the longest wait") {
    const Time now = clock.Now();
    borrower.Charge(
        "club",
        {now + std::chrono::seconds{1}, now + std::chrono::milliseconds{80}},
        [&](const ChargeResult &result) { results.push_back(result); });
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.HandleReply(nothing);
    }
    CHECK(recorder.requests.back().early == 1);
    CHECK(recorder.requests.back().early_within_us == 80'000);
  }

  SECTION("the number of waiting requests is limited") {
    recorder.holders_known = false;
    for (int i = 0; i < 3000; ++i) charge();
    CHECK(results.size() >= 1000);
  }
}

TEST_CASE("borrower: callbacks may add workspaces and idle ones are removed") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  Recorder recorder;
  recorder.holders_known = false;
  pollenring::ShareBorrower borrower{1, 9, {}, clock, recorder};
  int answers = 0;
  int charges = 0;
  // Each refusal adds charges of new workspaces.
  std::function<void(int)> charge = [&](int generation) {
    ++charges;
    borrower.Charge("workspace" + std::to_string(charges),
                    WaitLimit::Until(Time::max()),
                    [&, generation](const ChargeResult &) {
                      ++answers;
                      if (generation == 0) return;
                      for (int i = 0; i < 10; ++i) charge(generation - 1);
                    });
  };
  for (int i = 0; i < 5; ++i) charge(3);
  const auto pass = [&](Duration length) {
    for (Duration passed{0}; passed < length; passed += kTick) {
      clock.Advance(kTick);
      borrower.Tick();
    }
  };
  pass(std::chrono::seconds{6});
  CHECK(charges == 5 + 50 + 500 + 5000);
  CHECK(answers == charges);
  CHECK(borrower.Count() > 0);
  pass(std::chrono::seconds{12});
  CHECK(borrower.Count() == 0);
}
