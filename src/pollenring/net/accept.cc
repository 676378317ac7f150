#include "pollenring/net/accept.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

constexpr int kMaxAcceptsPerTurn = 16;

/*! @brief Time since a connection or its first bytes reached the listener. */
[[nodiscard]] Duration TimeWaited(h2o_socket_t *sock) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known = getsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_INFO,
                                &info, &size) == 0;
  if (!known) return {};
  return std::chrono::milliseconds{info.tcpi_last_data_recv};
}

}  // namespace

void AcceptWaiting(
    h2o_socket_t *listener, Loop &loop, ConnectionRole role,
    const std::function<void(h2o_socket_t *, OpenConnection)> &take) {
  ConnectionTable &connections = loop.Connections();
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
    if (sock == nullptr) {
      const int error = errno;
      if (error == EAGAIN || error == EWOULDBLOCK) return;
      connections.RecordFailure(role, error);
      // Otherwise the error is that of one connection.
      if (!IsExhaustion(error)) continue;
      if (connections.Evict(role, kMaxAcceptsPerTurn) > 0) return;
      if (!loop.Reserve().RefuseOne(h2o_socket_get_fd(listener))) return;
      connections.RecordRefusal(role);
      continue;
    }
    if (!connections.MakeRoom(role)) {
      h2o_socket_close(sock);
      continue;
    }
    take(sock, {connections, role, TimeWaited(sock)});
  }
}

}  // namespace pollenring
