#ifndef POLLENRING_WIRE_PEER_VERSIONS_H_
#define POLLENRING_WIRE_PEER_VERSIONS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "pollenring/membership/member.h"
#include "pollenring/wire/version.h"

namespace pollenring {

/**
 * @brief Which form of messages each peer reads.
 *
 * Learned from the forms in which it writes and from its record. A process
 * writes older forms to those that need them, so the newest one counts until
 * another process has its address.
 */
class PeerVersions {
 public:
  /**
   * @brief Tells what a peer reads.
   * @param peer The peer.
   * @return The newest form that it is known to read, if any.
   */
  [[nodiscard]] std::optional<WireVersion> Of(NodeId peer) const;

  /**
   * @brief Tells whether a peer hears and tells which zones are withdrawn.
   * @param peer The peer.
   * @return So, unless it is known to run V1.
   */
  [[nodiscard]] bool ReportsZoneWithdrawals(NodeId peer) const {
    return this->Of(peer) != WireVersion::kV1;
  }

  /**
   * @brief A message of a peer has been read.
   * @param peer The peer.
   * @param version Its form.
   */
  void Heard(NodeId peer, WireVersion version);

  /**
   * @brief A peer has told the newest form that it speaks.
   * @param peer The peer.
   * @param wire Its number, or 0 when nothing was said.
   */
  void Advertised(NodeId peer, std::uint8_t wire);

  /**
   * @brief A peer could not read what was sent to it.
   * @param peer The peer.
   * @param version Form of its answer, which is the newest that it speaks.
   */
  void Misread(NodeId peer, WireVersion version);

  /**
   * @brief A record of a peer has changed.
   * @param member The record.
   */
  void Recorded(const Member &member);

 private:
  struct Peer {
    std::uint64_t incarnation{}; /*!< 0 before any record. */
    std::optional<WireVersion> version;
  };

  std::unordered_map<NodeId, Peer> peers;
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_PEER_VERSIONS_H_
