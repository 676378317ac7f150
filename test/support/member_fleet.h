#ifndef POLLENRING_TEST_SUPPORT_MEMBER_FLEET_H_
#define POLLENRING_TEST_SUPPORT_MEMBER_FLEET_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pollenring/membership/membership.h"
#include "pollenring/quarantine/quarantine.h"
#include "support/fake_network.h"

namespace support {

using pollenring::Gossip;
using pollenring::ManualClock;
using pollenring::Member;
using pollenring::Membership;
using pollenring::MemberState;
using pollenring::NodeId;
using pollenring::SeededRandom;

/*! @brief Many memberships over a bad network. */
class MemberFleet {
 public:
  MemberFleet(int size, std::uint64_t seed)
      : random{seed}, clock{std::chrono::hours{1}}, network{clock, random} {
    for (int i = 0; i < size; ++i) this->nodes.push_back(nullptr);
    for (int i = 0; i < size; ++i) this->Boot(i);
  }

  struct Node final : pollenring::MembershipDelegate {
    Node(MemberFleet &fleet, int index, std::uint64_t incarnation)
        : fleet{fleet},
          index{index},
          membership{MakeSelf(index, incarnation),
                     {},
                     fleet.clock,
                     fleet.random,
                     *this} {}

    static Member MakeSelf(int index, std::uint64_t incarnation) {
      Member self;
      self.id = static_cast<NodeId>(index + 1);
      self.incarnation = incarnation;
      self.version = 1;
      self.zone = std::string(1, static_cast<char>('a' + index % 3));
      return self;
    }

    void SendGossip(NodeId to, const Gossip &gossip) override {
      ++this->fleet.messages;
      MemberFleet &shared = this->fleet;
      const int receiver = static_cast<int>(to) - 1;
      shared.network.Send(this->index, receiver, [&shared, receiver, gossip] {
        shared.Deliver(receiver, gossip);
      });
    }
    void MemberChanged(const Member & /*member*/) override {}
    void PeerConfigVersion(NodeId peer, std::uint64_t version) override {
      if (this->fleet.peer_version)
        this->fleet.peer_version(this->index, peer, version);
    }
    void PeerZoneWithdrawals(
        const pollenring::ZoneWithdrawals &withdrawals) override {
      if (this->zones.Merge(withdrawals))
        this->membership.SetZones(withdrawals);
    }

    std::vector<pollenring::CrashReport> TakeCrashReports() override {
      return this->quarantine.TakeReports(this->membership.Members().size());
    }
    void PeerCrashReports(
        const std::vector<pollenring::CrashReport> &reports) override {
      for (const auto &report : reports) this->quarantine.Merge(report);
    }

    void RecordsDiffer(NodeId peer) override {
      ++this->fleet.exchanges;
      MemberFleet &shared = this->fleet;
      const int receiver = static_cast<int>(peer) - 1;
      const int own = this->index;
      const auto digests = this->membership.Digests();
      shared.network.Send(own, receiver, [&shared, receiver, own, digests] {
        auto &node = shared.nodes[static_cast<std::size_t>(receiver)];
        if (!node || node->frozen) return;
        const auto theirs = node->membership.Differing(digests);
        shared.network.Send(receiver, own, [&shared, own, receiver, theirs] {
          auto &requester = shared.nodes[static_cast<std::size_t>(own)];
          if (!requester || requester->frozen) return;
          const auto mine = requester->membership.Differing(theirs.digests);
          requester->membership.Merge(theirs.records);
          shared.network.Send(own, receiver, [&shared, receiver, mine] {
            auto &peer = shared.nodes[static_cast<std::size_t>(receiver)];
            if (peer && !peer->frozen) peer->membership.Merge(mine.records);
          });
        });
      });
    }

    MemberFleet &fleet;
    int index;
    Membership membership;
    pollenring::WithdrawnZones zones;
    pollenring::Quarantine quarantine{{}, fleet.clock, fleet.random};
    bool frozen{};
    std::vector<Gossip> queued;
  };

  void Deliver(int index, const Gossip &gossip) {
    auto &node = this->nodes[static_cast<std::size_t>(index)];
    if (!node) return;
    if (node->frozen) {
      node->queued.push_back(gossip);
      return;
    }
    node->membership.Receive(gossip);
  }

  [[nodiscard]] int Size() const noexcept {
    return static_cast<int>(this->nodes.size());
  }

  /*! @brief A node's membership. @return It, or null while it is down. */
  [[nodiscard]] Membership *At(int index) const {
    const auto &node = this->nodes[static_cast<std::size_t>(index)];
    return node ? &node->membership : nullptr;
  }

  /*! @brief Stops a node; datagrams wait in its socket. */
  void Freeze(int index) {
    this->nodes[static_cast<std::size_t>(index)]->frozen = true;
  }

  /*! @brief Continues a node, which reads what has arrived meanwhile. */
  void Thaw(int index) {
    auto &node = *this->nodes[static_cast<std::size_t>(index)];
    node.frozen = false;
    for (const auto &gossip : std::exchange(node.queued, {}))
      node.membership.Receive(gossip);
  }

  /*! @brief Ends a node without a word. */
  void Kill(int index) { this->nodes[static_cast<std::size_t>(index)].reset(); }

  /*! @brief Starts a node, again perhaps. */
  void Boot(int index) {
    auto &slot = this->nodes[static_cast<std::size_t>(index)];
    slot = std::make_unique<Node>(*this, index, ++this->incarnation);
    slot->membership.Contact(
        static_cast<NodeId>((index + 1) % this->nodes.size()) + 1);
    if (index != 0) slot->membership.Contact(1);
  }

  void Run(std::chrono::milliseconds length) {
    for (auto t = length.count(); t > 0; t -= 20) {
      this->network.RunUntil(this->clock.Now() + std::chrono::milliseconds{20});
      for (auto &node : this->nodes) {
        if (node && !node->frozen) node->membership.Tick();
      }
    }
  }

  [[nodiscard]] MemberState StateSeen(int from, int of) const {
    const auto *record =
        this->nodes[static_cast<std::size_t>(from)]->membership.Find(
            static_cast<NodeId>(of + 1));
    return record == nullptr ? MemberState::kDead : record->state;
  }

  /*! @brief Counts pairs of live nodes of which one misjudges the other. */
  [[nodiscard]] int Misjudged() const {
    int count = 0;
    const auto size = static_cast<int>(this->nodes.size());
    for (int i = 0; i < size; ++i) {
      if (!this->nodes[static_cast<std::size_t>(i)]) continue;
      for (int j = 0; j < size; ++j) {
        const bool alive = this->nodes[static_cast<std::size_t>(j)] != nullptr;
        const bool seen = this->StateSeen(i, j) != MemberState::kDead;
        if (alive != seen) ++count;
      }
    }
    return count;
  }

  SeededRandom random;
  ManualClock clock;
  FakeNetwork network;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t incarnation{};
  std::uint64_t messages{};
  std::uint64_t exchanges{};
  /*! @brief Called when a node hears of a peer's configuration version. */
  std::function<void(int node, NodeId peer, std::uint64_t version)>
      peer_version;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MEMBER_FLEET_H_
