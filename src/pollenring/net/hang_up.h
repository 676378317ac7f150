#ifndef POLLENRING_NET_HANG_UP_H_
#define POLLENRING_NET_HANG_UP_H_

struct st_h2o_socket_t;

namespace pollenring {

/**
 * @brief Checks whether the peer has closed its side, even if earlier bytes are
 * still unread.
 * @param sock An open socket.
 * @return True if the peer has closed its side or the connection failed.
 */
[[nodiscard]] bool HungUp(st_h2o_socket_t &sock) noexcept;

/**
 * @brief Checks for received bytes that are unread. Closing a socket with
 * unread bytes resets the connection, and the peer loses data still in flight.
 * @param sock An open socket.
 * @return True if there are unread bytes.
 */
[[nodiscard]] bool HasUnread(st_h2o_socket_t &sock) noexcept;

}  // namespace pollenring

#endif  // POLLENRING_NET_HANG_UP_H_
