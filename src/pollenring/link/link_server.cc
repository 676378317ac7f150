#include "pollenring/link/link_server.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pollenring/core/hash.h"
#include "pollenring/link/session.h"
#include "pollenring/net/accept.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/hang_up.h"
#include "pollenring/net/listen.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

constexpr Duration kFirstMessageTimeout = std::chrono::seconds{10};

}  // namespace

class LinkServer::Impl final : public IdleConnections {
 public:
  class Connection;
  class StreamResponder;

  Impl(Loop &loop, const Address &address, std::string secret,
       std::size_t max_body_bytes, Handler handler)
      : loop{loop},
        secret{std::move(secret)},
        max_body_bytes{max_body_bytes},
        handler{std::move(handler)} {
    this->listener = h2o_evloop_socket_create(
        loop.Native(), ListenTcp(address, loop.GetListenRetry()),
        H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, &Impl::OnAccept);
    loop.Connections().Register(ConnectionRole::kNodes, *this);
  }

  ~Impl() override { this->loop.Connections().Unregister(*this); }

  std::size_t CloseIdle(std::size_t count) override;

  [[nodiscard]] std::size_t Unwritten() const;

  static void OnAccept(h2o_socket_t *listener, const char *error);

  Loop &loop;
  std::string secret;
  std::size_t max_body_bytes;
  Handler handler;
  h2o_socket_t *listener{};
  std::unordered_set<std::shared_ptr<Connection>> connections;
};

/*! @brief Replies on one stream. */
class LinkServer::Impl::StreamResponder final : public LinkResponder {
 public:
  StreamResponder(std::weak_ptr<Connection> connection, std::int32_t stream_id,
                  const Address &peer)
      : connection{std::move(connection)}, stream_id{stream_id}, peer{peer} {}

  void Send(std::string body) override;

  void OnCancel(Cancelled callback) override {
    this->cancelled = std::move(callback);
  }

  void OnWithdraw(Withdrawn callback) override {
    this->withdrawn = std::move(callback);
  }

  [[nodiscard]] Address Peer() const override { return this->peer; }

  /*! @brief Whether a reply is still awaited. @return True if it is. */
  [[nodiscard]] bool Open() const noexcept { return this->open; }

  void Withdraw() const {
    // The callback may send the reply, which drops it.
    if (const Withdrawn callback = this->withdrawn) callback();
  }

  void Ended(Loop &loop) {
    this->open = false;
    this->withdrawn = nullptr;
    if (auto callback = std::exchange(this->cancelled, nullptr)) {
      loop.Contain("cancellation", callback);
    }
  }

  /*! @brief Resets the stream without a reply. */
  void Fail();

 private:
  std::weak_ptr<Connection> connection;
  std::int32_t stream_id;
  Address peer;
  Cancelled cancelled;
  Withdrawn withdrawn;
  bool open{true};
};

/*! @brief The server's end of the connection from one peer. */
class LinkServer::Impl::Connection final : public Session {
 public:
  Connection(Impl &owner, h2o_socket_t *sock, OpenConnection entry)
      : Session{owner.loop, Role::kServer, owner.max_body_bytes},
        owner{owner},
        entry{std::move(entry)},
        accepted{sock} {
    sockaddr_in native{};
    const auto size =
        h2o_socket_getpeername(sock, reinterpret_cast<sockaddr *>(&native));
    if (size == sizeof(native)) this->peer = Address::From(native);
  }

  void Start() {
    this->Attach(this->accepted);
    this->SubmitSettings();
    const auto self = std::static_pointer_cast<Connection>(shared_from_this());
    this->owner.loop.After(kFirstMessageTimeout,
                           [weak = std::weak_ptr<Connection>{self}] {
                             const auto held = weak.lock();
                             if (held && !held->authenticated) held->Close();
                           });
  }

  /*! @brief Whether no message is in progress. @return True if none is. */
  [[nodiscard]] bool Idle() const {
    return this->OpenStreams() == 0 && !HasUnread(*this->accepted);
  }

  /*! @brief Replies not taken by the kernel. @return The count. */
  [[nodiscard]] std::size_t Unwritten() const noexcept {
    // The last frames of a reply may still be written when its stream ends.
    return this->replying.size() + (this->IsWriting() ? 1 : 0);
  }

  void Reply(std::int32_t stream_id, std::string body) {
    this->responders.erase(stream_id);
    this->replying.insert(stream_id);
    this->SubmitResponse(stream_id, std::move(body));
  }

  void ResetReply(std::int32_t stream_id) {
    this->responders.erase(stream_id);
    this->Reset(stream_id, NGHTTP2_INTERNAL_ERROR);
  }

 private:
  [[nodiscard]] bool Accepts(const Stream &stream) const override {
    return EqualConstantTime(stream.secret, this->owner.secret);
  }

