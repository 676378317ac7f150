#ifndef POLLENRING_NET_ACCEPT_H_
#define POLLENRING_NET_ACCEPT_H_

#include <functional>

#include "pollenring/net/connection_table.h"

struct st_h2o_socket_t;

namespace pollenring {

class Loop;

/**
 * @brief Accepts the connections that wait at a listener, a bounded number per
 * turn. Those for which there is no room are closed at once.
 * @param listener The listener's socket.
 * @param loop The loop that accounts for connections.
 * @param role Role of the connections.
 * @param take Takes each accepted socket and its entry.
 */
void AcceptWaiting(
    st_h2o_socket_t *listener, Loop &loop, ConnectionRole role,
    const std::function<void(st_h2o_socket_t *, OpenConnection)> &take);

}  // namespace pollenring

#endif  // POLLENRING_NET_ACCEPT_H_
