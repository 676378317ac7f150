#ifndef POLLENRING_NET_SERVER_CONNECTIONS_H_
#define POLLENRING_NET_SERVER_CONNECTIONS_H_

#include <list>
#include <memory>

#include "pollenring/core/clock.h"
#include "pollenring/net/connection_table.h"

struct st_h2o_socket_t;

namespace pollenring {

class ConnectionBuffers;

/*! @brief The connections that a server has accepted, with those that have no
 * request in progress in the order in which they became idle. */
class ServerConnections final : public IdleConnections {
 public:
  class Connection;

  /**
   * @brief Creates the set and registers it.
   * @param clock Clock of idle times.
   * @param table Table of the process.
   * @param role Role of the connections.
   */
  ServerConnections(const Clock &clock, ConnectionTable &table,
                    ConnectionRole role);
  ~ServerConnections() override;

  /**
   * @brief Follows a connection until its socket is closed.
   * @param sock The socket.
   * @param entry Its entry in the table.
   */
  void Add(st_h2o_socket_t *sock, OpenConnection entry);

  /*! @brief Attaches the charges of a connection. @param sock Its socket.
   * @param buffers The charges; null without a budget. */
  static void SetBuffers(st_h2o_socket_t &sock,
                         std::shared_ptr<ConnectionBuffers> buffers);

  /*! @brief Charges of a connection. @param sock Its socket. @return Them, or
   * null without a budget. */
  [[nodiscard]] static std::shared_ptr<ConnectionBuffers> BuffersOf(
      const st_h2o_socket_t &sock);

  /**
   * @brief Records that a request is in progress.
   * @param sock Socket of the request.
   * @return The connection, for `EndRequest`; null if it is being closed, and
   * the request must not be handled.
   */
  [[nodiscard]] std::shared_ptr<Connection> BeginRequest(st_h2o_socket_t &sock);

  /**
   * @brief Records that a request's response has been sent, or never will be.
   * @param connection Connection of the request.
   */
  void EndRequest(const std::shared_ptr<Connection> &connection);

  /**
   * @brief Records whether a part of a request has been read; such a connection
   * is not idle yet.
   * @param sock The connection's socket.
   * @param arriving Whether a part of a request is waiting for the rest.
   */
  static void SetArriving(st_h2o_socket_t &sock, bool arriving);

  std::size_t CloseIdle(std::size_t count) override;

 private:
  using IdleList = std::list<Connection *>;

  void Remove(Connection &connection);
  [[nodiscard]] bool MayClose(const Connection &connection) const;

  const Clock &clock;
  ConnectionTable &table;
  IdleList idle; /*!< The longest idle first. */
};

}  // namespace pollenring

#endif  // POLLENRING_NET_SERVER_CONNECTIONS_H_
