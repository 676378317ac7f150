#include "pollenring/net/listen.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

#include "pollenring/net/descriptors.h"

namespace pollenring {
namespace {

constexpr int kListenBacklog = 1024;

/**
 * @brief Repeats an operation on an address until it succeeds.
 * @param operation Returns 0 or an `errno`.
 */
template <typename Operation>
void Repeat(Transport transport, const Address &address, ListenRetry *retry,
            const Operation &operation) {
  while (true) {
    const int code = operation();
    if (code == 0) return;
    const ListenError error{transport, address, code};
    if (retry == nullptr || !retry->Wait(error)) throw error;
  }
}

/*! @brief Opens a socket and binds it. @return The descriptor. */
[[nodiscard]] int Bind(Transport transport, const Address &address,
                       ListenRetry *retry) {
  const int type = transport == Transport::kTcp ? SOCK_STREAM : SOCK_DGRAM;
  const sockaddr_in native = address.Native();
  int fd = -1;
  Repeat(transport, address, retry, [&] {
    fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return errno;
    if (transport == Transport::kTcp) {
      const int on = 1;
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      KeepAlive(fd);
    }
    const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&native),
                            sizeof(native)) == 0;
    if (bound) return 0;
    const int code = errno;
    close(fd);
    return code;
  });
  return fd;
}

}  // namespace

ListenError::ListenError(Transport transport, const Address &address, int code)
    : std::runtime_error{"can't listen on " +
                         std::string{kTransportNames.Name(transport)} + " " +
                         address.Format() + ": " +
                         std::generic_category().message(code)},
      transport{transport},
      address{address},
      code{code} {}

int BindTcp(const Address &address, ListenRetry *retry) {
  return Bind(Transport::kTcp, address, retry);
}

int BindUdp(const Address &address, ListenRetry *retry) {
  return Bind(Transport::kUdp, address, retry);
}

void StartListening(int fd, const Address &address, ListenRetry *retry) {
  Repeat(Transport::kTcp, address, retry,
         [fd] { return listen(fd, kListenBacklog) == 0 ? 0 : errno; });
}

int ListenTcp(const Address &address, ListenRetry *retry) {
  const int fd = BindTcp(address, retry);
  try {
    StartListening(fd, address, retry);
  } catch (const ListenError &) {
    close(fd);
    throw;
  }
  return fd;
}

}  // namespace pollenring
