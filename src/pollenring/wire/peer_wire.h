#ifndef POLLENRING_WIRE_PEER_WIRE_H_
#define POLLENRING_WIRE_PEER_WIRE_H_

#include <cstddef>
#include <string_view>

#include "pollenring/wire/peer_versions.h"
#include "pollenring/wire/unreadable_log.h"

namespace pollenring {

/*! @brief What is known of the messages of peers. */
struct PeerWire {
  /**
   * @brief Starts without knowledge.
   * @param clock Clock.
   * @param metrics Figures.
   */
  PeerWire(const Clock &clock, Metrics &metrics) : unreadable{clock, metrics} {}

  /**
   * @brief A node's message could not be read.
   * @param from The node.
   * @param kind What the message is for.
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
