#include "pollenring/net/http_server.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "pollenring/net/accept.h"
#include "pollenring/net/connection_buffers.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/http1_server.h"
#include "pollenring/net/listen.h"
#include "pollenring/net/loop.h"
#include "pollenring/net/server_connections.h"

namespace pollenring {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::size_t kSliceBytes =
    std::size_t{256} * 1024; /*!< Passed to h2o at once. */
constexpr int kBadGateway = 502;

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

/*! @brief A request of HTTP/2 that awaits its response. */
class H2oResponder final : public Responder {
 public:
  H2oResponder(h2o_req_t *req, Loop &loop, std::size_t *in_progress)
      : generator{{&H2oResponder::OnWritten, nullptr}, this},
        req{req},
        loop{loop},
        in_progress{in_progress},
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
  Cancelled cancelled;
  std::shared_ptr<ConnectionBuffers> buffers; /*!< Null without a budget. */
  std::size_t copied; /*!< Body of the request, kept by h2o and the handler. */
  std::string body;   /*!< Of the response, until h2o frees the request. */
  std::size_t sent{};
};

}  // namespace

class HttpServer::Impl {
 public:
  Impl(Loop &loop, const Address &address, const HttpServerLimits &limits,
       Handler handler)
      : loop{loop},
        address{address},
        role{limits.role},
        connections{loop.GetClock(), loop.Connections(), limits.role},
        buffers{
            loop, limits.budget,
            [this](const Eviction &eviction) { this->http1.Evict(eviction); }},
        handler{std::move(handler)},
        bound_fd{BindTcp(address, loop.GetListenRetry())},
        http1{loop,
              limits,
              this->connections,
              this->handler,
              [this](h2o_socket_t *sock) { this->AcceptHttp2(sock); },
              [this] { this->buffers.Apply(); }} {
    h2o_config_init(&this->config);
    this->config.max_request_entity_size = limits.max_body_bytes;
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
  }

  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->in_progress + this->http1.InProgress();
  }

  [[nodiscard]] std::size_t Unwritten() const noexcept {
    return this->http2_requests - this->in_progress + this->http1.Unwritten();
  }

  [[nodiscard]] bool IsOpen() const noexcept {
    return this->listener != nullptr;
  }

  void Open() {
    if (this->bound_fd < 0) return;
    StartListening(this->bound_fd, this->address, this->loop.GetListenRetry());
    this->listener = h2o_evloop_socket_create(this->loop.Native(),
                                              std::exchange(this->bound_fd, -1),
                                              H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, &Impl::OnAccept);
  }

  void Drain() { this->http1.Drain(); }

  void Close() {
    if (this->bound_fd >= 0) close(std::exchange(this->bound_fd, -1));
    if (this->listener == nullptr) return;
    h2o_socket_read_stop(this->listener);
    h2o_socket_close(this->listener);
    this->listener = nullptr;
    this->http1.Drain();
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
    this->connections.Add(sock, std::move(entry));
    this->http1.Accept(sock);
  }

  void AcceptHttp2(h2o_socket_t *sock) {
    // Its bytes were charged as those of an HTTP/1.1 connection until now.
    const auto followed = this->buffers.Follow(sock);
    ServerConnections::SetBuffers(*sock, followed);
    if (followed) followed->BeginHttp2();
    timeval now{};
    gettimeofday(&now, nullptr);
    h2o_http2_accept(&this->accept, sock, now);
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
    auto responder =
        std::make_shared<H2oResponder>(req, self->loop, &self->in_progress);
    auto connection = self->connections.BeginRequest(
        *req->conn->callbacks->get_socket(req->conn));
    const bool closing = connection == nullptr;
    void *memory =
        h2o_mem_alloc_shared(&req->pool, sizeof(RequestSlot), [](void *memory) {
          auto *slot = static_cast<RequestSlot *>(memory);
          slot->responder->Disposed();
          --slot->owner->http2_requests;
          if (slot->connection)
            slot->owner->connections.EndRequest(slot->connection);
          slot->~RequestSlot();
        });
    ++self->http2_requests;
    new (memory) RequestSlot{self, responder, std::move(connection)};
    // Its response couldn't be sent any more.
    if (closing) {
      responder->Send({kServiceUnavailable, {}, {}});
      return 0;
    }
    const bool handled = self->loop.Contain("request", [self, req, responder] {
      self->handler(CopyRequest(*req), responder);
    });
    // The handler may have executed the request; 502 doesn't rule that out.
    if (!handled) responder->Send({kBadGateway, {}, {}});
    return 0;
  }

  Loop &loop;
  Address address;
  ConnectionRole role;
  ServerConnections connections;
  ServerBuffers buffers;
  Handler handler;
  int bound_fd{-1}; /*!< Descriptor until `Open` listens on it, then -1. */
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t *listener{};
  std::size_t in_progress{};    /*!< Of HTTP/2. */
  std::size_t http2_requests{}; /*!< Until their responses are written. */
  internal::Http1Server http1;
};

HttpServer::HttpServer(Loop &loop, const Address &address,
                       const HttpServerLimits &limits, Handler handler)
    : impl{std::make_unique<Impl>(loop, address, limits, std::move(handler))} {}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::InProgress() const noexcept {
  return this->impl->InProgress();
}

std::size_t HttpServer::Unwritten() const noexcept {
  return this->impl->Unwritten();
}

bool HttpServer::IsOpen() const noexcept { return this->impl->IsOpen(); }

void HttpServer::Open() { this->impl->Open(); }

void HttpServer::Drain() { this->impl->Drain(); }

void HttpServer::Close() { this->impl->Close(); }

}  // namespace pollenring
