#include "pollenring/node/member_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/link/link_server.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/wire.h"
#include "pollenring/storage/memory_storage.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::Decode;
using pollenring::Encode;
using pollenring::Gossip;
using pollenring::GossipKind;
using pollenring::Member;
using pollenring::MessageKind;
using pollenring::WireVersion;

constexpr const char *kSecret = "secret of the member service";
constexpr std::size_t kMaxBytes = std::size_t{1} << 20U;

[[nodiscard]] Address At(int net, int index) {
  return *Address::Parse("127.47." + std::to_string(net) + '.' +
                         std::to_string(index) + ":7002");
}

[[nodiscard]] Member MakeMember(const Address &address) {
  Member member;
  member.id = address.Packed();
  member.process = member.id;
  member.incarnation = 1;
  member.version = 1;
  member.zone = "z";
  member.region = "r";
  return member;
}

/*! @brief A node of today's build, as far as membership goes. */
struct CurrentNode {
  CurrentNode(pollenring::Loop &loop, const Address &address,
              std::vector<Address> seeds)
      : quarantine{{}, loop.GetClock(), this->random},
        metrics{loop.GetClock()},
        wire{loop.GetClock(), this->metrics},
        link{loop, kSecret, kMaxBytes},
        bus{loop, address, kSecret, this->wire},
        service{Self(address),    std::move(seeds), loop,
                this->bus,        this->link,       this->table,
                this->quarantine, this->random},
        server{loop, address, kSecret, kMaxBytes,
               [this](const std::string &path, const std::string &body,
                      const std::shared_ptr<pollenring::LinkResponder> &to) {
                 auto reply =
                     this->service.HandleRequest(path, to->Peer(), body);
                 to->Send(reply.value_or(""));
               }} {
    this->service.Start();
  }

  [[nodiscard]] static Member Self(const Address &address) {
    Member self = MakeMember(address);
    self.wire = static_cast<std::uint8_t>(pollenring::kNewestWire);
    return self;
  }

  pollenring::SeededRandom random{3};
  pollenring::Quarantine quarantine;
  pollenring::Metrics metrics;
  pollenring::PeerWire wire;
  pollenring::LinkClient link;
  pollenring::Bus bus;
  pollenring::MemoryTable table;
  pollenring::MemberService service;
  pollenring::LinkServer server;
};

/*! @brief Datagrams of a node that reads and writes one form alone. */
class SingleVersionNode {
 public:
  SingleVersionNode(pollenring::Loop &loop, const Address &address,
                    WireVersion version)
      : self{MakeMember(address)},
        version{version},
        socket{loop, address, kSecret,
               [this](const Address &from, std::string_view content) {
                 this->Receive(from, content);
               }} {}

  /*! @brief Probes a node, with the own record. */
  void Probe(const Address &to) { this->Write(to, GossipKind::kPing, 77); }

  int probed{}; /*!< Probes that were read. */
  int acked{};  /*!< Answers that were read. */
  std::vector<Member> learned;

 private:
  void Receive(const Address &from, std::string_view content) {
    if (content.front() != static_cast<char>(MessageKind::kGossip)) return;
    const auto gossip = Decode<Gossip>(content.substr(1));
    if (!gossip || gossip->version != this->version) return;
    for (const auto &member : gossip->value.updates) {
      this->learned.push_back(member);
    }
    if (gossip->value.kind == GossipKind::kAck) {
      ++this->acked;
      return;
    }
    ++this->probed;
    this->Write(from, GossipKind::kAck, gossip->value.sequence);
  }

  void Write(const Address &to, GossipKind kind, std::uint64_t sequence) {
    Gossip gossip;
    gossip.kind = kind;
    gossip.from = this->self.id;
    gossip.sequence = sequence;
    gossip.updates = {this->self};
    this->socket.Send(to,
                      std::string(1, static_cast<char>(MessageKind::kGossip)) +
                          Encode(gossip, this->version));
  }

  Member self;
  WireVersion version;
  pollenring::UdpSocket socket;
};

struct Bench {
  Bench() { std::signal(SIGPIPE, SIG_IGN); }

  void Run(pollenring::Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
};

void CheckNodesMeet(int net, WireVersion version) {
  Bench bench;
  const Address here = At(net, 1);
  const Address there = At(net, 2);
  SingleVersionNode other{bench.loop, there, version};
  CurrentNode current{bench.loop, here, {}};
  other.Probe(here);
  bench.Run(500ms);
  current.service.Get().Announce({{"deep", 4, pollenring::TargetState::kWarm}});
  bench.Run(1500ms);
  CHECK(other.acked >= 1);
  CHECK(other.probed >= 3);
  const auto &learned = other.learned;
  CHECK(std::any_of(learned.begin(), learned.end(), [&](const Member &known) {
    return known.id == here.Packed() && known.targets.size() == 1;
  }));
  const Member *member = current.service.Get().Find(there.Packed());
  REQUIRE(member != nullptr);
  CHECK(member->state == pollenring::MemberState::kAlive);
  CHECK(current.wire.versions.Of(there.Packed()) == version);
  CHECK(current.metrics.Read("pollenring_unreadable_total") == 0);
}

}  // namespace

