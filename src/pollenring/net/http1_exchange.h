#ifndef POLLENRING_NET_HTTP1_EXCHANGE_H_
#define POLLENRING_NET_HTTP1_EXCHANGE_H_

#include <cstddef>
#include <memory>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_message.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/server_connections.h"

namespace pollenring::internal {

class Http1Connection;

/*! @brief Progress of a request that was read completely. */
enum class ExchangeState {
  kWaiting, /*!< Not handled before the responses ahead of it are written. */
  kRunning, /*!< Passed to the handler. */
  kReady,   /*!< Has a response. */
  kWriting  /*!< Its response is being written. */
};

/*! @brief Names of the states. */
inline constexpr EnumTable<ExchangeState, 4> kExchangeStateNames{{{
    {ExchangeState::kWaiting, "waiting"},
    {ExchangeState::kRunning, "running"},
    {ExchangeState::kReady, "ready"},
    {ExchangeState::kWriting, "writing"},
}}};

/*! @brief One request of an HTTP/1.1 connection and its response. */
class Http1Exchange final : public Responder {
 public:
  explicit Http1Exchange(Http1Connection &connection)
      : connection{&connection} {}

  void Send(HttpResponse given) override;
  void OnCancel(Cancelled callback) override;

  /*! @brief Whether requests behind it may run at the same time. */
  [[nodiscard]] bool IsPipelinable() const noexcept {
    return this->pipelinable;
  }

  /**
   * @brief Writes status line and header fields into `head`.
   * @param closes Whether the connection closes after this response.
   */
  void SerializeHead(bool closes);

  /*! @brief Bytes of the response that stay in memory until it is written. */
  [[nodiscard]] std::size_t ResponseBytes() const noexcept;

  Http1Connection *connection; /*!< Null once the connection has ended. */
  std::shared_ptr<ServerConnections::Connection> entry; /*!< Null: refusal. */
  ExchangeState state{ExchangeState::kWaiting};
  HttpRequest request; /*!< Until it is handled. */
  HttpResponse response;
  std::string head; /*!< Serialized head of the response. */
  Cancelled cancelled;
  Time handled_at{};
  std::size_t request_bytes{};
  std::size_t response_bytes{}; /*!< As accounted for. */
  bool pipelinable{};
  bool head_only{};
  bool version10{};
};

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_HTTP1_EXCHANGE_H_
