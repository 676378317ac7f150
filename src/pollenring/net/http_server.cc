#include "pollenring/net/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <utility>

#include "pollenring/net/accept.h"
#include "pollenring/net/connection_buffers.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/hang_up.h"
#include "pollenring/net/loop.h"
#include "pollenring/net/server_connections.h"

namespace pollenring {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kHttp2Version = 0x200;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kSliceBytes = 256 * 1024; /*!< Passed to h2o at once. */
constexpr int kBadGateway = 502;
/*! @brief Age at which a request's connection is checked for a hang-up, and the
 * interval between checks. */
constexpr Duration kHangUpCheckInterval = std::chrono::milliseconds{100};

[[nodiscard]] std::string ToString(const h2o_iovec_t &text) {
  return {text.base, text.len};
}

[[nodiscard]] HttpRequest CopyRequest(const h2o_req_t &req) {
  HttpRequest request;
  request.method = ToString(req.method);
  request.path = ToString(req.path);
  request.headers.reserve(req.headers.size);
  for (std::size_t i = 0; i < req.headers.size; ++i) {
    const h2o_header_t &header = req.headers.entries[i];
    request.headers.push_back({ToString(*header.name), ToString(header.value)});
  }
  if (req.entity.base != nullptr) request.body = ToString(req.entity);
  request.host = ToString(req.authority);
  return request;
}

/*! @brief An h2o request that awaits its response. */
class H2oResponder final : public Responder {
 public:
  H2oResponder(h2o_req_t *req, Loop &loop, std::size_t *in_progress,
               const bool *draining)
      : generator{{&H2oResponder::OnWritten, nullptr}, this},
        req{req},
        loop{loop},
        in_progress{in_progress},
        draining{draining},
        buffers{ServerConnections::BuffersOf(
            *req->conn->callbacks->get_socket(req->conn))},
        copied{req->entity.len} {
    ++*this->in_progress;
    if (this->buffers) this->buffers->BeginRequest(this->copied);
  }
  ~H2oResponder() override { this->Finish(); }

  void Send(HttpResponse response) override {
    if (this->req == nullptr) return;
    h2o_req_t *target = this->req;
    this->Finish();
    this->cancelled = nullptr;
    target->res.status = response.status;
    target->res.reason = "-";
    if (*this->draining && !HasPipelinedRequest(*target))
      target->http1_is_persistent = 0;
    target->res.content_length = response.body.size();
    for (const auto &header : response.headers) AddHeader(target, header);
    this->body = std::move(response.body);
    if (this->buffers) this->buffers->BeginResponse(this->body.size());
    h2o_start_response(target, &this->generator.base);
    this->SendSlice(target);
  }

  void OnCancel(Cancelled callback) override {
    this->cancelled = std::move(callback);
  }

  [[nodiscard]] bool Ended() const noexcept { return this->req == nullptr; }

  /*! @brief Whether the caller has closed its side of the connection. */
  [[nodiscard]] bool HungUp() const {
    h2o_conn_t *connection = this->req->conn;
    return pollenring::HungUp(*connection->callbacks->get_socket(connection));
  }

  /*! @brief Ends a request whose caller has hung up. @param status Status for a
   * caller that still reads. */
  void EndAbandoned(int status) {
    auto callback = std::move(this->cancelled);
    this->req->http1_is_persistent = 0;
    this->Send({status, {}, {}});
    if (!callback) return;
    this->loop.Contain("hang-up", [&] { callback(CallerDisconnect::kHungUp); });
  }

  /*! @brief Called when h2o frees the request. */
  void Disposed() {
    if (this->buffers) {
      this->buffers->EndResponse(this->body.size());
      this->buffers->EndRequest(this->copied);
    }
    this->body = {};
    if (this->req == nullptr) return;
    this->Finish();
    if (!this->cancelled) return;
    auto callback = std::move(this->cancelled);
    this->cancelled = nullptr;
    this->loop.Contain("hang-up",
                       [&] { callback(CallerDisconnect::kConnectionEnded); });
  }

 private:
  struct Generator {
    h2o_generator_t base;
    H2oResponder *owner;
  };

  static void OnWritten(h2o_generator_t *base, h2o_req_t *req) {
    H2oResponder *self = reinterpret_cast<Generator *>(base)->owner;
    if (self->buffers) self->buffers->Written(kSliceBytes);
    self->SendSlice(req);
  }