TEST_CASE("member service: a node of build 33161f2 and a current one meet") {
  CheckNodesMeet(1, WireVersion::kV1);
}

TEST_CASE("member service: a node of build 0e01c9f and a current one meet") {
  CheckNodesMeet(2, WireVersion::kV2);
}

TEST_CASE("member service: reaches a node of unknown wire version") {
  for (const auto version : {WireVersion::kV1, WireVersion::kV2}) {
    Bench bench;
    const int net = version == WireVersion::kV1 ? 3 : 4;
    SingleVersionNode other{bench.loop, At(net, 2), version};
    CurrentNode current{bench.loop, At(net, 1), {}};
    current.service.Get().Contact(At(net, 2).Packed());
    bench.Run(200ms);
    CHECK(other.probed >= 1);
    CHECK(current.wire.versions.Of(At(net, 2).Packed()) == version);
  }
}

TEST_CASE("member service: reaches a node replaced by an older build") {
  Bench bench;
  SingleVersionNode other{bench.loop, At(5, 2), WireVersion::kV1};
  CurrentNode current{bench.loop, At(5, 1), {}};
  current.service.Get().Merge({MakeMember(At(5, 2))});
  current.wire.versions.MessageReceived(At(5, 2).Packed(), WireVersion::kV3);
  bench.Run(3s);
  CHECK(other.probed >= 3);
  const Member *member = current.service.Get().Find(At(5, 2).Packed());
  REQUIRE(member != nullptr);
  CHECK(member->state == pollenring::MemberState::kAlive);
}

TEST_CASE(
    "member service: two current nodes soon use the newest wire version") {
  Bench bench;
  CurrentNode first{bench.loop, At(6, 1), {}};
  CurrentNode second{bench.loop, At(6, 2), {At(6, 1)}};
  bench.Run(1s);
  CHECK(first.wire.versions.Of(At(6, 2).Packed()) == WireVersion::kV3);
  CHECK(second.wire.versions.Of(At(6, 1).Packed()) == WireVersion::kV3);
  CHECK(first.metrics.Read("pollenring_unreadable_total") == 0);
  CHECK(second.metrics.Read("pollenring_unreadable_total") == 0);
}

TEST_CASE(
    "member service: two current nodes correct an older recorded version") {
  // As when both got the other's record through an old node.
  Bench bench;
  CurrentNode first{bench.loop, At(7, 1), {}};
  CurrentNode second{bench.loop, At(7, 2), {}};
  first.wire.versions.MessageReceived(At(7, 2).Packed(), WireVersion::kV2);
  second.wire.versions.MessageReceived(At(7, 1).Packed(), WireVersion::kV2);
  first.service.Get().Contact(At(7, 2).Packed());
  bench.Run(1s);
  CHECK(first.wire.versions.Of(At(7, 2).Packed()) == WireVersion::kV3);
  CHECK(second.wire.versions.Of(At(7, 1).Packed()) == WireVersion::kV3);
}

TEST_CASE("member service: counts datagrams that can't be decoded") {
  Bench bench;
  CurrentNode current{bench.loop, At(8, 1), {}};
  pollenring::UdpSocket socket{bench.loop, At(8, 2), kSecret,
                               [](const Address &, std::string_view) {}};
  socket.Send(At(8, 1), "\x01nonsense");
  socket.Send(At(8, 1), "\x63of a kind that this build lacks");
  bench.Run(200ms);
  CHECK(current.metrics.Read("pollenring_unreadable_total") == 2);
}

TEST_CASE(
    "member service: replies to a join in the wire version of the request") {
  Bench bench;
  CurrentNode current{bench.loop, At(9, 1), {}};
  const auto records = std::vector{MakeMember(At(9, 2))};
  for (const auto version : {WireVersion::kV2, WireVersion::kV3}) {
    const auto reply = *current.service.HandleRequest("members", At(9, 2),
                                                      Encode(records, version));
    const auto decoded = Decode<std::vector<Member>>(reply);
    REQUIRE(decoded);
    CHECK(decoded->version == version);
    CHECK(decoded->value.size() == 2);
  }
  CHECK(current.service.HandleRequest("members", At(9, 2), "nonsense")->size() >
        10);
  CHECK(current.metrics.Read("pollenring_unreadable_total") == 1);
}
