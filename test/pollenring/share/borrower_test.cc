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

/*! @brief Keeps what is asked. */
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

TEST_CASE("borrower: a caller that changes its text does not change the loan") {
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
    borrower.Receive(Granting(last, last.want));
  }
  CHECK(granted == 400);
}

TEST_CASE("borrower: a loan that ended during a pause is not spent") {
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
  borrower.Receive(Granting(recorder.requests.back(), 5));
  CHECK(granted == 1);
  // The process stands still past the loan's end; its first act is a charge.
  clock.Advance(std::chrono::milliseconds{500});
  charge();
  CHECK(granted == 1);
}

TEST_CASE("borrower: a request waits while its slots change hands") {
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

  // All say that they have nothing; the first then grants what comes next.
  const auto grant_next = [&] {
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.Receive(nothing);
    }
    BorrowReply next = Granting(recorder.requests.back(), 0);
    next.early = {1, 50'000, 50'000};
    borrower.Receive(next);
  };

  SECTION("no holder is known") {
    recorder.holders_known = false;
    charge();
    pass(std::chrono::milliseconds{400});
    CHECK(results.empty());
    recorder.holders_known = true;
    pass(std::chrono::milliseconds{30});
    borrower.Receive(Granting(recorder.requests.back(), 2));
    REQUIRE(results.size() == 1);
    CHECK(results.front().granted);
  }

  SECTION("those that are asked hold the slot no longer") {
    charge();
    for (int i = 0; i < 40; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.holder = false;
      borrower.Receive(reply);
      pass(kTick);
    }
    CHECK(results.empty());
    borrower.Receive(Granting(recorder.requests.back(), 2));
    REQUIRE(results.size() == 1);
    CHECK(results.front().granted);
  }

  SECTION("after a second the answer is given, with when to come back") {
    recorder.holders_known = false;
    charge();
    pass(std::chrono::milliseconds{1100});
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
    CHECK(results.front().reason == pollenring::Reason::kNoShare);
    CHECK(results.front().retry_after > Duration{0});
  }

  SECTION("no answer comes after the request's deadline") {
    recorder.holders_known = false;
    borrower.Charge(
        "club", WaitLimit::Until(clock.Now() + std::chrono::milliseconds{100}),
        [&](const ChargeResult &result) { results.push_back(result); });
    pass(std::chrono::milliseconds{110});
    CHECK(results.size() == 1);
  }

  SECTION("all holders answered: nobody waits for what is used up") {
    charge();
    for (int i = 0; i < 3; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.retry_after_us = 501'000;
      borrower.Receive(reply);
    }
    REQUIRE(results.size() == 1);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
  }

  SECTION("all holders answered: what comes next is asked for, once each") {
    charge();
    charge();
    for (int i = 0; i < 3; ++i) {
      BorrowReply reply = Granting(recorder.requests.back(), 0);
      reply.retry_after_us = 90'000 - 20'000 * i;
      CHECK(recorder.requests.back().early == 0);
      borrower.Receive(reply);
    }
    // The slot that has some first is asked first.
    CHECK(recorder.requests.back().slot == recorder.requests[2].slot);
    CHECK(recorder.requests.back().early == 2);
    BorrowReply reply = Granting(recorder.requests.back(), 0);
    reply.early = {1, 50'000, 50'000};
    borrower.Receive(reply);
    CHECK(recorder.requests.back().slot == recorder.requests[1].slot);
    borrower.Receive(Granting(recorder.requests.back(), 0));
    CHECK(recorder.requests.back().slot == recorder.requests[0].slot);
    CHECK(results.empty());
    borrower.Receive(Granting(recorder.requests.back(), 0));
    // The one that nobody has anything for is told so at once.
    REQUIRE(results.size() == 1);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
    pass(std::chrono::milliseconds{40});
    CHECK(results.size() == 1);
    pass(std::chrono::milliseconds{20});
    REQUIRE(results.size() == 2);
    CHECK(results.back().granted);
  }

  SECTION("what comes next is not spent after a pause") {
    charge();
    grant_next();
    clock.Advance(std::chrono::milliseconds{500});
    borrower.Tick();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
  }

  SECTION("nobody waits past a deadline for what comes next") {
    borrower.Charge(
        "club", WaitLimit::Until(clock.Now() + std::chrono::milliseconds{30}),
        [&](const ChargeResult &result) { results.push_back(result); });
    grant_next();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
  }

  SECTION("share that comes too late for its answer is left to others") {
    const Time now = clock.Now();
    borrower.Charge(
        "club",
        {now + std::chrono::seconds{1}, now + std::chrono::milliseconds{30}},
        [&](const ChargeResult &result) { results.push_back(result); });
    const std::size_t asked = recorder.requests.size();
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.Receive(nothing);
    }
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().granted);
    CHECK(results.front().reason == pollenring::Reason::kRateLimited);
    // Nobody was asked for what comes next: it would have been lost.
    CHECK(recorder.requests.size() == asked + 2);
  }

  SECTION("what comes next is asked for as long as somebody waits") {
    const Time now = clock.Now();
    borrower.Charge(
        "club",
        {now + std::chrono::seconds{1}, now + std::chrono::milliseconds{80}},
        [&](const ChargeResult &result) { results.push_back(result); });
    for (int i = 0; i < 3; ++i) {
      BorrowReply nothing = Granting(recorder.requests.back(), 0);
      nothing.retry_after_us = 50'000;
      borrower.Receive(nothing);
    }
    CHECK(recorder.requests.back().early == 1);
    CHECK(recorder.requests.back().early_within_us == 80'000);
  }

  SECTION("no more wait than a second's worth of a large workspace") {
    recorder.holders_known = false;
    for (int i = 0; i < 3000; ++i) charge();
    CHECK(results.size() >= 1000);
  }
}

TEST_CASE("borrower: workspaces come while others are refused, and go") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  Recorder recorder;
  recorder.holders_known = false;
  pollenring::ShareBorrower borrower{1, 9, {}, clock, recorder};
  int answers = 0;
  int charges = 0;
  // Each refusal brings callers of workspaces that were not seen before.
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