  /*! @brief Passes the next part of the body to h2o, which refers to it. Parts
   * show whether the caller reads. */
  void SendSlice(h2o_req_t *target) {
    std::size_t size = this->body.size() - this->sent;
    if (ToString(target->method) != "HEAD") size = std::min(size, kSliceBytes);
    h2o_iovec_t slice{this->body.data() + this->sent, size};
    this->sent += size;
    const bool last = this->sent == this->body.size();
    h2o_send(target, &slice, 1,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
  }

  /*! @brief Whether the caller has pipelined another request behind this one.
   */
  [[nodiscard]] static bool HasPipelinedRequest(const h2o_req_t &req) {
    if (req.version >= kHttp2Version) return false;
    return HasUnread(*req.conn->callbacks->get_socket(req.conn));
  }

  static void AddHeader(h2o_req_t *req, const HttpHeader &header) {
    const h2o_iovec_t name =
        h2o_strdup(&req->pool, header.name.data(), header.name.size());
    const h2o_iovec_t value =
        h2o_strdup(&req->pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1,
                          nullptr, value.base, value.len);
  }

  void Finish() {
    if (this->req == nullptr) return;
    this->req = nullptr;
    --*this->in_progress;
  }

  Generator generator;
  h2o_req_t *req;
  Loop &loop;
  std::size_t *in_progress;
  const bool *draining;
  Cancelled cancelled;
  std::shared_ptr<ConnectionBuffers> buffers; /*!< Null without a budget. */
  std::size_t copied; /*!< Body of the request, kept by h2o and the handler. */
  std::string body;   /*!< Of the response, until h2o frees the request. */
  std::size_t sent{};
};

}  // namespace

int BindTcp(const Address &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  KeepAlive(fd);
  const sockaddr_in native = address.Native();
  const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&native),
                          sizeof(native)) == 0;
  if (bound) return fd;
  close(fd);
  throw std::runtime_error{"can't bind " + address.Format()};
}

int ListenTcp(const Address &address) {
  const int fd = BindTcp(address);
  if (listen(fd, kListenBacklog) == 0) return fd;
  close(fd);
  throw std::runtime_error{"can't listen on " + address.Format()};
}

class HttpServer::Impl {
 public:
  Impl(Loop &loop, const Address &address, const HttpServerLimits &limits,
       Handler handler)
      : loop{loop},
        address{address},
        role{limits.role},
        connections{loop.GetClock(), loop.Connections(), limits.role},
        buffers{loop, limits.budget},
        handler{std::move(handler)},
        bound_fd{BindTcp(address)} {
    h2o_config_init(&this->config);
    this->config.max_request_entity_size = limits.max_body_bytes;
    this->config.http1.req_timeout = ToMs(limits.request_timeout);
    this->config.http2.idle_timeout = ToMs(limits.idle_timeout);
    this->config.server_name = h2o_iovec_init("", 0);
    h2o_hostconf_t *host = h2o_config_register_host(
        &this->config, h2o_iovec_init("default", 7), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *slot = reinterpret_cast<HandlerSlot *>(
        h2o_create_handler(path, sizeof(HandlerSlot)));
    slot->base.on_req = &Impl::OnRequest;
    slot->owner = this;
    h2o_context_init(&this->context, loop.Native(), &this->config);
    this->accept.ctx = &this->context;
    this->accept.hosts = this->config.hosts;
    const std::weak_ptr<bool> weak_alive = this->alive;
    loop.Every(kHangUpCheckInterval, [this, weak_alive] {
      if (!weak_alive.expired()) this->EndAbandonedRequests();
    });
  }

  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->in_progress;
  }

  [[nodiscard]] bool IsOpen() const noexcept {
    return this->listener != nullptr;
  }

  void Open() {
    if (this->bound_fd < 0) return;
    if (listen(this->bound_fd, kListenBacklog) != 0) {
      throw std::runtime_error{"can't listen on " + this->address.Format()};
    }
    this->listener = h2o_evloop_socket_create(this->loop.Native(),
                                              std::exchange(this->bound_fd, -1),
                                              H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, &Impl::OnAccept);
  }

  void Drain() { this->draining = true; }

  void Close() {
    if (this->bound_fd >= 0) close(std::exchange(this->bound_fd, -1));
    if (this->listener == nullptr) return;
    h2o_socket_read_stop(this->listener);
    h2o_socket_close(this->listener);
    this->listener = nullptr;
    h2o_context_request_shutdown(&this->context);
  }

 private:
  struct HandlerSlot {
    h2o_handler_t base;
    Impl *owner;
  };

  [[nodiscard]] static std::uint64_t ToMs(Duration duration) {
    return static_cast<std::uint64_t>(duration.count() / 1000);
  }

