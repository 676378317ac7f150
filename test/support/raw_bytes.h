#ifndef POLLENRING_TEST_SUPPORT_RAW_BYTES_H_
#define POLLENRING_TEST_SUPPORT_RAW_BYTES_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "pollenring/net/address.h"

namespace support {

/*! @brief Sends bytes to an address and closes the socket.
 * @param type SOCK_STREAM or SOCK_DGRAM. */
inline void SendBytes(const pollenring::Address &to, int type,
                      const std::string &bytes) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in native = to.Native();
  const auto *where = reinterpret_cast<const sockaddr *>(&native);
  if (connect(fd, where, sizeof(native)) == 0) {
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  close(fd);
}

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_RAW_BYTES_H_
