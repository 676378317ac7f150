#ifndef POLLENRING_TEST_SUPPORT_HTTP1_WORLD_H_
#define POLLENRING_TEST_SUPPORT_HTTP1_WORLD_H_

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"

namespace support {

/*! @brief An address of its own for each server of the process. */
[[nodiscard]] inline pollenring::Address NextAddress() {
  static int port = 7100;
  return *pollenring::Address::Parse("127.42.2.1:" + std::to_string(port++));
}

/*! @brief A server whose handler keeps the requests, and raw callers. */
class Http1World {
 public:
  explicit Http1World(const pollenring::HttpServerLimits &limits = {},
                      bool immediate = false)
      : server{this->loop, this->address, limits,
               [this, immediate](pollenring::HttpRequest request,
                                 std::shared_ptr<pollenring::Responder> given) {
                 given->OnCancel([this](pollenring::CallerDisconnect) {
                   ++this->cancelled;
                 });
                 if (immediate) given->Send({200, {}, request.path});
                 this->requests.push_back(std::move(request));
                 this->responders.push_back(std::move(given));
               }} {
    this->server.Open();
    this->fd = this->Connect();
  }
  Http1World(const Http1World &) = delete;
  Http1World &operator=(const Http1World &) = delete;
  ~Http1World() {
    this->server.Close();
    for (const int open : this->open) close(open);
  }

  int Connect() {
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = this->address.Native();
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&native),
                    sizeof(native)) == 0);
    this->open.push_back(caller);
    return caller;
  }

  void Give(const std::string &bytes) const {
    REQUIRE(send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }

  void Run(pollenring::Duration length = std::chrono::milliseconds{10}) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

  /*! @brief Runs, then reads what has arrived. */
  std::string Take(pollenring::Duration length = std::chrono::milliseconds{
                       10}) {
    this->Run(length);
    std::string got;
    std::vector<char> buffer(std::size_t{1} << 16U);
    while (true) {
      const auto size =
          recv(this->fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
      this->ended = size == 0;
      if (size <= 0) return got;
      got.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }

  void Answer(std::size_t index, const std::string &body) {
    this->responders.at(index)->Send({200, {}, body});
  }

  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::Address address{NextAddress()};
  std::vector<pollenring::HttpRequest> requests;
  std::vector<std::shared_ptr<pollenring::Responder>> responders;
  int cancelled{};
  pollenring::HttpServer server;
  std::vector<int> open;
  int fd{};
  bool ended{};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_HTTP1_WORLD_H_