  void OnMessage(std::int32_t stream_id, Stream &stream) override {
    if (!this->Accepts(stream)) {
      this->owner.loop.Post([weak = weak_from_this()] {
        if (const auto held = weak.lock()) held->Close();
      });
      return;
    }
    this->authenticated = true;
    const auto self = std::static_pointer_cast<Connection>(shared_from_this());
    auto responder =
        std::make_shared<StreamResponder>(self, stream_id, this->peer);
    this->responders.emplace(stream_id, responder);
    // Deferred, so that a cancellation in the same read takes effect first.
    // During a stall of this process, the peer may also have hung up and sent
    // its message to another node.
    this->owner.loop.Post([&owner = this->owner, self, path = stream.path,
                           body = std::move(stream.received),
                           responder = std::move(responder)]() mutable {
      if (!self->Closed() && HungUp(*self->accepted)) self->Close();
      if (!responder->Open()) return;
      const bool handled = owner.loop.Contain(
          "message", [&] { owner.handler(path, std::move(body), responder); });
      if (!handled) responder->Fail();
    });
  }

  void OnStreamEnd(std::int32_t stream_id, Stream & /*stream*/,
                   bool /*refused*/) override {
    this->replying.erase(stream_id);
    const auto found = this->responders.find(stream_id);
    if (found == this->responders.end()) return;
    const auto responder = found->second.lock();
    this->responders.erase(found);
    if (responder) responder->Ended(this->owner.loop);
  }

  void OnWithdraw(std::int32_t stream_id) override {
    const auto found = this->responders.find(stream_id);
    if (found == this->responders.end()) return;
    // Deferred like the message itself, so that it has been handled by then.
    this->owner.loop.Post([&loop = this->owner.loop, weak = found->second] {
      const auto responder = weak.lock();
      if (!responder) return;
      loop.Contain("withdrawal", [&responder] { responder->Withdraw(); });
    });
  }

  void OnClosed() override {
    this->owner.connections.erase(
        std::static_pointer_cast<Connection>(shared_from_this()));
  }

  Impl &owner;
  OpenConnection entry;
  h2o_socket_t *accepted;
  Address peer;
  bool authenticated{};
  std::unordered_map<std::int32_t, std::weak_ptr<StreamResponder>> responders;
  std::unordered_set<std::int32_t> replying; /*!< Streams with a reply. */
};

void LinkServer::Impl::StreamResponder::Send(std::string body) {
  if (!std::exchange(this->open, false)) return;
  this->cancelled = nullptr;
  this->withdrawn = nullptr;
  const auto held = this->connection.lock();
  if (!held || held->Closed()) return;
  held->Reply(this->stream_id, std::move(body));
}

void LinkServer::Impl::StreamResponder::Fail() {
  if (!std::exchange(this->open, false)) return;
  this->cancelled = nullptr;
  this->withdrawn = nullptr;
  const auto held = this->connection.lock();
  if (!held || held->Closed()) return;
  held->ResetReply(this->stream_id);
}

void LinkServer::Impl::OnAccept(h2o_socket_t *listener, const char *error) {
  if (error != nullptr) return;
  auto *self = static_cast<Impl *>(listener->data);
  AcceptWaiting(listener, self->loop, ConnectionRole::kNodes,
                [self](h2o_socket_t *sock, OpenConnection entry) {
                  auto connection = std::make_shared<Connection>(
                      *self, sock, std::move(entry));
                  self->connections.insert(connection);
                  connection->Start();
                });
}

std::size_t LinkServer::Impl::CloseIdle(std::size_t count) {
  std::vector<std::shared_ptr<Connection>> idle;
  for (const auto &connection : this->connections) {
    if (connection->Idle()) idle.push_back(connection);
  }
  const std::size_t closed = std::min(count, idle.size());
  const auto last = idle.begin() + static_cast<std::ptrdiff_t>(closed);
  std::partial_sort(idle.begin(), last, idle.end(),
                    [](const auto &a, const auto &b) {
                      return a->LastReceived() < b->LastReceived();
                    });
  // Peers connect again with their next message.
  for (auto it = idle.begin(); it != last; ++it) (*it)->Close();
  return closed;
}

std::size_t LinkServer::Impl::Unwritten() const {
  std::size_t count = 0;
  for (const auto &connection : this->connections)
    count += connection->Unwritten();
  return count;
}

LinkServer::LinkServer(Loop &loop, const Address &address, std::string secret,
                       std::size_t max_body_bytes, Handler handler)
    : impl{std::make_unique<Impl>(loop, address, std::move(secret),
                                  max_body_bytes, std::move(handler))} {}

LinkServer::~LinkServer() = default;

std::size_t LinkServer::Unwritten() const { return this->impl->Unwritten(); }

}  // namespace pollenring
