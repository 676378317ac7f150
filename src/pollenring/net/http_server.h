#ifndef POLLENRING_NET_HTTP_SERVER_H_
#define POLLENRING_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"
#include "pollenring/net/http_message.h"

namespace pollenring {

class Loop;

/*! @brief What told that a caller has gone before its answer. */
enum class CallerDisconnect {
  kHungUp,         /*!< The caller has closed or reset its connection. */
  kConnectionEnded /*!< The server's connection or stream has ended. */
};

/*! @brief Names of caller losses, for logs. */
inline constexpr EnumTable<CallerDisconnect, 2> kCallerDisconnectNames{{{
    {CallerDisconnect::kHungUp, "hung-up"},
    {CallerDisconnect::kConnectionEnded, "connection-ended"},
}}};

/*! @brief Answers one request, at most once, from anywhere on the loop. */
class Responder {
 public:
  /*! @brief Called when the caller has gone away before its answer. */
  using Cancelled = std::function<void(CallerDisconnect)>;

  Responder() = default;
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;
  virtual ~Responder() = default;

  /**
   * @brief Sends the whole answer; ignored when the caller has gone.
   * @param response The answer.
   */
  virtual void Send(HttpResponse response) = 0;

  /**
   * @brief Asks to be told when the caller goes away.
   * @param cancelled Called at most once, never after `Send`.
   */
  virtual void OnCancel(Cancelled cancelled) = 0;
};

/*! @brief Limits of a server towards its clients. */
struct HttpServerLimits {
  std::size_t max_body_bytes{std::size_t{17} * 1024 * 1024};
  Duration request_timeout{std::chrono::seconds{10}};
  Duration idle_timeout{std::chrono::seconds{60}};
};

/*! @brief An HTTP/1.1 and HTTP/2 server for whole messages. */
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

  /**
   * @brief Binds the address; connections are refused until `Open`.
   * @param loop The loop.
   * @param address Address to bind.
   * @param limits Limits towards clients.
   * @param handler Called with each whole request.
   * @throws std::runtime_error when the address can't be bound.
   */
  HttpServer(Loop &loop, const Address &address, const HttpServerLimits &limits,
             Handler handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /*! @brief Requests that have no answer yet. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept;

  /*! @brief Whether connections are accepted. @return So. */
  [[nodiscard]] bool IsOpen() const noexcept;

  /**
   * @brief Starts to accept; without effect after `Close`.
   * @throws std::runtime_error when the address can't be listened on.
   */
  void Open();

  /*! @brief Asks clients to close their connections after each answer. */
  void Drain();

  /*! @brief Stops accepting; lets open connections finish and close. */
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/**
 * @brief Binds a TCP socket.
 * @param address Address to bind.
 * @return The descriptor.
 * @throws std::runtime_error when the address can't be bound.
 */
[[nodiscard]] int BindTcp(const Address &address);

/**
 * @brief Binds a TCP socket and listens on it.
 * @param address Address to bind.
 * @return The descriptor.
 * @throws std::runtime_error when the address can't be listened on.
 */
[[nodiscard]] int ListenTcp(const Address &address);

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP_SERVER_H_
