#ifndef POLLENRING_TEST_SUPPORT_RAW_PEER_H_
#define POLLENRING_TEST_SUPPORT_RAW_PEER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>
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

/*! @brief A raw TCP server with one script per connection, in the order in
 * which they are accepted. */
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
    this->stopping = true;
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    for (auto &connection : this->connections) connection.join();
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
      this->connections.emplace_back(
          [this, fd, &script] { this->Run(fd, script); });
    }
  }

  void Run(int fd, const PeerScript &script) {
    const timeval wait{0, 20'000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    std::string received;
    for (const auto &response : script.responses) {
      if (!this->ReadHead(fd, received)) break;
      send(fd, response.data(), response.size(), MSG_NOSIGNAL);
    }
    std::this_thread::sleep_for(script.pause);
    this->End(fd, script);
  }

  bool ReadHead(int fd, std::string &received) const {
    while (received.find("\r\n\r\n") == std::string::npos) {
      char buffer[4096];
      const auto size = recv(fd, buffer, sizeof(buffer), 0);
      const bool waits = size < 0 && errno == EAGAIN && !this->stopping;
      if (waits) continue;
      if (size <= 0) return false;
      received.append(buffer, static_cast<std::size_t>(size));
    }
    received.erase(0, received.find("\r\n\r\n") + 4);
    return true;
  }

  void End(int fd, const PeerScript &script) {
    if (script.end == PeerEnd::kKeep) {
      const std::lock_guard<std::mutex> lock{this->kept_mutex};
      this->kept.push_back(fd);
      return;
    }
    const bool half_close = script.end == PeerEnd::kHalfClose ||
                            script.end == PeerEnd::kHalfCloseReset;
    if (half_close) shutdown(fd, SHUT_WR);
    if (script.end == PeerEnd::kHalfClose) {
      char buffer[65536];
      const auto reads = [&] {
        const auto size = recv(fd, buffer, sizeof(buffer), 0);
        return size > 0 || (size < 0 && errno == EAGAIN && !this->stopping);
      };
      while (reads()) {
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
  std::atomic<bool> stopping{};
  std::mutex kept_mutex;
  std::vector<int> kept;
  std::vector<std::thread> connections;
  std::thread thread;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_RAW_PEER_H_
