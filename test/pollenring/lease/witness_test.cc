#include "pollenring/lease/witness.h"

#include <catch2/catch.hpp>

namespace {

using pollenring::Duration;
using pollenring::kEpochsPerRow;
using pollenring::ManualClock;
using pollenring::ProcessRef;
using pollenring::Witness;
using pollenring::WitnessQuery;
using pollenring::WitnessReply;
using pollenring::WitnessRequestKind;

constexpr std::uint64_t kProcess = 7;
constexpr std::uint64_t kRow = kEpochsPerRow;
constexpr ProcessRef kHolder{1, 11};
constexpr ProcessRef kTaker{2, 12};
constexpr ProcessRef kOther{3, 13};
constexpr Duration kPromise = std::chrono::seconds{2};

/*! @brief A witness and the asks that reach it. */
struct Scene {
  ManualClock clock{std::chrono::hours{1}};
  Witness witness{kProcess, {}, clock};

  WitnessReply Ask(WitnessRequestKind request, std::uint64_t epoch,
                   const ProcessRef &asker, bool sealing = false,
                   std::int64_t asked_us = 0) {
    WitnessQuery ask;
    ask.request = request;
    ask.epoch = epoch;
    ask.process = kProcess;
    ask.asker = asker;
    ask.sealing = sealing;
    ask.asked_us = asked_us == 0 ? this->clock.Now().count() : asked_us;
    return this->witness.Answer(ask);
  }
};

}  // namespace

TEST_CASE("witness: a vote waits for promises and is given once an epoch") {
  Scene scene;
  CHECK(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  scene.clock.Advance(kPromise - Duration{1});
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  scene.clock.Advance(Duration{1});
  CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kOther).granted);
  // Asked again, since the answer may have been lost.
  CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  // The holder of before is over, whatever it believes.
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  const auto next = scene.Ask(WitnessRequestKind::kVote, kRow + 2, kOther);
  CHECK(next.granted);
  CHECK(next.promised == kRow);
  CHECK(next.promised_to == kHolder);
  CHECK_FALSE(
      scene.Ask(WitnessRequestKind::kPromise, kRow + 1, kTaker).granted);
}

TEST_CASE("witness: it elects nobody while a row is sealed") {
  Scene scene;
  const std::int64_t first = scene.clock.Now().count();
  const auto sealed =
      scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder, true);
  CHECK(sealed.granted);
  CHECK(sealed.sealed);
  scene.clock.Advance(kPromise * 2);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);

  SECTION("nor promises anything to one whom others have elected") {
    const auto answer =
        scene.Ask(WitnessRequestKind::kPromise, kRow + 1, kTaker);
    CHECK_FALSE(answer.granted);
    CHECK(answer.sealed);
    // The one who has sealed it is over and can't undo it.
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 2, kOther).granted);
  }

  SECTION("a late message does not undo it, a new one does") {
    const auto late = scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder,
                                false, first - 1);
    CHECK(late.sealed);
    const auto other = scene.Ask(WitnessRequestKind::kPromise, kRow, kOther);
    CHECK(other.sealed);
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).sealed);
    scene.clock.Advance(kPromise);
    CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  }

  SECTION("one that resigns unseals it and can be succeeded at once") {
    CHECK(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder, true).granted);
    static_cast<void>(scene.Ask(WitnessRequestKind::kResign, kRow, kOther));
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
    static_cast<void>(scene.Ask(WitnessRequestKind::kResign, kRow, kHolder));
    CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  }
}

TEST_CASE("witness: a released row has neither promises nor votes") {
  Scene scene;
  CHECK(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  scene.clock.Advance(kPromise / 2);
  const auto released = scene.Ask(WitnessRequestKind::kRelease,
                                  pollenring::LastEpochOf(kRow), kTaker);
  CHECK(released.granted);
  CHECK(Duration{released.remaining_us} == kPromise / 2);
  CHECK(released.promised_to == kHolder);
  scene.clock.Advance(kPromise);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kHolder).granted);
  CHECK(scene.Ask(WitnessRequestKind::kPromise, 2 * kRow, kTaker).granted);
}

TEST_CASE("witness: a process that has ended votes and promises nothing") {
  Scene scene;
  WitnessQuery ask;
  ask.process = kProcess + 1;
  ask.epoch = kRow;
  ask.asker = kHolder;
  for (const auto request :
       {WitnessRequestKind::kPromise, WitnessRequestKind::kVote}) {
    ask.request = request;
    const auto answer = scene.witness.Answer(ask);
    CHECK_FALSE(answer.granted);
    CHECK_FALSE(answer.remembers);
    CHECK(Duration{answer.remaining_us} == kPromise);
  }
}

TEST_CASE("witness: it knows the row in force, and how long at most") {
  Scene scene;
  WitnessQuery ask;
  ask.process = kProcess;
  ask.epoch = kRow;
  ask.asker = kHolder;
  const auto tell = [&](Duration lapse_left) {
    ask.in_force = {{kRow, kHolder, {kHolder, kTaker}}, 5, lapse_left.count()};
    static_cast<void>(scene.witness.Answer(ask));
    return scene.witness.Known(0)->ends;
  };
  CHECK(scene.witness.Known(0) == nullptr);
  const auto ends = tell(std::chrono::minutes{20});
  CHECK(ends < scene.clock.Now() + std::chrono::minutes{20});
  // Old news does not lengthen it.
  CHECK(tell(std::chrono::minutes{25}) == ends);
  CHECK(tell(std::chrono::minutes{15}) < ends);
  CHECK(scene.witness.Known(0)->version == 5);
}
