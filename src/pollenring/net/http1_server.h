#ifndef POLLENRING_NET_HTTP1_SERVER_H_
#define POLLENRING_NET_HTTP1_SERVER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http1_connection.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/server_connections.h"

struct st_h2o_socket_t;

namespace pollenring {
class Loop;
}

namespace pollenring::internal {

/*! @brief The HTTP/1.x connections of a server and what they share. */
class Http1Server {
 public:
  static constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

  /*! @brief Takes a socket whose caller speaks HTTP/2; the bytes already read
   * are in its input buffer. */
  using TakeHttp2 = std::function<void(st_h2o_socket_t *)>;

  /**
   * @brief Creates a server without connections.
   * @param loop The loop.
   * @param limits The limits.
   * @param connections The accepted sockets.
   * @param handler Called with each complete request.
   * @param take_http2 Takes the connections of HTTP/2.
   * @param enforce Carries out what the buffer budget decides.
   */
  Http1Server(Loop &loop, const HttpServerLimits &limits,
              ServerConnections &connections,
              const HttpServer::Handler &handler, TakeHttp2 take_http2,
              std::function<void()> enforce);
  Http1Server(const Http1Server &) = delete;
  Http1Server &operator=(const Http1Server &) = delete;
  ~Http1Server();

  /**
   * @brief Serves an accepted socket.
   * @param sock The socket, followed by `ServerConnections`.
   */
  void Accept(st_h2o_socket_t *sock);

  /*! @brief Closes connections behind their responses from now on. */
  void Drain() noexcept { this->draining = true; }

  /**
   * @brief Carries out an eviction; ignored if the connection isn't one of
   * HTTP/1.x.
   * @param eviction The eviction.
   */
  void Evict(const Eviction &eviction);

  /*! @brief Complete requests without a response. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->in_progress;
  }

  /*! @brief Responses that have not been written completely. @return The
   * count. */
  [[nodiscard]] std::size_t Unwritten() const noexcept {
    return this->unwritten;
  }

 private:
  friend class Http1Connection;

  /*! @brief Frees a connection at the end of the turn. */
  void Remove(Http1Connection &connection);
  /*! @brief Lets the budget decide at the end of the turn. */
  void ScheduleEnforce();
  void Sweep();

  Loop &loop;
  HttpServerLimits limits;
  ServerConnections &sockets;
  const HttpServer::Handler &handler;
  TakeHttp2 take_http2;
  std::function<void()> enforce;
  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  Http1Connection::List connections;
  Http1Connection::List removed; /*!< Closed in this turn. */
  std::unordered_map<std::uint64_t, Http1Connection *> by_budget_id;
  std::array<char, kReadBytes> buffer{}; /*!< For one read at a time. */
  std::size_t in_progress{};
  std::size_t unwritten{};
  bool draining{};
  bool enforce_scheduled{};
};

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_HTTP1_SERVER_H_
