#include "pollenring/wire/codec.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "pollenring/metrics/metrics.h"
#include "pollenring/node/wire.h"
#include "pollenring/wire/peer_wire.h"
#include "support/golden_values.h"

namespace {

using pollenring::CallEnvelope;
using pollenring::CallReply;
using pollenring::Decode;
using pollenring::Encode;
using pollenring::Gossip;
using pollenring::Reason;
using pollenring::WireVersion;

/*! @brief A message that holds only numbers. @param fields By number. */
[[nodiscard]] std::string Numbered(const std::map<int, int> &fields) {
  return pollenring::Pack(fields);
}

}  // namespace

TEST_CASE("codec: fields that a build lacks are skipped") {
  auto decoded = Decode<Gossip>(Numbered({{3, 7}, {200, 1}}));
  REQUIRE(decoded);
  CHECK(decoded->value.sequence == 7);
}

TEST_CASE("codec: a call that does not say so runs once and has no key") {
  const auto decoded = Decode<CallEnvelope>(Numbered({{17, 1}}));
  REQUIRE(decoded);
  CHECK(decoded->value.depth == 1);
  CHECK_FALSE(decoded->value.idempotent);
  CHECK_FALSE(decoded->value.authenticated);
  CHECK(decoded->value.importance == pollenring::Importance::kNormal);
  CHECK(decoded->value.remaining_us == 0);
  CHECK(decoded->value.retries == 0);
}

TEST_CASE("codec: enumerators that a build lacks stand for safe ones") {
  const auto reply = Decode<CallReply>(Numbered({{1, 77}, {2, 78}}));
  REQUIRE(reply);
  CHECK(reply->value.outcome == pollenring::Outcome::kUnknown);
  CHECK(reply->value.reason == Reason::kOverload);
  const auto gossip = Decode<Gossip>(Numbered({{1, 9}}));
  REQUIRE(gossip);
  CHECK(gossip->value.kind == pollenring::GossipKind::kAck);
  const auto target = Decode<pollenring::Target>(Numbered({{3, 9}}));
  REQUIRE(target);
  CHECK(target->value.state == pollenring::TargetState::kDraining);
  const auto member = Decode<pollenring::Member>(Numbered({{5, -1}}));
  REQUIRE(member);
  CHECK(member->value.state == pollenring::MemberState::kLeaving);
}

TEST_CASE("codec: reasons that V1 lacks are written as those it acts on") {
  const auto written = [](Reason reason, WireVersion version) {
    const auto reply = support::GoldenReply(reason);
    return Decode<CallReply>(Encode(reply, version))->value.reason;
  };
  CHECK(written(Reason::kWarmingUp, WireVersion::kV1) == Reason::kOverload);
  CHECK(written(Reason::kZoneWithdrawn, WireVersion::kV1) == Reason::kLeaving);
  CHECK(written(Reason::kNoRoute, WireVersion::kV1) == Reason::kNoRoute);
  CHECK(written(Reason::kWarmingUp, WireVersion::kV2) == Reason::kWarmingUp);
  CHECK(written(Reason::kZoneWithdrawn, WireVersion::kV3) ==
        Reason::kZoneWithdrawn);
}

TEST_CASE("codec: each form of a message with and without lists is told") {
  Gossip gossip;
  gossip.wire = 3;
  for (const auto &row : pollenring::kWireVersionNames.rows) {
    for (const std::size_t updates : {0, 1}) {
      gossip.updates.assign(updates, support::GoldenMember());
      const auto decoded = Decode<Gossip>(Encode(gossip, row.value));
      REQUIRE(decoded);
      CHECK(decoded->version == row.value);
      CHECK(decoded->value.updates.size() == updates);
      CHECK(decoded->value.wire == 3);
    }
  }
  CHECK_FALSE(Decode<Gossip>("").has_value());
  CHECK_FALSE(Decode<Gossip>("\x05").has_value());
}

TEST_CASE("peer versions: the newest form counts until a process ends") {
  pollenring::PeerVersions versions;
  auto member = support::GoldenMember();
  const auto id = member.id;
  CHECK_FALSE(versions.Of(id));
  versions.Heard(id, WireVersion::kV3);
  versions.Heard(id, WireVersion::kV1);
  CHECK(versions.Of(id) == WireVersion::kV3);
  versions.Recorded(member);
  CHECK(versions.Of(id) == WireVersion::kV3);
  ++member.version;
  versions.Recorded(member);
  CHECK(versions.Of(id) == WireVersion::kV3);
  // An older build may have taken the place of the process.
  ++member.incarnation;
  versions.Recorded(member);
  CHECK_FALSE(versions.Of(id));
  versions.Heard(id, WireVersion::kV2);
  CHECK(versions.Of(id) == WireVersion::kV2);
  ++member.incarnation;
  member.wire = 9;
  versions.Recorded(member);
  CHECK(versions.Of(id) == pollenring::kNewestWire);
  member.state = pollenring::MemberState::kDead;
  versions.Recorded(member);
  CHECK_FALSE(versions.Of(id));
}

TEST_CASE("unreadable messages: all are counted") {
  pollenring::ManualClock clock{std::chrono::hours{1}};
  pollenring::Metrics metrics{clock};
  pollenring::PeerWire wire{clock, metrics};
  for (int i = 0; i < 5; ++i) {
    wire.NoteUnreadable(support::GoldenMember().id, "gossip", 40);
  }
  CHECK(metrics.Read("pollenring_unreadable_total") == 5);
}
