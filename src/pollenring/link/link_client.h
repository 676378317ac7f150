#ifndef POLLENRING_LINK_LINK_CLIENT_H_
#define POLLENRING_LINK_LINK_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/core/result.h"
#include "pollenring/link/link_error.h"
#include "pollenring/net/address.h"

namespace pollenring {

class Loop;

/*! @brief Sends messages to other nodes over one connection per peer. */
class LinkClient {
 public:
  using Reply = Result<std::string, LinkError>;
  using Done = std::function<void(Reply)>;
  using CallId = std::uint64_t;

  /**
   * @brief Creates a client without connections.
   * @param loop The loop.
   * @param secret Secret that all nodes share.
   * @param max_body_bytes Maximum size of an accepted reply.
   */
  LinkClient(Loop &loop, std::string secret, std::size_t max_body_bytes);
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;
  ~LinkClient();

  /**
   * @brief Sends a message.
   * @param to Peer's link address.
   * @param path Kind of the message.
   * @param body Content.
   * @param timeout Maximum wait for the complete reply.
   * @param done Called exactly once unless the call is cancelled; never from
   * within `Call`.
   * @return Handle for `Cancel`.
   */
  CallId Call(const Address &to, std::string_view path, std::string body,
              Duration timeout, Done done);

  /**
   * @brief Drops a call and resets its stream; `done` is not called.
   * @param id The call's handle; ignored if the call has ended.
   */
  void Cancel(CallId id);

  /**
   * @brief Asks the peer to reply at once to a call that it has not begun.
   *
   * `done` is called as usual: with that reply, or with that of a call that has
   * begun. The request may be lost, so it may be repeated.
   * @param id The call's handle; ignored if the call has ended.
   */
  void Withdraw(CallId id);

 private:
  class Connection;
  struct Pending {
    std::weak_ptr<Connection> connection;
    std::int32_t stream_id{};
    Done done;
    std::uint64_t timer{};
  };

  void CheckLiveness();
  void Finish(CallId id, Reply reply);
  void Abandon(CallId id, bool timed_out);

  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  Loop &loop;
  std::string secret;
  std::size_t max_body_bytes;
  std::map<Address, std::shared_ptr<Connection>> connections;
  std::unordered_map<CallId, Pending> calls;
  CallId last_id{};
};

}  // namespace pollenring

#endif  // POLLENRING_LINK_LINK_CLIENT_H_
