#include "pollenring/net/client_connection.h"

#include <algorithm>
#include <cerrno>
#include <iterator>

#include "pollenring/log/log.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"

namespace pollenring::internal {
namespace {

/*! @brief Idle connections kept per peer; exceeds any target's slots. */
constexpr std::size_t kPoolCapacity = 1024;
/*! @brief Time an idle connection is kept if the peer states none; most servers
 * close after 5 s. */
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds{4};
/*! @brief Fraction of the peer's idle time-out during which a connection is
 * reused; the rest allows for network latency and late timers. */
constexpr double kIdleTimeoutFraction = 0.8;

/*! @brief How late after its time-out a request may be sent again: a node that
 * forwards it is given up after 1.1 s of silence. */
constexpr Duration kMaxResendDelay = std::chrono::seconds{2};

}  // namespace

void ClientConnection::Begin(std::uint64_t id, std::string_view correlation,
                             Time now, Time until) {
  this->call = id;
  this->sent_at = now;
  this->writing = true;
  this->write_failed = false;
  this->foreign_responses = 0;
  if (correlation.empty()) return;
  this->carried.Add(correlation, now, until + kMaxResendDelay);
}

bool IdlePool::Add(ClientConnection &connection, Time now,
                   Duration stated_timeout) {
  auto &pool = this->idle[connection.to];
  if (pool.size() >= kPoolCapacity) return false;
  const Duration idle_timeout =
      stated_timeout > Duration{0}
          ? Duration{static_cast<std::int64_t>(
                static_cast<double>(stated_timeout.count()) *
                kIdleTimeoutFraction)}
          : kDefaultIdleTimeout;
  connection.idle_until = now + idle_timeout;
  pool.push_back(&connection);
  return true;
}

ClientConnection *IdlePool::Take(const Address &to,
                                 std::string_view correlation, Time now) {
  const auto found = this->idle.find(to);
  if (found == this->idle.end()) return nullptr;
  auto &pool = found->second;
  const auto usable =
      std::find_if(pool.rbegin(), pool.rend(),
                   [correlation, now](const ClientConnection *pooled) {
                     return correlation.empty() ||
                            !pooled->carried.MayContain(correlation, now);
                   });
  if (usable == pool.rend()) return nullptr;
  ClientConnection *connection = *usable;
  pool.erase(std::next(usable).base());
  return connection;
}

void IdlePool::Remove(const ClientConnection &connection) {
  auto &pool = this->idle[connection.to];
  pool.erase(std::remove(pool.begin(), pool.end(), &connection), pool.end());
}

std::vector<ClientConnection *> IdlePool::TakeExpired(Time now) {
  std::vector<ClientConnection *> expired;
  for (auto &[to, pool] : this->idle) {
    const auto first_expired = std::partition(
        pool.begin(), pool.end(), [now](const ClientConnection *pooled) {
          return pooled->idle_until > now;
        });
    expired.insert(expired.end(), first_expired, pool.end());
    pool.erase(first_expired, pool.end());
  }
  return expired;
}

ClientConnection *IdlePool::FirstToExpire() const {
  ClientConnection *first = nullptr;
  for (const auto &[to, pool] : this->idle) {
    for (ClientConnection *pooled : pool) {
      const bool earlier =
          first == nullptr || pooled->idle_until < first->idle_until;
      if (earlier) first = pooled;
    }
  }
  return first;
}

h2o_socket_t *OpenSocket(Loop &loop, const Address &to,
                         h2o_socket_cb connected) {
  sockaddr_in native = to.Native();
  const auto open = [&] {
    return h2o_socket_connect(loop.Native(),
                              reinterpret_cast<sockaddr *>(&native),
                              sizeof(native), connected);
  };
  h2o_socket_t *sock = open();
  if (sock != nullptr) return sock;
  const int error = errno;
  ConnectionTable &table = loop.Connections();
  table.RecordFailure(ConnectionRole::kOutgoing, error);
  const bool retry =
      IsExhaustion(error) && table.Evict(ConnectionRole::kOutgoing, 1) > 0;
  return retry ? open() : nullptr;
}

void LogResponse(ClientConnection &connection, const std::string &id,
                 Time now) {
  if (!MayLogRequest(LogLevel::kDebug)) return;
  LogEvent(LogLevel::kDebug, "response",
           {{"peer", connection.to.Format()},
            {"connection", connection.number},
            {"id", id},
            {"status", connection.parser->Response().status},
            {"skipped", connection.foreign_responses},
            {"wait_us", (now - connection.sent_at).count()}});
}

void LogBrokenResponse(const ClientConnection &connection,
                       const std::string &id, ResponseFault fault) {
  if (!MayLogRequest(LogLevel::kWarning)) return;
  LogEvent(LogLevel::kWarning, "broken response",
           {{"peer", connection.to.Format()},
            {"id", id},
            {"reason", kResponseFaultNames.Name(fault)},
            {"body_bytes", connection.parser->BufferedBytes()}});
}

std::string SerializeRequest(const Address &to, const HttpRequest &request) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
  head += "host: " + (request.host.empty() ? to.Format() : request.host);
  head += "\r\n";
  for (const auto &header : request.headers) {
    if (IsFraming(header.name)) continue;
    head += header.name + ": " + header.value + "\r\n";
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return head + "\r\n" + request.body;
}

}  // namespace pollenring::internal
