#ifndef POLLENRING_TEST_SUPPORT_LATE_READER_H_
#define POLLENRING_TEST_SUPPORT_LATE_READER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

#include "pollenring/net/address.h"

namespace support {

/*! @brief Answers one request at once and reads on after a pause. */
class LateReader {
 public:
  explicit LateReader(std::chrono::milliseconds pause)
      : listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(native);
    bind(this->listener, reinterpret_cast<sockaddr *>(&native), size);
    listen(this->listener, 1);
    getsockname(this->listener, reinterpret_cast<sockaddr *>(&native), &size);
    this->address = pollenring::Address::From(native);
    this->thread = std::thread{[this, pause] { this->Serve(pause); }};
  }
  LateReader(const LateReader &) = delete;
  LateReader &operator=(const LateReader &) = delete;
  ~LateReader() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  [[nodiscard]] const pollenring::Address &ListenAddress() const noexcept {
    return this->address;
  }

 private:
  void Serve(std::chrono::milliseconds pause) const {
    const int fd = accept(this->listener, nullptr, nullptr);
    if (fd < 0) return;
    const timeval receive_timeout{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof(receive_timeout));
    std::array<char, 65536> buffer{};
    if (recv(fd, buffer.data(), buffer.size(), 0) > 0) {
      const std::string response =
          "HTTP/1.1 200 OK\r\nmark: own\r\ncontent-length: 0\r\n\r\n";
      send(fd, response.data(), response.size(), MSG_NOSIGNAL);
      // Nothing is read while this lasts.
      poll(nullptr, 0, static_cast<int>(pause.count()));
      while (recv(fd, buffer.data(), buffer.size(), 0) > 0) {
      }
    }
    close(fd);
  }

  int listener;
  pollenring::Address address;
  std::thread thread;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_LATE_READER_H_
