#include "pollenring/net/server_connections.h"

#include <sys/socket.h>

#include <utility>

#include "pollenring/net/connection_buffers.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/hang_up.h"

namespace pollenring {
namespace {

/*! @brief Time in which a request that has begun to arrive should be complete;
 * after that its connection counts as idle. */
constexpr Duration kMaxArrivalTime = std::chrono::seconds{10};

}  // namespace

class ServerConnections::Connection {
 public:
  Connection(ServerConnections &owner, h2o_socket_t *sock, OpenConnection entry,
             Time now)
      : owner{owner}, sock{sock}, entry{std::move(entry)}, idle_since{now} {}

  ServerConnections &owner;
  h2o_socket_t *sock; /*!< Null once it is closed. */
  OpenConnection entry;
  Time idle_since;
  std::size_t requests{};
  bool closing{};
  bool arriving{};
  std::shared_ptr<ConnectionBuffers> buffers;
  IdleList::iterator place; /*!< Valid without requests, unless closing. */
};

ServerConnections::ServerConnections(const Clock &clock, ConnectionTable &table,
                                     ConnectionRole role)
    : clock{clock}, table{table} {
  this->table.Register(role, *this);
}

ServerConnections::~ServerConnections() { this->table.Unregister(*this); }

void ServerConnections::Add(h2o_socket_t *sock, OpenConnection entry) {
  using Held = std::shared_ptr<Connection>;
  auto connection = std::make_shared<Connection>(*this, sock, std::move(entry),
                                                 this->clock.Now());
  connection->place = this->idle.insert(this->idle.end(), connection.get());
  sock->on_close.data = new Held{std::move(connection)};
  sock->on_close.cb = [](void *data) {
    const std::unique_ptr<Held> held{static_cast<Held *>(data)};
    (*held)->owner.Remove(**held);
  };
}

void ServerConnections::Remove(Connection &connection) {
  connection.sock = nullptr;
  if (connection.buffers) connection.buffers->Closed();
  if (connection.requests > 0 || connection.closing) return;
  this->idle.erase(connection.place);
  connection.closing = true;
}

void ServerConnections::SetBuffers(h2o_socket_t &sock,
                                   std::shared_ptr<ConnectionBuffers> buffers) {
  (*static_cast<std::shared_ptr<Connection> *>(sock.on_close.data))->buffers =
      std::move(buffers);
}

std::shared_ptr<ConnectionBuffers> ServerConnections::BuffersOf(
    const h2o_socket_t &sock) {
  return (*static_cast<std::shared_ptr<Connection> *>(sock.on_close.data))
      ->buffers;
}

std::shared_ptr<ServerConnections::Connection> ServerConnections::BeginRequest(
    h2o_socket_t &sock) {
  auto connection =
      *static_cast<std::shared_ptr<Connection> *>(sock.on_close.data);
  if (connection->closing) return nullptr;
  if (connection->requests++ == 0) this->idle.erase(connection->place);
  return connection;
}

void ServerConnections::EndRequest(
    const std::shared_ptr<Connection> &connection) {
  if (--connection->requests > 0 || connection->sock == nullptr) return;
  connection->idle_since = this->clock.Now();
  connection->place = this->idle.insert(this->idle.end(), connection.get());
}

void ServerConnections::SetArriving(h2o_socket_t &sock, bool arriving) {
  (*static_cast<std::shared_ptr<Connection> *>(sock.on_close.data))->arriving =
      arriving;
}

std::size_t ServerConnections::CloseIdle(std::size_t count) {
  std::size_t closed = 0;
  for (auto it = this->idle.begin();
       it != this->idle.end() && closed < count;) {
    Connection &connection = **it;
    if (!this->MayClose(connection)) {
      ++it;
      continue;
    }
    it = this->idle.erase(it);
    connection.closing = true;
    ++closed;
    // The server finds the end of the stream and closes the socket.
    shutdown(h2o_socket_get_fd(connection.sock), SHUT_RDWR);
  }
  return closed;
}

bool ServerConnections::MayClose(const Connection &connection) const {
  const bool arriving = connection.arriving ||
                        connection.sock->input->size > 0 ||
                        HasUnread(*connection.sock);
  return !arriving ||
         this->clock.Now() - connection.idle_since > kMaxArrivalTime;
}

}  // namespace pollenring
