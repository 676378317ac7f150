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

/*! @brief A witness and the queries sent to it. */
struct Scene {
  ManualClock clock{std::chrono::hours{1}};
  Witness witness{kProcess, {}, clock};

  WitnessReply Ask(WitnessRequestKind request, std::uint64_t epoch,
                   const ProcessRef &sender, bool sealing = false,
                   std::int64_t sent_us = 0) {
    WitnessQuery query;
    query.request = request;
    query.epoch = epoch;
    query.process = kProcess;
    query.sender = sender;
    query.sealing = sealing;
    query.sent_us = sent_us == 0 ? this->clock.Now().count() : sent_us;
    return this->witness.HandleQuery(query);
  }
};

}  // namespace

TEST_CASE(
    "witness: votes once per epoch and only after promises have expired") {
  Scene scene;
  CHECK(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  scene.clock.Advance(kPromise - Duration{1});
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  scene.clock.Advance(Duration{1});
  CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kOther).granted);
  // Repeated, since the reply may have been lost.
  CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  // The earlier holder is superseded, whatever it believes.
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
  const auto next = scene.Ask(WitnessRequestKind::kVote, kRow + 2, kOther);
  CHECK(next.granted);
  CHECK(next.promised == kRow);
  CHECK(next.promised_to == kHolder);
  CHECK_FALSE(
      scene.Ask(WitnessRequestKind::kPromise, kRow + 1, kTaker).granted);
}

TEST_CASE("witness: elects nobody while a row is sealed") {
  Scene scene;
  const std::int64_t first = scene.clock.Now().count();
  const auto sealed =
      scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder, true);
  CHECK(sealed.granted);
  CHECK(sealed.sealed);
  scene.clock.Advance(kPromise * 2);
  CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);

  SECTION("nor promises anything to a node that others have elected") {
    const auto reply =
        scene.Ask(WitnessRequestKind::kPromise, kRow + 1, kTaker);
    CHECK_FALSE(reply.granted);
    CHECK(reply.sealed);
    // The process that sealed it is superseded and can't unseal it.
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).granted);
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kVote, kRow + 2, kOther).granted);
  }

  SECTION("a late message does not unseal it; a new one does") {
    const auto late = scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder,
                                false, first - 1);
    CHECK(late.sealed);
    const auto other = scene.Ask(WitnessRequestKind::kPromise, kRow, kOther);
    CHECK(other.sealed);
    CHECK_FALSE(scene.Ask(WitnessRequestKind::kPromise, kRow, kHolder).sealed);
    scene.clock.Advance(kPromise);
    CHECK(scene.Ask(WitnessRequestKind::kVote, kRow + 1, kTaker).granted);
  }

  SECTION("a holder that resigns unseals it and can be succeeded at once") {
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

TEST_CASE("witness: a query to an earlier process gets no vote or promise") {
  Scene scene;
  WitnessQuery query;
  query.process = kProcess + 1;
  query.epoch = kRow;
  query.sender = kHolder;
  for (const auto request :
       {WitnessRequestKind::kPromise, WitnessRequestKind::kVote}) {
    query.request = request;
    const auto reply = scene.witness.HandleQuery(query);
    CHECK_FALSE(reply.granted);
    CHECK_FALSE(reply.remembers);
    CHECK(Duration{reply.remaining_us} == kPromise);
  }
}

TEST_CASE(
    "witness: remembers the active row and the latest end of its validity") {
  Scene scene;
  WitnessQuery query;
  query.process = kProcess;
  query.epoch = kRow;
  query.sender = kHolder;
  const auto report = [&](Duration lapse_left) {
    query.active_row = {
        {kRow, kHolder, {kHolder, kTaker}}, 5, lapse_left.count()};
    static_cast<void>(scene.witness.HandleQuery(query));
    return scene.witness.Known(0)->ends;
  };
  CHECK(scene.witness.Known(0) == nullptr);
  const auto ends = report(std::chrono::minutes{20});
  CHECK(ends < scene.clock.Now() + std::chrono::minutes{20});
  // An older report does not extend it.
  CHECK(report(std::chrono::minutes{25}) == ends);
  CHECK(report(std::chrono::minutes{15}) < ends);
  CHECK(scene.witness.Known(0)->version == 5);
}
