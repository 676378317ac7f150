#ifndef POLLENRING_WIRE_PEER_WIRE_H_
#define POLLENRING_WIRE_PEER_WIRE_H_

#include <cstddef>
#include <string_view>

#include "pollenring/wire/peer_versions.h"
#include "pollenring/wire/unreadable_log.h"

namespace pollenring {

/*! @brief Wire versions of peers, and their unreadable messages. */
struct PeerWire {
  /**
   * @brief Starts empty.
   * @param clock Clock.
   * @param metrics Where unreadable messages are counted.
   */
  PeerWire(const Clock &clock, Metrics &metrics) : unreadable{clock, metrics} {}

  /**
   * @brief Counts and logs a message that could not be read.
   * @param from The node.
   * @param kind Kind of message, for logs and metrics.
   * @param bytes Its size.
   */
  void NoteUnreadable(NodeId from, std::string_view kind, std::size_t bytes) {
    this->unreadable.Note(
        {AddressOf(from), kind, bytes, this->versions.Of(from)});
  }

  PeerVersions versions;
  UnreadableLog unreadable;
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_PEER_WIRE_H_
