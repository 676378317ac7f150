#include "pollenring/wire/peer_versions.h"

#include <algorithm>

namespace pollenring {

std::optional<WireVersion> PeerVersions::Of(NodeId peer) const {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) return std::nullopt;
  return found->second.version;
}

void PeerVersions::Heard(NodeId peer, WireVersion version) {
  auto &known = this->peers[peer].version;
  known = known ? std::max(*known, version) : version;
}

void PeerVersions::Advertised(NodeId peer, std::uint8_t wire) {
  if (wire == 0) return;
  // A newer build may speak a form that this one does not.
  const auto known = std::min(wire, static_cast<std::uint8_t>(kNewestWire));
  this->Heard(peer, static_cast<WireVersion>(known));
}

void PeerVersions::Misread(NodeId peer, WireVersion version) {
  this->peers[peer].version = version;
}

void PeerVersions::Recorded(const Member &member) {
  if (member.state == MemberState::kDead) {
    this->peers.erase(member.id);
    return;
  }
  Peer &peer = this->peers[member.id];
  const bool another =
      peer.incarnation > 0 && member.incarnation > peer.incarnation;
  if (another) peer.version.reset();
  peer.incarnation = std::max(peer.incarnation, member.incarnation);
  this->Advertised(member.id, member.wire);
}

}  // namespace pollenring
