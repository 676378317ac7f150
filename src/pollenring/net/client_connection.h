#ifndef POLLENRING_NET_CLIENT_CONNECTION_H_
#define POLLENRING_NET_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/net/address.h"
#include "pollenring/net/connection_table.h"
#include "pollenring/net/correlation_history.h"
#include "pollenring/net/http_message.h"
#include "pollenring/net/response_parser.h"

struct st_h2o_socket_t;

namespace pollenring {
class Loop;
}  // namespace pollenring

namespace pollenring::internal {

/*! @brief A connection of an HTTP client, which carries one call at a time. */
struct ClientConnection {
  explicit ClientConnection(ConnectionTable &table)
      : entry{table, ConnectionRole::kOutgoing} {}

  /**
   * @brief Prepares for the next call, whose request is written now.
   * @param id The call.
   * @param correlation Correlation value of its request; may be empty.
   * @param now Time.
   * @param until When the call times out.
   */
  void Begin(std::uint64_t id, std::string_view correlation, Time now,
             Time until);

  OpenConnection entry;
  std::uint64_t number{}; /*!< Tells connections apart in logs. */
  void *owner{};
  Address to;
  st_h2o_socket_t *sock{};
  std::optional<ResponseParser> parser;
  std::uint64_t call{};       /*!< 0 while idle. */
  Time sent_at{};             /*!< When the current call was sent. */
  CorrelationHistory carried; /*!< Requests, the current one included. */
  Time idle_until{};
  std::uint64_t connect_timer{};
  bool writing{};
  bool write_failed{};
  /*! @brief The peer ended its side while the request was being written. */
  bool ended{};
  /*! @brief Carried a response of another request, or of an unnamed one. */
  bool not_reusable{};
  int foreign_responses{};      /*!< To other requests, in the current call. */
  std::size_t buffered_bytes{}; /*!< Of the current response. */
};

/*! @brief The idle connections of a client, by peer; owns none of them. */
class IdlePool {
 public:
  /**
   * @brief Adds a connection whose response is complete.
   * @param connection The connection.
   * @param now Time.
   * @param stated_timeout Idle time-out that the peer states; 0 for none.
   * @return False if enough are kept for this peer; close the connection.
   */
  [[nodiscard]] bool Add(ClientConnection &connection, Time now,
                         Duration stated_timeout);

  /**
   * @brief Removes the connection that was used last, of those that have not
   * carried a request before.
   * @param to Its peer.
   * @param correlation Correlation value of the request; empty for none, which
   * suits any connection.
   * @param now Time.
   * @return The connection, which may have expired, or null.
   */
  [[nodiscard]] ClientConnection *Take(const Address &to,
                                       std::string_view correlation, Time now);

  /**
   * @brief Removes a connection.
   * @param connection The connection.
   */
  void Remove(const ClientConnection &connection);

  /**
   * @brief Removes the connections whose peers may close them.
   * @param now Time.
   * @return The connections, to be closed.
   */
  [[nodiscard]] std::vector<ClientConnection *> TakeExpired(Time now);

  /*! @brief The connection that its peer closes first. @return It, or null. */
  [[nodiscard]] ClientConnection *FirstToExpire() const;

 private:
  std::map<Address, std::vector<ClientConnection *>> idle;
};

/**
 * @brief Starts a connection; evicts an idle one if the process has no
 * descriptor left.
 * @param loop The loop.
 * @param to The peer.
 * @param connected Called once the connection is established or has failed.
 * @return The socket, or null.
 */
[[nodiscard]] st_h2o_socket_t *OpenSocket(Loop &loop, const Address &to,
                                          void (*connected)(st_h2o_socket_t *,
                                                            const char *));

/**
 * @brief Logs which response was taken for a call, on debug level and within
 * the line budget of requests.
 * @param connection Connection that it was read from.
 * @param id Identifier of the request; may be empty.
 * @param now Time.
 */
void LogResponse(ClientConnection &connection, const std::string &id, Time now);

/**
 * @brief Logs an unusable response, within the line budget of requests.
 * @param connection Connection that it was read from.
 * @param id Identifier of the request; may be empty.
 * @param fault What made it unusable.
 */
void LogBrokenResponse(const ClientConnection &connection,
                       const std::string &id, ResponseFault fault);

/**
 * @brief Serializes a request, with framing headers.
 * @param to The peer, named as host if the request names none.
 * @param request The request.
 * @return Its bytes.
 */
[[nodiscard]] std::string SerializeRequest(const Address &to,
                                           const HttpRequest &request);

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_CLIENT_CONNECTION_H_
