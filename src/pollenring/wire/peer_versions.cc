#include "pollenring/wire/peer_versions.h"

#include <algorithm>

namespace pollenring {

std::optional<WireVersion> PeerVersions::Of(NodeId peer) const {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) return std::nullopt;
  return found->second.version;
}

void PeerVersions::MessageReceived(NodeId peer, WireVersion version) {
  auto &known = this->peers[peer].version;
  known = known ? std::max(*known, version) : version;
}

void PeerVersions::Advertised(NodeId peer, std::uint8_t wire) {
  if (wire == 0) return;
  // A newer build may support a version that this one lacks.
  const auto known = std::min(wire, static_cast<std::uint8_t>(kNewestWire));
  this->MessageReceived(peer, static_cast<WireVersion>(known));
}

void PeerVersions::DecodeFailed(NodeId peer, WireVersion version) {
  this->peers[peer].version = version;
}

void PeerVersions::MemberChanged(const Member &member) {
  if (member.state == MemberState::kDead) {
    this->peers.erase(member.id);
    return;
  }
  Peer &peer = this->peers[member.id];
  const bool restarted =
      peer.incarnation > 0 && member.incarnation > peer.incarnation;
  if (restarted) peer.version.reset();
  peer.incarnation = std::max(peer.incarnation, member.incarnation);
  this->Advertised(member.id, member.wire);
}

}  // namespace pollenring
