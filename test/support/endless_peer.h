#ifndef POLLENRING_TEST_SUPPORT_ENDLESS_PEER_H_
#define POLLENRING_TEST_SUPPORT_ENDLESS_PEER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "pollenring/net/address.h"

namespace support {

/*! @brief A server that sends bytes endlessly on its only connection. */
class EndlessPeer {
 public:
  /*! @param head Sent once. @param piece Sent repeatedly afterwards. */
  EndlessPeer(std::string head, std::string piece)
      : head{std::move(head)},
        piece{std::move(piece)},
        listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(native);
    bind(this->listener, reinterpret_cast<sockaddr *>(&native), size);
    listen(this->listener, 1);
    getsockname(this->listener, reinterpret_cast<sockaddr *>(&native), &size);
    this->address = pollenring::Address::From(native);
    this->thread = std::thread{[this] { this->Serve(); }};
  }
  EndlessPeer(const EndlessPeer &) = delete;
  EndlessPeer &operator=(const EndlessPeer &) = delete;
  ~EndlessPeer() {
    this->stop = true;
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  [[nodiscard]] const pollenring::Address &ListenAddress() const noexcept {
    return this->address;
  }

  /*! @brief Waits up to 2 s for the client to close the connection.
   * @return True if it was closed. */
  [[nodiscard]] bool Closed() {
    return this->closed.get_future().wait_for(std::chrono::seconds{2}) ==
           std::future_status::ready;
  }

 private:
  void Serve() {
    const int fd = accept(this->listener, nullptr, nullptr);
    if (fd < 0) return;
    const timeval send_timeout{0, 100'000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
               sizeof(send_timeout));
    send(fd, this->head.data(), this->head.size(), MSG_NOSIGNAL);
    while (!this->stop) {
      const auto sent =
          send(fd, this->piece.data(), this->piece.size(), MSG_NOSIGNAL);
      const bool would_block =
          sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      if (sent >= 0 || would_block) continue;
      this->closed.set_value();
      break;
    }
    close(fd);
  }

  std::string head;
  std::string piece;
  int listener;
  pollenring::Address address;
  std::atomic<bool> stop{false};
  std::promise<void> closed;
  std::thread thread;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_ENDLESS_PEER_H_
