#include "pollenring/net/hang_up.h"

#include <poll.h>
#include <sys/ioctl.h>

#include "pollenring/net/h2o_api.h"

namespace pollenring {

bool HungUp(h2o_socket_t &sock) noexcept {
  pollfd state{h2o_socket_get_fd(&sock), POLLRDHUP, 0};
  if (poll(&state, 1, 0) <= 0) return false;
  return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HasUnread(h2o_socket_t &sock) noexcept {
  int bytes = 0;
  return ioctl(h2o_socket_get_fd(&sock), FIONREAD, &bytes) == 0 && bytes > 0;
}

}  // namespace pollenring
