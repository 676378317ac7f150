#ifndef POLLENRING_NODE_BUS_H_
#define POLLENRING_NODE_BUS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pollenring/core/enum_table.h"
#include "pollenring/membership/member.h"
#include "pollenring/net/udp_socket.h"
#include "pollenring/wire/codec.h"
#include "pollenring/wire/peer_wire.h"

namespace pollenring {

/*! @brief Kinds of datagrams between nodes. */
enum class MessageKind : std::uint8_t {
  kGossip = 1,
  kWitnessQuery = 2,
  kWitnessReply = 3,
  kBorrow = 6,
  kLend = 7,
  kOnceBegin = 8,
  kOnceDecision = 9,
  kOnceCopy = 10,
  kOnceCopied = 11,
};

/*! @brief Names of the kinds in logs and metrics. */
inline constexpr EnumTable<MessageKind, 9> kMessageKindNames{{{
    {MessageKind::kGossip, "gossip"},
    {MessageKind::kWitnessQuery, "witness-ask"},
    {MessageKind::kWitnessReply, "witness-answer"},
    {MessageKind::kBorrow, "borrow"},
    {MessageKind::kLend, "lend"},
    {MessageKind::kOnceBegin, "once-begin"},
    {MessageKind::kOnceDecision, "once-decision"},
    {MessageKind::kOnceCopy, "once-copy"},
    {MessageKind::kOnceCopied, "once-copied"},
}}};

/*! @brief Typed datagrams between nodes; they may be lost or repeated. */
class Bus {
 public:
  /**
   * @brief Binds the node's datagram port.
   * @param loop The loop.
   * @param self Own address.
   * @param secret Secret that all nodes share.
   * @param wire Wire versions of peers.
   */
  Bus(Loop &loop, const Address &self, const std::string &secret,
      PeerWire &wire)
      : wire{wire},
        socket{loop, self, secret,
               [this](const Address &from, std::string_view content) {
                 this->Receive(from, content);
               }} {}

  /*! @brief Wire versions of peers. @return The state. */
  [[nodiscard]] PeerWire &Wire() noexcept { return this->wire; }

  /*! @brief Bytes sent so far. @return The count. */
  [[nodiscard]] std::uint64_t BytesSent() const noexcept {
    return this->socket.BytesSent();
  }

  /**
   * @brief Registers the handler of a kind.
   * @param kind The kind.
   * @param handler Called with sender and message.
   */
  template <typename Message>
  void On(MessageKind kind,
          std::function<void(NodeId, const Message &)> handler) {
    this->On<Message>(kind,
                      [handler = std::move(handler)](
                          NodeId from, const Message &message,
                          WireVersion /*version*/) { handler(from, message); });
  }

  /**
   * @brief Registers a handler that replies in the encoding of the message.
   * @param kind The kind.
   * @param handler Called with sender, message and its wire version.
   */
  template <typename Message>
  void On(MessageKind kind,
          std::function<void(NodeId, const Message &, WireVersion)> handler) {
    this->handlers[kind] = [handler = std::move(handler)](
                               NodeId from, std::string_view content) {
      const auto message = Decode<Message>(content);
      if (message) handler(from, message->value, message->version);
      return message.has_value();
    };
  }

  /**
   * @brief Sends a message in an encoding that the receiver reads.
   * @param to Receiver.
   * @param kind Its kind; must have a positional encoding that all builds read.
   * @param message Its content.
   */
  template <typename Message>
  void Send(NodeId to, MessageKind kind, const Message &message) {
    this->Send(to, kind, message,
               this->wire.versions.Of(to).value_or(kCommonWire));
  }

  /**
   * @brief Sends a message in a given encoding.
   * @param to Receiver.
   * @param kind Its kind.
   * @param message Its content.
   * @param version The wire version.
   */
  template <typename Message>
  void Send(NodeId to, MessageKind kind, const Message &message,
            WireVersion version) {
    std::string content(1, static_cast<char>(kind));
    content += Encode(message, version);
    this->socket.Send(AddressOf(to), content);
  }

 private:
  using Handler = std::function<bool(NodeId, std::string_view)>;

  void Receive(const Address &from, std::string_view content) {
    const auto kind =
        static_cast<MessageKind>(content.empty() ? 0 : content.front());
    const auto found = this->handlers.find(kind);
    const bool read = found != this->handlers.end() &&
                      found->second(from.Packed(), content.substr(1));
    if (read) return;
    const std::string_view name = kMessageKindNames.Name(kind);
    this->wire.NoteUnreadable(from.Packed(), name.empty() ? "unknown" : name,
                              content.size());
  }

  PeerWire &wire;
  std::unordered_map<MessageKind, Handler> handlers;
  UdpSocket socket;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_BUS_H_
