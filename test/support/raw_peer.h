#ifndef POLLENRING_TEST_SUPPORT_RAW_PEER_H_
#define POLLENRING_TEST_SUPPORT_RAW_PEER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "pollenring/net/address.h"

namespace support {

/*! @brief How a peer ends a connection. */
enum class PeerEnd {
  kKeep,
  kClose,
  kReset,
  kHalfClose,     /*!< Ends its side, then reads to the end of the request. */
  kHalfCloseReset /*!< Ends its side, then resets without reading. */
};

/*! @brief What a peer does with one connection. */
struct PeerScript {
  /*! @brief Sent in order, each after the head of one more request. */
  std::vector<std::string> responses;
  PeerEnd end{PeerEnd::kKeep};
  /*! @brief Pause before the end, and before a reset behind a half-close. */
  std::chrono::milliseconds pause{0};
};

/*! @brief A raw TCP server that runs one script per connection, in order. */
class RawPeer {
 public:
  explicit RawPeer(std::vector<PeerScript> scripts)
      : scripts{std::move(scripts)},
        listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(native);
    bind(this->listener, reinterpret_cast<sockaddr *>(&native), size);
    listen(this->listener, 8);
    getsockname(this->listener, reinterpret_cast<sockaddr *>(&native), &size);
    this->address = pollenring::Address::From(native);
    this->thread = std::thread{[this] { this->Serve(); }};
  }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;
  ~RawPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
    for (const int fd : this->kept) close(fd);
  }

  [[nodiscard]] const pollenring::Address &ListenAddress() const noexcept {
    return this->address;
  }

  /*! @return Number of connections accepted so far. */
  [[nodiscard]] int Accepted() const noexcept { return this->accepted; }

 private:
  void Serve() {
    for (const auto &script : this->scripts) {
      const int fd = accept(this->listener, nullptr, nullptr);
      if (fd < 0) return;
      ++this->accepted;
      std::string received;
      for (const auto &response : script.responses) {
        if (!ReadHead(fd, received)) break;
        send(fd, response.data(), response.size(), MSG_NOSIGNAL);
      }
      std::this_thread::sleep_for(script.pause);
      this->End(fd, script);
    }
  }

  static bool ReadHead(int fd, std::string &received) {
    while (received.find("\r\n\r\n") == std::string::npos) {
      char buffer[4096];
      const auto size = recv(fd, buffer, sizeof(buffer), 0);
      if (size <= 0) return false;
      received.append(buffer, static_cast<std::size_t>(size));
    }
    received.erase(0, received.find("\r\n\r\n") + 4);
    return true;
  }

  void End(int fd, const PeerScript &script) {
    if (script.end == PeerEnd::kKeep) {
      this->kept.push_back(fd);
      return;
    }
    const bool half_close = script.end == PeerEnd::kHalfClose ||
                            script.end == PeerEnd::kHalfCloseReset;
    if (half_close) shutdown(fd, SHUT_WR);
    if (script.end == PeerEnd::kHalfClose) {
      char buffer[65536];
      while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
      }
    }
    if (script.end == PeerEnd::kHalfCloseReset) {
      std::this_thread::sleep_for(script.pause);
    }
    const bool resets =
        script.end == PeerEnd::kReset || script.end == PeerEnd::kHalfCloseReset;
    if (resets) {
      const linger reset_on_close{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
    }
    close(fd);
  }

  std::vector<PeerScript> scripts;
  int listener;
  pollenring::Address address;
  std::atomic<int> accepted{0};
  std::vector<int> kept;
  std::thread thread;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_RAW_PEER_H_
