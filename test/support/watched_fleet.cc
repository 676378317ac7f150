#include "support/watched_fleet.h"

namespace support {
namespace {

using namespace std::chrono_literals;
using pollenring::Duration;

constexpr auto kStep = 20ms;
constexpr std::uint64_t kStepsPerCheck = 5;
constexpr auto kStoreDelay = 8ms;
constexpr auto kFetchDelay = 10ms;
constexpr auto kTimeout = 800ms;
/*! @brief Period in which a link notices that its last ping had no reply. */
constexpr auto kLivenessCheck = 100ms;

}  // namespace

WatchedFleet::WatchedFleet(int size, std::uint64_t seed)
    : members{size, seed}, nodes(static_cast<std::size_t>(size)) {
  this->members.peer_version = [this](int node, NodeId peer,
                                      std::uint64_t version) {
    if (version > this->At(node).version)
      this->FetchFrom(node, static_cast<int>(peer) - 1);
  };
}

bool WatchedFleet::Running(int index) const {
  const auto &node = this->members.nodes[static_cast<std::size_t>(index)];
  return node && !node->frozen;
}

void WatchedFleet::After(int index, std::chrono::milliseconds delay,
                         std::function<void()> event) {
  const std::uint64_t process = this->At(index).process;
  this->members.network.At(this->members.clock.Now() + delay,
                           [this, index, process, event = std::move(event)] {
                             if (this->At(index).process == process) event();
                           });
}

void WatchedFleet::Run(std::chrono::milliseconds length) {
  for (auto passed = 0ms; passed < length; passed += kStep) {
    this->members.Run(kStep);
    ++this->steps;
    for (int i = 0; i < this->members.Size(); ++i) {
      // The store also replies to a node that stands still.
      this->CheckHeldCall(i);
      if (!this->Running(i)) continue;
      const auto phase = static_cast<std::uint64_t>(i) % kStepsPerCheck;
      if (this->steps % kStepsPerCheck == phase) this->CheckWatch(i);
    }
  }
}

void WatchedFleet::Kill(int index) {
  const std::uint64_t process = this->At(index).process + 1;
  this->members.Kill(index);
  this->At(index) = Node{};
  this->At(index).process = process;
}

void WatchedFleet::Boot(int index) { this->members.Boot(index); }

void WatchedFleet::Isolate(int index) {
  for (int i = 0; i < this->members.Size(); ++i) {
    if (i != index) this->members.network.partitions.insert({index, i});
  }
}

void WatchedFleet::Sever(double fraction) {
  for (int i = 0; i < this->members.Size(); ++i) {
    for (int j = 0; j < this->members.Size(); ++j) {
      if (this->members.random.Chance(fraction))
        this->silent[{i, j}] = Silence::kUnnoticed;
    }
  }
}

std::chrono::milliseconds WatchedFleet::TimeToFail(int index, int peer) {
  const auto found = this->silent.find({index, peer});
  if (found == this->silent.end()) return 0ms;
  // The link sends a ping with the first call, whose timeout comes before the
  // ping's; the second call finds the ping without a reply.
  if (std::exchange(found->second, Silence::kGivenUp) == Silence::kUnnoticed)
    return kTimeout;
  this->silent.erase(found);
  return kLivenessCheck;
}

std::set<int> WatchedFleet::Designated() const {
  std::set<int> designated;
  for (int i = 0; i < this->members.Size(); ++i) {
    if (this->Running(i) && this->RoleOf(i).IsDesignated())
      designated.insert(i);
  }
  return designated;
}

void WatchedFleet::CheckWatch(int index) {
  Node &node = this->At(index);
  if (node.querying) return;
  const auto role = this->RoleOf(index);
  if (!role.ShouldWatch()) {
    node.watching = false;
    return;
  }
  ++this->calls;
  node.querying = true;
  const Duration wait =
      node.watching ? role.NextWatch(this->members.random) : Duration{0};
  node.held_until = this->members.clock.Now() + wait;
  node.awaiting = true;
  if (this->unserved.count(index) == 0) return;
  node.awaiting = false;
  this->After(
      index,
      std::chrono::duration_cast<std::chrono::milliseconds>(wait) + kTimeout,
      [&node] { node.querying = node.watching = false; });
}

void WatchedFleet::CheckHeldCall(int index) {
  Node &node = this->At(index);
  if (!node.awaiting) return;
  const bool changed = node.watching && this->stored > node.version;
  if (!changed && this->members.clock.Now() < node.held_until) return;
  node.awaiting = false;
  this->last_contact = this->members.clock.Now();
  this->After(index, kStoreDelay, [this, index, version = this->stored] {
    this->HandleReply(index, version);
  });
}

void WatchedFleet::HandleReply(int index, std::uint64_t version) {
  if (!this->Running(index)) {
    this->After(index, kStoreDelay,
                [this, index, version] { this->HandleReply(index, version); });
    return;
  }
  Node &node = this->At(index);
  node.querying = false;
  node.watching = true;
  this->Adopt(index, version);
  this->members.At(index)->RecordStoreContact();
  this->CheckWatch(index);
}

void WatchedFleet::Adopt(int index, std::uint64_t version) {
  Node &node = this->At(index);
  if (version <= node.version) return;
  node.version = version;
  Membership &membership = *this->members.At(index);
  membership.SetConfigVersion(version);
  std::vector<NodeId> local;
  std::vector<NodeId> remote;
  for (const auto &[id, member] : membership.Members()) {
    if (member.state == MemberState::kDead) continue;
    const bool near = member.zone == membership.Self().zone;
    (near ? local : remote).push_back(id);
  }
  const auto notify = [&](const std::vector<NodeId> &peers, int count) {
    for (int i = 0; i < count && !peers.empty(); ++i)
      membership.Contact(peers[this->members.random.Index(peers.size())]);
  };
  notify(local, 3);
  notify(remote, 1);
}

void WatchedFleet::FetchFrom(int index, int peer) {
  if (std::exchange(this->At(index).fetching, true)) return;
  const auto time_to_fail = this->TimeToFail(index, peer);
  const bool reachable = this->Running(peer) &&
                         !this->members.network.Partitioned(index, peer) &&
                         time_to_fail == 0ms;
  const auto failed_after = time_to_fail > 0ms ? time_to_fail : kTimeout;
  const std::uint64_t version = this->At(peer).version;
  this->After(index, reachable ? kFetchDelay : failed_after,
              [this, index, reachable, version] {
                this->At(index).fetching = false;
                if (reachable && this->Running(index))
                  this->Adopt(index, version);
              });
}

}  // namespace support
