#ifndef POLLENRING_NET_HTTP_SERVER_H_
#define POLLENRING_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"
#include "pollenring/net/connection_table.h"
#include "pollenring/net/http_message.h"

namespace pollenring {

class BufferBudget;
class Loop;

/*! @brief How a caller's disconnect before its response was detected. */
enum class CallerDisconnect {
  kHungUp,         /*!< The caller closed or reset its connection. */
  kConnectionEnded /*!< The server's connection or stream ended. */
};

/*! @brief Names of caller disconnects, for logs. */
inline constexpr EnumTable<CallerDisconnect, 2> kCallerDisconnectNames{{{
    {CallerDisconnect::kHungUp, "hung-up"},
    {CallerDisconnect::kConnectionEnded, "connection-ended"},
}}};

/*! @brief Responds to one request, at most once, from any task of the loop. */
class Responder {
 public:
  /*! @brief Called when the caller disconnects before its response. */
  using Cancelled = std::function<void(CallerDisconnect)>;

  Responder() = default;
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;
  virtual ~Responder() = default;

  /**
   * @brief Sends the complete response; ignored if the caller has disconnected.
   * @param response The response.
   */
  virtual void Send(HttpResponse response) = 0;

  /**
   * @brief Registers a callback for the caller's disconnect.
   * @param cancelled Called at most once, never after `Send`.
   */
  virtual void OnCancel(Cancelled cancelled) = 0;
};

/*! @brief Limits that a server enforces on its clients. */
struct HttpServerLimits {
  std::size_t max_body_bytes{std::size_t{64} * 1024 * 1024};
  std::size_t max_head_bytes{std::size_t{64} * 1024};
  std::size_t max_fields{200}; /*!< Header fields and trailers. */
  /*! @brief Time for a request's head, and between two parts of its body. */
  Duration header_timeout{std::chrono::seconds{30}};
  Duration idle_timeout{std::chrono::seconds{60}};
  /*! @brief Requests of an HTTP/1.1 connection that have been read and whose
   * responses have not been written. */
  std::size_t max_pipelined{16};
  /*! @brief Unwritten response bytes of an HTTP/1.1 connection from which no
   * further request is read. */
  std::size_t max_unwritten_bytes{std::size_t{1024} * 1024};
  ConnectionRole role{ConnectionRole::kCallers}; /*!< Whom it serves. */
  /*! @brief Of bodies and buffers; null for none. Outlives the server, which
   * acts on all its evictions: no other server may share it. */
  BufferBudget *budget{};

  /**
   * @brief Default limits of a server.
   * @param role Whom it serves.
   * @return The limits.
   */
  [[nodiscard]] static HttpServerLimits ForRole(ConnectionRole role) {
    HttpServerLimits limits;
    limits.role = role;
    return limits;
  }
};

/*! @brief An HTTP/1.1 and HTTP/2 server for complete messages. */
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

  /**
   * @brief Binds the address; connections are refused until `Open`.
   * @param loop The loop.
   * @param address Address to bind.
   * @param limits Limits enforced on clients.
   * @param handler Called with each complete request.
   * @throws ListenError when the address can't be bound.
   */
  HttpServer(Loop &loop, const Address &address, const HttpServerLimits &limits,
             Handler handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /*! @brief Requests without a response yet. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept;

  /*! @brief Responses that the kernel has not taken completely, as callers
   * read slowly. @return The count. */
  [[nodiscard]] std::size_t Unwritten() const noexcept;

  /*! @brief Whether connections are accepted. @return True if they are. */
  [[nodiscard]] bool IsOpen() const noexcept;

  /**
   * @brief Starts accepting connections; no effect after `Close`.
   * @throws ListenError when the address can't be listened on.
   */
  void Open();

  /*! @brief Makes clients close their connections after each response. */
  void Drain();

  /*! @brief Stops accepting; lets open connections finish and close. */
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP_SERVER_H_
