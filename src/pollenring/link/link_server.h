#ifndef POLLENRING_LINK_LINK_SERVER_H_
#define POLLENRING_LINK_LINK_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "pollenring/net/address.h"

namespace pollenring {

class Loop;

/*! @brief Replies to one message of another node, at most once. */
class LinkResponder {
 public:
  using Cancelled = std::function<void()>;
  using Withdrawn = std::function<void()>;

  LinkResponder() = default;
  LinkResponder(const LinkResponder &) = delete;
  LinkResponder &operator=(const LinkResponder &) = delete;
  virtual ~LinkResponder() = default;

  /**
   * @brief Sends the reply; ignored if the peer has disconnected.
   * @param body Content.
   */
  virtual void Send(std::string body) = 0;

  /**
   * @brief Registers a callback for the peer's cancellation or disconnect.
   * @param cancelled Called at most once, never after `Send`.
   */
  virtual void OnCancel(Cancelled cancelled) = 0;

  /**
   * @brief Registers a callback for the peer's request to reply at once if the
   * message has not been acted on.
   * @param withdrawn Called any number of times, never after `Send`.
   */
  virtual void OnWithdraw(Withdrawn withdrawn) = 0;

  /*! @brief Address of the peer. @return The peer's host and the port of its
   * connection. */
  [[nodiscard]] virtual Address Peer() const = 0;
};

/*! @brief Receives messages of other nodes that know the shared secret. */
class LinkServer {
 public:
  using Handler = std::function<void(const std::string &path, std::string body,
                                     std::shared_ptr<LinkResponder>)>;

  /**
   * @brief Binds the address and starts listening.
   * @param loop The loop.
   * @param address Address to bind.
   * @param secret Secret that all nodes share.
   * @param max_body_bytes Maximum size of an accepted message.
   * @param handler Called with each complete message.
   * @throws ListenError when the address can't be bound.
   */
  LinkServer(Loop &loop, const Address &address, std::string secret,
             std::size_t max_body_bytes, Handler handler);
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;
  ~LinkServer();

  /*! @brief Replies that the kernel has not taken completely, as peers read
   * slowly. @return The count. */
  [[nodiscard]] std::size_t Unwritten() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace pollenring

#endif  // POLLENRING_LINK_LINK_SERVER_H_
