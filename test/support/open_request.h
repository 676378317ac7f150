#ifndef POLLENRING_TEST_SUPPORT_OPEN_REQUEST_H_
#define POLLENRING_TEST_SUPPORT_OPEN_REQUEST_H_

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <vector>

#include "pollenring/net/address.h"

namespace support {

/*! @brief Requests sent on a connection of their own, read on demand. */
class OpenRequest {
 public:
  /**
   * @brief Connects and sends.
   * @param to Address of the server.
   * @param bytes The requests.
   * @param receive_bytes Size of the socket's receive buffer; 0 for the
   * default.
   */
  OpenRequest(const pollenring::Address &to, const std::string &bytes,
              int receive_bytes = 0)
      : fd{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    if (receive_bytes > 0) {
      setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof(receive_bytes));
    }
    const sockaddr_in native = to.Native();
    const auto *where = reinterpret_cast<const sockaddr *>(&native);
    if (connect(this->fd, where, sizeof(native)) == 0) {
      send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
  }
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;
  ~OpenRequest() { close(this->fd); }

  /**
   * @brief Reads what has arrived.
   * @param max_bytes Maximum to read.
   * @return False once the connection has ended.
   */
  bool Read(std::size_t max_bytes = std::size_t{1} << 30U) {
    std::array<char, 65536> buffer{};
    while (max_bytes > 0) {
      const auto size = recv(this->fd, buffer.data(),
                             std::min(buffer.size(), max_bytes), MSG_DONTWAIT);
      if (size < 0) return errno == EAGAIN;
      if (size == 0) return false;
      this->received.append(buffer.data(), static_cast<std::size_t>(size));
      max_bytes -= static_cast<std::size_t>(size);
    }
    return true;
  }

  /*! @return Statuses of the responses received. */
  [[nodiscard]] std::vector<int> Statuses() const {
    const std::string start = "HTTP/1.1 ";
    std::vector<int> statuses;
    for (auto at = this->received.find(start); at != std::string::npos;
         at = this->received.find(start, at + 1)) {
      statuses.push_back(
          std::stoi(this->received.substr(at + start.size(), 3)));
    }
    return statuses;
  }

  /*! @return Bytes received. */
  [[nodiscard]] std::size_t Size() const { return this->received.size(); }

 private:
  int fd;
  std::string received;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_OPEN_REQUEST_H_
