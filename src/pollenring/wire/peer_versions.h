#ifndef POLLENRING_WIRE_PEER_VERSIONS_H_
#define POLLENRING_WIRE_PEER_VERSIONS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "pollenring/membership/member.h"
#include "pollenring/wire/version.h"

namespace pollenring {

/**
 * @brief The wire version that each peer reads.
 *
 * Learned from the messages that it writes and from its record. A process
 * writes older versions to peers that need them, so the newest one counts until
 * another process has its address.
 */
class PeerVersions {
 public:
  /**
   * @brief Returns the wire version that a peer reads.
   * @param peer The peer.
   * @return The newest version that it is known to read, if any.
   */
  [[nodiscard]] std::optional<WireVersion> Of(NodeId peer) const;

  /**
   * @brief Whether a peer handles and reports withdrawn zones.
   * @param peer The peer.
   * @return True unless it is known to run V1.
   */
  [[nodiscard]] bool ReportsZoneWithdrawals(NodeId peer) const {
    return this->Of(peer) != WireVersion::kV1;
  }

  /**
   * @brief Records that a message of a peer was read.
   * @param peer The peer.
   * @param version Wire version of the message.
   */
  void MessageReceived(NodeId peer, WireVersion version);

  /**
   * @brief Records the newest wire version that a peer advertises.
   * @param peer The peer.
   * @param wire The version, or 0 when not advertised.
   */
  void Advertised(NodeId peer, std::uint8_t wire);

  /**
   * @brief Records that a peer could not read a message.
   * @param peer The peer.
   * @param version Wire version of its reply, the newest that it supports.
   */
  void DecodeFailed(NodeId peer, WireVersion version);

  /**
   * @brief Records a changed member record.
   * @param member The new record.
   */
  void MemberChanged(const Member &member);

 private:
  struct Peer {
    std::uint64_t incarnation{}; /*!< 0 before any record. */
    std::optional<WireVersion> version;
  };

  std::unordered_map<NodeId, Peer> peers;
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_PEER_VERSIONS_H_
