#include "pollenring/net/http_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <unordered_map>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/client_connection.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"
#include "pollenring/net/response_parser.h"

namespace pollenring {
namespace {

using internal::ResponseParser;
using internal::ResponseState;
using Connection = internal::ClientConnection;

/*! @brief Responses to other requests that one call skips; a peer that sends
 * more has lost track of its requests. */
constexpr int kMaxForeignResponses = 4;
/*! @brief Bytes that one read may add, which h2o reads at once without limit;
 * responses of many targets arrive in the same turn. */
constexpr int kReadBytes = 256 * 1024;
constexpr Duration kIdleSweepInterval = std::chrono::seconds{1};
/*! @brief Maximum wait for a connection; peers are milliseconds away, and a
 * lost SYN is retransmitted after 1 s. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{1500};

}  // namespace

class HttpClient::Impl final : public IdleConnections {
 public:
  Impl(Loop &loop, const HttpClientLimits &limits)
      : loop{loop}, limits{limits} {
    const std::weak_ptr<bool> weak_alive = this->alive;
    loop.Every(kIdleSweepInterval, [this, weak_alive] {
      if (!weak_alive.expired()) this->DropIdle();
    });
    loop.Connections().Register(ConnectionRole::kOutgoing, *this);
  }

  ~Impl() override { this->loop.Connections().Unregister(*this); }

  std::size_t CloseIdle(std::size_t count) override {
    std::size_t closed = 0;
    for (; closed < count; ++closed) {
      Connection *first = this->idle.FirstToExpire();
      if (first == nullptr) break;
      this->idle.Remove(*first);
      this->Destroy(*first);
    }
    return closed;
  }

  CallId Start(const Address &to, const HttpRequest &request, Duration timeout,
               Done done, CorrelationHeader correlation) {
    const CallId id = ++this->last_id;
    Pending &call = this->calls[id];
    call.to = to;
    call.output = internal::SerializeRequest(to, request);
    call.head_only = request.method == "HEAD";
    call.correlation = std::move(correlation);
    call.until = this->loop.GetClock().Now() + timeout;
    call.done = std::move(done);
    call.timer = this->loop.After(timeout, [this, id] { this->Expire(id); });
    if (!this->Reuse(id, call)) this->Connect(id, call);
    return id;
  }

  void Cancel(CallId id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) return;
    this->loop.Cancel(found->second.timer);
    Connection *connection = found->second.connection;
    this->calls.erase(found);
    if (connection != nullptr) this->Destroy(*connection);
  }

  std::size_t buffered_bytes{};
  std::uint64_t connects{};
  std::array<std::uint64_t, kResponseFaults> broken_responses{};

 private:
  struct Pending {
    Address to;
    std::string output;
    CorrelationHeader correlation;
    Time until{}; /*!< When it times out. */
    bool head_only{};
    bool sent{};
    Done done;
    Loop::TimerId timer{};
    Connection *connection{};
  };

  bool Reuse(CallId id, Pending &call) {
    const Time now = this->loop.GetClock().Now();
    while (Connection *connection =
               this->idle.Take(call.to, call.correlation.value, now)) {
      if (connection->idle_until > now) {
        this->Send(id, call, *connection);
        return true;
      }
      this->Destroy(*connection);
    }
    return false;
  }

  void Connect(CallId id, Pending &call) {
    if (!this->loop.Connections().MakeRoom(ConnectionRole::kOutgoing)) {
      this->Finish(id, CallError::kNotConnected);
      return;
    }
    auto owned = std::make_unique<Connection>(this->loop.Connections());
    Connection &connection = *owned;
    connection.owner = this;
    connection.to = call.to;
    connection.call = id;
    call.connection = &connection;
    connection.sock =
        internal::OpenSocket(this->loop, call.to, &Impl::OnConnect);
    if (connection.sock == nullptr) {
      call.connection = nullptr;
      this->Finish(id, CallError::kNotConnected);
      return;
    }
    connection.number = ++this->connects;
    connection.sock->data = &connection;
    connection.connect_timer = this->loop.After(kConnectTimeout, [this, id] {
      const auto found = this->calls.find(id);
      if (found == this->calls.end() || found->second.sent) return;
      this->Fail(*found->second.connection, CallError::kNotConnected);
    });
    this->connections.emplace(&connection, std::move(owned));
  }

