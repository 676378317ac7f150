#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "pollenring/membership/membership.h"
#include "pollenring/node/wire.h"
#include "pollenring/wire/codec.h"

namespace {

using pollenring::CallEnvelope;
using pollenring::Gossip;
using pollenring::Member;
using pollenring::WireVersion;

/*! @brief Member record encoded with short field names. */
struct NamedMember {
  struct Target {
    std::string service;
    std::uint32_t slots{};
    pollenring::TargetState state{};
    MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", service), MSGPACK_NVP("b", slots),
                       MSGPACK_NVP("c", state))
  };

  pollenring::NodeId id{};
  std::uint64_t process{};
  std::uint64_t incarnation{};
  std::uint64_t version{};
  pollenring::MemberState state{};
  std::string zone;
  std::string region;
  std::vector<Target> targets;
  std::vector<std::uint32_t> slots;
  std::uint8_t wire{};
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", id), MSGPACK_NVP("b", process),
                     MSGPACK_NVP("c", incarnation), MSGPACK_NVP("d", version),
                     MSGPACK_NVP("e", state), MSGPACK_NVP("f", zone),
                     MSGPACK_NVP("g", region), MSGPACK_NVP("h", targets),
                     MSGPACK_NVP("i", slots), MSGPACK_NVP("j", wire))
};

/*! @brief Gossip datagram encoded with short field names. */
struct NamedGossip {
  struct Zones {
    std::uint64_t revision{};
    std::vector<std::string> zones;
    MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", revision), MSGPACK_NVP("b", zones))
  };

  pollenring::GossipKind kind{};
  pollenring::NodeId from{};
  std::uint64_t sequence{};
  std::uint64_t config_version{};
  std::int64_t store_age_ms{};
  std::uint64_t digest{};
  Zones zones;
  std::vector<NamedMember> updates;
  std::uint8_t wire{};
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", kind), MSGPACK_NVP("b", from),
                     MSGPACK_NVP("c", sequence),
                     MSGPACK_NVP("d", config_version),
                     MSGPACK_NVP("e", store_age_ms), MSGPACK_NVP("f", digest),
                     MSGPACK_NVP("g", zones), MSGPACK_NVP("h", updates),
                     MSGPACK_NVP("i", wire))
};

/*! @brief Header encoded with short field names. */
struct NamedHeader {
  std::string name;
  std::string value;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", name), MSGPACK_NVP("b", value))
};

/*! @brief Call envelope encoded with short field names. */
struct NamedEnvelope : CallEnvelope {
  std::vector<NamedHeader> headers;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", root_id), MSGPACK_NVP("b", workspace),
                     MSGPACK_NVP("c", service), MSGPACK_NVP("d", method),
                     MSGPACK_NVP("e", path), MSGPACK_NVP("f", host),
                     MSGPACK_NVP("g", route), MSGPACK_NVP("h", caller),
                     MSGPACK_NVP("i", headers), MSGPACK_NVP("j", regions),
                     MSGPACK_NVP("k", importance), MSGPACK_NVP("l", idempotent),
                     MSGPACK_NVP("m", is_retry),
                     MSGPACK_NVP("n", authenticated),
                     MSGPACK_NVP("o", sub_priority), MSGPACK_NVP("p", weight),
                     MSGPACK_NVP("q", depth), MSGPACK_NVP("r", remaining_us),
                     MSGPACK_NVP("s", root_age_us),
                     MSGPACK_NVP("t", soft_deadline_us),
                     MSGPACK_NVP("u", retries))
};

template <typename Record>
void FillMember(Record &member) {
  member.id = 0x7f2a'0101'1b5aU;
  member.process = ~std::uint64_t{};
  member.incarnation = 1'796'000'000'123U;
  member.version = 300;
  member.zone = "harbor-b";
  member.region = "harbor";
  member.targets.emplace_back();
  member.targets.back().service = "planner";
  member.targets.back().slots = 40;
  member.wire = 3;
}

template <typename Record>
[[nodiscard]] Record MakeGossip(std::size_t updates) {
  Record gossip;
  gossip.from = 0x7f2a'0102'1b5aU;
  gossip.sequence = 70'000;
  gossip.config_version = 12;
  gossip.store_age_ms = 250;
  gossip.digest = ~std::uint64_t{};
  gossip.zones.revision = 41;
  gossip.updates.resize(updates);
  for (auto &member : gossip.updates) FillMember(member);
  gossip.wire = 3;
  return gossip;
}

template <typename Record>
[[nodiscard]] Record MakeEnvelope() {
  Record envelope;
  envelope.root_id = "01a23e17-f120-7738-8fc6-c2d2b9936849";
  envelope.workspace = "book-club";
  envelope.service = "planner";
  envelope.method = "GET";
  envelope.path = "/plan?week=49";
  envelope.host = "a.example";
  envelope.route = "schedule-view";
  envelope.caller = "gather";
  envelope.headers = {{"content-type", "application/json"},
                      {"accept", "application/json"},
                      {"user-agent", "gather/1"}};
  envelope.sub_priority = 0.625;
  envelope.remaining_us = 1'400'000;
  envelope.root_age_us = 90'000;
  envelope.soft_deadline_us = 400'000;
  return envelope;
}

/*! @brief Encodes and decodes a value; reports its encoded size. */
template <typename Value>
void Measure(benchmark::State &state, const Value &value, WireVersion version) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string packed = pollenring::Encode(value, version);
    bytes = packed.size();
    benchmark::DoNotOptimize(pollenring::Decode<Value>(packed));
  }
  state.counters["bytes"] = benchmark::Counter(static_cast<double>(bytes));
}

void BM_GossipByPlace(benchmark::State &state) {
  const auto updates = static_cast<std::size_t>(state.range(0));
  Measure(state, MakeGossip<Gossip>(updates), WireVersion::kV2);
}
BENCHMARK(BM_GossipByPlace)->Arg(0)->Arg(1)->Arg(8);

void BM_GossipByNumber(benchmark::State &state) {
  const auto updates = static_cast<std::size_t>(state.range(0));
  Measure(state, MakeGossip<Gossip>(updates), WireVersion::kV3);
}
BENCHMARK(BM_GossipByNumber)->Arg(0)->Arg(1)->Arg(8);

void BM_GossipByName(benchmark::State &state) {
  const auto updates = static_cast<std::size_t>(state.range(0));
  Measure(state, MakeGossip<NamedGossip>(updates), WireVersion::kV3);
}
BENCHMARK(BM_GossipByName)->Arg(0)->Arg(1)->Arg(8);

void BM_CallByPlace(benchmark::State &state) {
  Measure(state, MakeEnvelope<CallEnvelope>(), WireVersion::kV2);
}
BENCHMARK(BM_CallByPlace);

void BM_CallByNumber(benchmark::State &state) {
  Measure(state, MakeEnvelope<CallEnvelope>(), WireVersion::kV3);
}
BENCHMARK(BM_CallByNumber);

void BM_CallByName(benchmark::State &state) {
  Measure(state, MakeEnvelope<NamedEnvelope>(), WireVersion::kV3);
}
BENCHMARK(BM_CallByName);

}  // namespace
