#include "pollenring/link/link_client.h"

#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "pollenring/link/session.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

constexpr Duration kLivenessCheckInterval = std::chrono::milliseconds{100};
/*! @brief Maximum wait for a connection; a lost SYN is retransmitted after 1 s,
 * and by then the call goes to another node. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{800};
/*! @brief Time without data from the peer, with calls open, after which a ping
 * is sent. */
constexpr Duration kPingAfterIdle = std::chrono::milliseconds{300};
/*! @brief Maximum wait for any data after a ping; a node that has used up its
 * CPU quota is throttled for 100 ms. */
constexpr Duration kPingTimeout = std::chrono::milliseconds{800};

}  // namespace

/*! @brief The client's end of the connection to one peer. */
class LinkClient::Connection final : public Session {
 public:
  Connection(LinkClient &owner, const Address &peer)
      : Session{owner.loop, Role::kClient, owner.max_body_bytes},
        owner{owner},
        peer{peer} {}

  void Connect() {
    this->opened_at = this->GetLoop().GetClock().Now();
    ConnectionTable &table = this->GetLoop().Connections();
    if (!table.MakeRoom(ConnectionRole::kOutgoing)) {
      this->Close();
      return;
    }
    sockaddr_in native = this->peer.Native();
    this->connecting = h2o_socket_connect(
        this->GetLoop().Native(), reinterpret_cast<sockaddr *>(&native),
        sizeof(native), &Connection::OnConnect);
    if (this->connecting == nullptr) {
      const int error = errno;
      table.RecordFailure(ConnectionRole::kOutgoing, error);
      // The next message finds room.
      if (IsExhaustion(error)) table.Evict(ConnectionRole::kOutgoing, 1);
      this->Close();
      return;
    }
    this->entry.emplace(table, ConnectionRole::kOutgoing);
    this->connecting->data = this;
  }

  [[nodiscard]] bool Connected() const noexcept { return this->connected; }

  /*! @brief Sends a message immediately, or once connected. */
  void Send(CallId id, std::string path, std::string body) {
    if (!this->connected) {
      this->waiting.push_back({id, std::move(path), std::move(body)});
      return;
    }
    this->Submit(id, path, std::move(body));
  }

  /*! @brief Drops a call that waits for the connection. @return True if it was
   * waiting. */
  [[nodiscard]] bool DropWaiting(CallId id) {
    for (auto it = this->waiting.begin(); it != this->waiting.end(); ++it) {
      if (it->id != id) continue;
      this->waiting.erase(it);
      return true;
    }
    return false;
  }

  /*! @brief Pings an unresponsive peer; closes the connection if it stays so.
   */
  void CheckLiveness() {
    const Time now = this->GetLoop().GetClock().Now();
    if (!this->connected) {
      if (now - this->opened_at > kConnectTimeout) this->Close();
      return;
    }
    if (this->calls_by_stream.empty()) return;
    if (this->LastReceived() >= this->pinged_at) this->pinged_at = Time{};
    if (this->pinged_at == Time{}) {
      if (now - this->LastReceived() < kPingAfterIdle) return;
      this->pinged_at = now;
      this->Ping();
      return;
    }
    if (now - this->pinged_at > kPingTimeout) this->Close();
  }

  using Session::SubmitWithdrawal;

  void Drop(std::int32_t stream_id) {
    this->calls_by_stream.erase(stream_id);
    this->Reset(stream_id, NGHTTP2_CANCEL);
  }

 private:
  struct Waiting {
    CallId id;
    std::string path;
    std::string body;
  };

  static void OnConnect(h2o_socket_t *sock, const char *error) {
    auto *self = static_cast<Connection *>(sock->data);
    self->connecting = nullptr;
    if (self->Closed()) return;
    if (error != nullptr) {
      h2o_socket_close(sock);
      self->Close();
      return;
    }
    self->connected = true;
    self->Attach(sock);
    self->SubmitSettings();
    for (auto &call : std::exchange(self->waiting, {})) {
      self->Submit(call.id, call.path, std::move(call.body));
    }
  }

  void Submit(CallId id, const std::string &path, std::string body) {
    const std::int32_t stream_id =
        this->SubmitRequest(path, this->owner.secret, std::move(body));
    if (stream_id < 0) {
      this->owner.Finish(id, LinkError::kNotSent);
      this->Close();
      return;
    }
    this->calls_by_stream.emplace(stream_id, id);
    const auto found = this->owner.calls.find(id);
    if (found != this->owner.calls.end()) found->second.stream_id = stream_id;
  }