  static void OnConnect(h2o_socket_t *sock, const char *error) {
    auto *connection = static_cast<Connection *>(sock->data);
    auto *self = static_cast<Impl *>(connection->owner);
    self->loop.Cancel(connection->connect_timer);
    if (error != nullptr) {
      self->Fail(*connection, CallError::kConnectRefused);
      return;
    }
    if (self->limits.budget != nullptr) {
      setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_RCVBUF, &kReadBytes,
                 sizeof(kReadBytes));
    }
    self->loop.Contain("connect", [&] {
      self->Send(connection->call, self->calls.at(connection->call),
                 *connection);
    });
  }

  void Send(CallId id, Pending &call, Connection &connection) {
    connection.Begin(id, call.correlation.value, this->loop.GetClock().Now(),
                     call.until);
    connection.parser.emplace(call.head_only, this->limits.max_body_bytes);
    call.connection = &connection;
    call.sent = true;
    h2o_iovec_t output = h2o_iovec_init(call.output.data(), call.output.size());
    h2o_socket_read_start(connection.sock, &Impl::OnRead);
    h2o_socket_write(connection.sock, &output, 1, &Impl::OnWritten);
  }

  static void OnWritten(h2o_socket_t *sock, const char *error) {
    auto *connection = static_cast<Connection *>(sock->data);
    connection->writing = false;
    connection->write_failed = error != nullptr;
    // The peer may have responded before; that response is read first.
    if (!connection->ended) return;
    auto *self = static_cast<Impl *>(connection->owner);
    self->loop.Contain("answer", [&] { self->HandleEnd(*connection); });
  }

  static void OnRead(h2o_socket_t *sock, const char *error) {
    auto *connection = static_cast<Connection *>(sock->data);
    auto *self = static_cast<Impl *>(connection->owner);
    // A call whose response can't be handled ends at its time-out.
    self->loop.Contain("answer", [&] { self->Read(*connection, error); });
  }

  void Read(Connection &connection, const char *error) {
    if (connection.call == 0) {
      // Connection end, or bytes that belong to no request.
      this->idle.Remove(connection);
      this->Destroy(connection);
      return;
    }
    h2o_buffer_t **input = &connection.sock->input;
    std::size_t used = 0;
    while (used < (*input)->size) {
      used += connection.parser->Feed((*input)->bytes + used,
                                      (*input)->size - used);
      if (connection.parser->State() == ResponseState::kPartial) break;
      if (!this->SkipForeign(connection)) break;
    }
    const bool stray = used < (*input)->size;
    h2o_buffer_consume(input, used);
    this->SetBufferedBytes(connection, connection.parser->BufferedBytes());
    if (connection.foreign_responses > kMaxForeignResponses) {
      this->FailBroken(connection, ResponseFault::kForeign);
      return;
    }
    const bool partial = connection.parser->State() == ResponseState::kPartial;
    if (partial && error == h2o_socket_error_closed) {
      // A reset fails the write and then reads like an orderly end; which of
      // them it was is known when the write is over.
      connection.ended = true;
      h2o_socket_read_stop(connection.sock);
      if (!connection.writing) this->HandleEnd(connection);
      return;
    }
    if (partial && error != nullptr) {
      this->FailBroken(connection, ResponseFault::kReset);
      return;
    }
    this->HandleParsed(connection, stray || error != nullptr);
  }

  /*! @brief Handles the end of a connection whose request is written. */
  void HandleEnd(Connection &connection) {
    if (connection.write_failed) {
      this->FailBroken(connection, ResponseFault::kReset);
      return;
    }
    connection.parser->End();
    this->HandleParsed(connection, true);
  }

  /*! @brief Ends the call if its response is complete or unusable.
   * @param ended Whether the connection can't carry another response. */
  void HandleParsed(Connection &connection, bool ended) {
    switch (connection.parser->State()) {
      case ResponseState::kComplete:
        this->Complete(connection, ended);
        return;
      case ResponseState::kTooLarge:
        this->Fail(connection, CallError::kResponseTooLarge);
        return;
      case ResponseState::kInvalid:
        this->FailBroken(connection, connection.parser->Fault());
        return;
      case ResponseState::kPartial:
        this->EnforceBufferLimit();
    }
  }

  void FailBroken(Connection &connection, ResponseFault fault) {
    ++this->broken_responses[static_cast<std::size_t>(fault)];
    internal::LogBrokenResponse(
        connection, this->calls.at(connection.call).correlation.value, fault);
    this->Fail(connection, CallError::kInvalidResponse);
  }

  /*! @brief Skips a response that belongs to another request. @return True if
   * skipped. */
  bool SkipForeign(Connection &connection) {
    if (connection.parser->State() != ResponseState::kComplete) return false;
    const Pending &call = this->calls.at(connection.call);
    if (call.correlation.name.empty()) return false;
    const auto received = FindHeader(connection.parser->Response().headers,
                                     call.correlation.name);
    if (received == call.correlation.value) return false;
    connection.not_reusable = true;
    // A copy of it would look like the response to any later request.
    if (received.empty()) return false;
    if (++connection.foreign_responses > kMaxForeignResponses) return false;
    connection.parser.emplace(call.head_only, this->limits.max_body_bytes);
    return true;
  }

  /*! @brief Updates the buffered bytes of the connection and in total. */
  void SetBufferedBytes(Connection &connection, std::size_t bytes) {
    this->buffered_bytes += bytes;
    this->buffered_bytes -= connection.buffered_bytes;
    connection.buffered_bytes = bytes;
    if (this->limits.budget == nullptr) return;
    this->limits.budget->SetShared(BufferRole::kFromTargets,
                                   this->buffered_bytes);
  }

  /*! @brief Fails the call with the most buffered bytes if the total exceeds
   * its limit. */
  void EnforceBufferLimit() {
    if (this->buffered_bytes <= this->limits.max_buffered_bytes) return;
    const auto largest = std::max_element(
        this->connections.begin(), this->connections.end(),
        [](const auto &left, const auto &right) {
          return left.second->buffered_bytes < right.second->buffered_bytes;
        });
    this->Fail(*largest->second, CallError::kResponseTooLarge);
  }

  void Complete(Connection &connection, bool ended) {
    const CallId id = connection.call;
    ResponseParser &parser = *connection.parser;
    internal::LogResponse(connection, this->calls.at(id).correlation.value,
                          this->loop.GetClock().Now());
    const bool reusable = !ended && !connection.not_reusable &&
                          !connection.writing && !connection.write_failed &&
                          parser.KeepsAlive();
    HttpResponse response = std::move(parser.Response());
    const Duration stated_timeout = parser.IdleTimeout();
    this->calls.at(id).connection = nullptr;
    connection.call = 0;
    this->SetBufferedBytes(connection, 0);
    // An idle connection would keep the buffer of its largest response.
    h2o_buffer_dispose(&connection.sock->input);
    h2o_buffer_init(&connection.sock->input, &h2o_socket_buffer_prototype);
    const bool kept =
        reusable &&
        this->idle.Add(connection, this->loop.GetClock().Now(), stated_timeout);
    if (!kept) this->Destroy(connection);
    this->Finish(id, std::move(response));
  }

  void Fail(Connection &connection, CallError error) {
    const CallId id = connection.call;
    this->calls.at(id).connection = nullptr;
    this->Destroy(connection);
    this->Finish(id, error);
  }

  void Expire(CallId id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) return;
    const bool sent = found->second.sent;
    Done done = std::move(found->second.done);
    this->Cancel(id);
    done(sent ? CallError::kTimedOut : CallError::kNotConnected);
  }

  void Finish(CallId id, Reply reply) {
    const auto found = this->calls.find(id);
    Done done = std::move(found->second.done);
    this->loop.Cancel(found->second.timer);
    this->calls.erase(found);
    this->loop.Post(
        [done = std::move(done), reply = std::move(reply)]() mutable {
          done(std::move(reply));
        });
  }

  void DropIdle() {
    const Time now = this->loop.GetClock().Now();
    for (Connection *expired : this->idle.TakeExpired(now))
      this->Destroy(*expired);
  }

  void Destroy(Connection &connection) {
    this->loop.Cancel(connection.connect_timer);
    this->SetBufferedBytes(connection, 0);
    h2o_socket_close(connection.sock);
    this->connections.erase(&connection);
  }

  Loop &loop;
  HttpClientLimits limits;
  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  std::unordered_map<const Connection *, std::unique_ptr<Connection>>
      connections;
  internal::IdlePool idle;
  std::unordered_map<CallId, Pending> calls;
  CallId last_id{};
};

HttpClient::HttpClient(Loop &loop, const HttpClientLimits &limits)
    : impl{std::make_unique<Impl>(loop, limits)} {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Call(const Address &to,
                                    const HttpRequest &request,
                                    Duration timeout, Done done,
                                    CorrelationHeader correlation) {
  return this->impl->Start(to, request, timeout, std::move(done),
                           std::move(correlation));
}

std::size_t HttpClient::BufferedBytes() const noexcept {
  return this->impl->buffered_bytes;
}

std::uint64_t HttpClient::BrokenResponses(ResponseFault fault) const noexcept {
  return this->impl->broken_responses[static_cast<std::size_t>(fault)];
}

void HttpClient::Cancel(CallId id) { this->impl->Cancel(id); }

std::uint64_t HttpClient::Connects() const noexcept {
  return this->impl->connects;
}

}  // namespace pollenring