  static void OnAccept(h2o_socket_t *listener, const char *error) {
    if (error != nullptr) return;
    auto *self = static_cast<Impl *>(listener->data);
    AcceptWaiting(listener, self->loop, self->role,
                  [self](h2o_socket_t *sock, OpenConnection entry) {
                    self->Take(sock, std::move(entry));
                  });
  }

  void Take(h2o_socket_t *sock, OpenConnection entry) {
    const auto followed = this->buffers.Follow(sock);
    this->connections.Add(sock, std::move(entry), followed);
    h2o_accept(&this->accept, sock);
    if (followed) followed->Update();
  }

  /*! @brief What lives in the memory of a request until h2o frees it. */
  struct RequestSlot {
    Impl *owner;
    std::shared_ptr<H2oResponder> responder;
    std::shared_ptr<ServerConnections::Connection> connection;
  };

  static int OnRequest(h2o_handler_t *handler, h2o_req_t *req) {
    Impl *self = reinterpret_cast<HandlerSlot *>(handler)->owner;
    auto responder = std::make_shared<H2oResponder>(
        req, self->loop, &self->in_progress, &self->draining);
    auto connection = self->connections.BeginRequest(
        *req->conn->callbacks->get_socket(req->conn));
    const bool closing = connection == nullptr;
    void *memory =
        h2o_mem_alloc_shared(&req->pool, sizeof(RequestSlot), [](void *memory) {
          auto *slot = static_cast<RequestSlot *>(memory);
          slot->responder->Disposed();
          if (slot->connection)
            slot->owner->connections.EndRequest(slot->connection);
          slot->~RequestSlot();
        });
    new (memory) RequestSlot{self, responder, std::move(connection)};
    // Its response couldn't be sent any more.
    if (closing) {
      responder->EndAbandoned(kServiceUnavailable);
      return 0;
    }
    // After a stall the backlog holds connections whose callers have given up.
    if (req->version < kHttp2Version && responder->HungUp()) {
      responder->EndAbandoned(kServiceUnavailable);
      return 0;
    }
    self->Watch(*req, responder);
    const bool handled = self->loop.Contain("request", [self, req, responder] {
      self->handler(CopyRequest(*req), responder);
    });
    // The handler may have executed the request; 502 doesn't rule that out.
    if (!handled) responder->Send({kBadGateway, {}, {}});
    return 0;
  }

  void Watch(const h2o_req_t &req,
             const std::shared_ptr<H2oResponder> &responder) {
    // HTTP/2 itself reports cancelled requests.
    if (req.version >= kHttp2Version) return;
    this->waiting.push_back({responder, this->loop.GetClock().Now()});
  }

  void EndAbandonedRequests() {
    const Time oldest = this->loop.GetClock().Now() - kHangUpCheckInterval;
    std::deque<Waiting> kept;
    for (auto &entry : std::exchange(this->waiting, {})) {
      const auto responder = entry.responder.lock();
      if (!responder || responder->Ended()) continue;
      if (entry.since > oldest || !responder->HungUp()) {
        kept.push_back(std::move(entry));
        continue;
      }
      // 502, since the request may have been executed.
      responder->EndAbandoned(kBadGateway);
    }
    // Requests that arrived during the checks are younger.
    for (auto &entry : this->waiting) kept.push_back(std::move(entry));
    this->waiting = std::move(kept);
  }

  /*! @brief An HTTP/1.1 request, whose connection must be polled for a hang-up.
   */
  struct Waiting {
    std::weak_ptr<H2oResponder> responder;
    Time since{};
  };

  Loop &loop;
  Address address;
  ConnectionRole role;
  ServerConnections connections;
  ServerBuffers buffers;
  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  std::deque<Waiting> waiting;
  Handler handler;
  int bound_fd{-1}; /*!< Descriptor until `Open` listens on it, then -1. */
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t *listener{};
  std::size_t in_progress{};
  bool draining{};
};

HttpServer::HttpServer(Loop &loop, const Address &address,
                       const HttpServerLimits &limits, Handler handler)
    : impl{std::make_unique<Impl>(loop, address, limits, std::move(handler))} {}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::InProgress() const noexcept {
  return this->impl->InProgress();
}

bool HttpServer::IsOpen() const noexcept { return this->impl->IsOpen(); }

void HttpServer::Open() { this->impl->Open(); }

void HttpServer::Drain() { this->impl->Drain(); }

void HttpServer::Close() { this->impl->Close(); }

}  // namespace pollenring