  [[nodiscard]] bool Accepts(const Stream & /*stream*/) const override {
    return true;
  }

  void OnMessage(std::int32_t stream_id, Stream &stream) override {
    const auto found = this->calls_by_stream.find(stream_id);
    if (found == this->calls_by_stream.end()) return;
    const CallId id = found->second;
    this->calls_by_stream.erase(found);
    this->owner.Finish(id, std::move(stream.received));
  }

  void OnStreamEnd(std::int32_t stream_id, Stream & /*stream*/,
                   bool refused) override {
    const auto found = this->calls_by_stream.find(stream_id);
    if (found == this->calls_by_stream.end()) return;
    const CallId id = found->second;
    this->calls_by_stream.erase(found);
    this->owner.Finish(id, refused ? LinkError::kNotSent : LinkError::kLost);
  }

  void OnClosed() override {
    if (this->connecting != nullptr) {
      h2o_socket_close(std::exchange(this->connecting, nullptr));
    }
    for (const auto &call : std::exchange(this->waiting, {})) {
      this->owner.Finish(call.id, LinkError::kNotSent);
    }
    const auto found = this->owner.connections.find(this->peer);
    const bool current =
        found != this->owner.connections.end() && found->second.get() == this;
    if (current) this->owner.connections.erase(found);
  }

  LinkClient &owner;
  std::optional<OpenConnection> entry;
  Address peer;
  h2o_socket_t *connecting{};
  bool connected{};
  Time opened_at{};
  Time pinged_at{}; /*!< Zero unless a ping is outstanding. */
  std::vector<Waiting> waiting;
  std::unordered_map<std::int32_t, CallId> calls_by_stream;
};

LinkClient::LinkClient(Loop &loop, std::string secret,
                       std::size_t max_body_bytes)
    : loop{loop}, secret{std::move(secret)}, max_body_bytes{max_body_bytes} {
  const std::weak_ptr<bool> weak_alive = this->alive;
  loop.Every(kLivenessCheckInterval, [this, weak_alive] {
    if (!weak_alive.expired()) this->CheckLiveness();
  });
}

void LinkClient::CheckLiveness() {
  // Closing a connection modifies the map, so iterate over a copy.
  std::vector<std::shared_ptr<Connection>> open;
  open.reserve(this->connections.size());
  for (const auto &[peer, connection] : this->connections) {
    open.push_back(connection);
  }
  for (const auto &connection : open) connection->CheckLiveness();
}

LinkClient::~LinkClient() = default;

LinkClient::CallId LinkClient::Call(const Address &to, std::string_view path,
                                    std::string body, Duration timeout,
                                    Done done) {
  const CallId id = ++this->last_id;
  auto &connection = this->connections[to];
  const bool is_new = !connection;
  if (is_new) connection = std::make_shared<Connection>(*this, to);
  const auto held = connection;
  Pending &pending = this->calls[id];
  pending.connection = held;
  pending.done = std::move(done);
  pending.timer =
      this->loop.After(timeout, [this, id] { this->Abandon(id, true); });
  held->Send(id, std::string{path}, std::move(body));
  if (is_new) held->Connect();
  return id;
}

void LinkClient::Cancel(CallId id) { this->Abandon(id, false); }

void LinkClient::Withdraw(CallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const auto connection = found->second.connection.lock();
  if (!connection || connection->Closed()) return;
  if (connection->DropWaiting(id)) {
    this->Finish(id, LinkError::kNotSent);
    return;
  }
  connection->SubmitWithdrawal(found->second.stream_id);
}

void LinkClient::Finish(CallId id, Reply reply) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  this->loop.Cancel(found->second.timer);
  auto done = std::move(found->second.done);
  this->calls.erase(found);
  this->loop.Post([done = std::move(done), reply = std::move(reply)]() mutable {
    done(std::move(reply));
  });
}

void LinkClient::Abandon(CallId id, bool timed_out) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return;
  const auto connection = found->second.connection.lock();
  const std::int32_t stream_id = found->second.stream_id;
  const bool sent = connection == nullptr || !connection->DropWaiting(id);
  if (sent && connection && !connection->Closed()) connection->Drop(stream_id);
  this->loop.Cancel(found->second.timer);
  auto done = std::move(found->second.done);
  this->calls.erase(found);
  if (timed_out) done(sent ? LinkError::kTimedOut : LinkError::kNotSent);
}

}  // namespace pollenring
