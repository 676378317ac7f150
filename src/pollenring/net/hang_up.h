#ifndef POLLENRING_NET_HANG_UP_H_
#define POLLENRING_NET_HANG_UP_H_

struct st_h2o_socket_t;

namespace pollenring {

/**
 * @brief Whether the peer has closed its side, also when bytes that came before
 * have not been read.
 * @param sock An open socket.
 * @return True once it has.
 */
[[nodiscard]] bool HungUp(st_h2o_socket_t &sock) noexcept;

/**
 * @brief Whether the peer has sent bytes that have not been read. Closing then
 * resets the connection, and the peer loses what is still on its way.
 * @param sock An open socket.
 * @return Whether there are any.
 */
[[nodiscard]] bool HasUnread(st_h2o_socket_t &sock) noexcept;

}  // namespace pollenring

#endif  // POLLENRING_NET_HANG_UP_H_
