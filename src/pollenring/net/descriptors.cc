#include "pollenring/net/descriptors.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace pollenring {
namespace {

/*! @brief Enough for any node; more would only cost memory. */
constexpr rlim_t kMaxDescriptors = 65536;
constexpr int kKeepAliveIdleS = 15;
constexpr int kKeepAliveIntervalS = 5;
constexpr int kKeepAliveProbes = 3;

[[nodiscard]] int OpenReserve() noexcept {
  return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void SetOption(int fd, int level, int option, int value) noexcept {
  setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

std::size_t RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxDescriptors;
  const rlim_t wanted = std::min(limit.rlim_max, kMaxDescriptors);
  if (limit.rlim_cur < wanted) {
    const rlimit raised{wanted, limit.rlim_max};
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0) limit.rlim_cur = wanted;
  }
  return static_cast<std::size_t>(std::min(limit.rlim_cur, kMaxDescriptors));
}

bool IsExhaustion(int error) noexcept {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM;
}

void KeepAlive(int fd) noexcept {
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

ReserveDescriptor::ReserveDescriptor() : fd{OpenReserve()} {}

ReserveDescriptor::~ReserveDescriptor() {
  if (this->fd >= 0) close(this->fd);
}

bool ReserveDescriptor::RefuseOne(int listener) {
  if (this->fd >= 0) close(this->fd);
  const int refused = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (refused >= 0) close(refused);
  this->fd = OpenReserve();
  return refused >= 0;
}

}  // namespace pollenring
