#include "pollenring/net/http1_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/hang_up.h"
#include "pollenring/net/http1_server.h"
#include "pollenring/net/loop.h"

namespace pollenring::internal {
namespace {

constexpr std::string_view kHttp2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
/*! @brief Time in which bytes behind the last response are read and dropped.
 * Closing with unread bytes resets the connection, and the caller loses what is
 * in flight. */
constexpr Duration kLingerTime = std::chrono::seconds{1};
/*! @brief Capacity that an empty input buffer keeps. */
constexpr std::size_t kKeptCapacity = 4096;

}  // namespace

Http1Connection::Http1Connection(Http1Server &server, h2o_socket_t *sock)
    : server{server},
      sock{sock},
      parser{{server.limits.max_head_bytes, server.limits.max_fields,
              server.limits.max_body_bytes}},
      active_at{server.loop.GetClock().Now()} {
  if (server.limits.budget != nullptr)
    this->budget_id = server.limits.budget->Open();
  sock->data = this;
  // Reads are bounded here; h2o would read until the socket is empty.
  h2o_socket_dont_read(sock, 1);
  this->Update();
}

void Http1Connection::OnReadable(h2o_socket_t *sock, const char *error) {
  auto *self = static_cast<Http1Connection *>(sock->data);
  const bool handled =
      self->server.loop.Contain("request", [&] { self->Read(error); });
  if (!handled) self->Close(CallerDisconnect::kConnectionEnded);
}

void Http1Connection::OnWritten(h2o_socket_t *sock, const char *error) {
  auto *self = static_cast<Http1Connection *>(sock->data);
  const bool handled =
      self->server.loop.Contain("request", [&] { self->HandleWritten(error); });
  if (!handled) self->Close(CallerDisconnect::kConnectionEnded);
}

void Http1Connection::Read(const char *error) {
  auto &buffer = this->server.buffer;
  const auto size = error != nullptr ? -1
                                     : recv(h2o_socket_get_fd(this->sock),
                                            buffer.data(), buffer.size(), 0);
  if (size < 0) {
    const bool again = error == nullptr && (errno == EAGAIN || errno == EINTR);
    if (!again) this->Close(CallerDisconnect::kHungUp);
    return;
  }
  if (size == 0) {
    this->HandleEnd();
    return;
  }
  if (this->lingering) return;
  if (this->closing) {
    this->dropped_input = true;
    this->Update();
    return;
  }
  this->last_read = this->server.loop.GetClock().Now();
  this->active_at = this->last_read;
  this->hang_up_checked = false;
  this->Consume({buffer.data(), static_cast<std::size_t>(size)});
  if (this->sock == nullptr) return;
  this->Flush();
  this->Update();
}

void Http1Connection::HandleEnd() {
  this->peer_ended = true;
  // A request read before the hang-up is refused, the others weren't read.
  if (this->HasWaiting()) this->Refuse(kServiceUnavailable);
  this->DropInput();
  this->closing = true;
  if (this->queue.empty() && !this->writing) {
    this->Close(CallerDisconnect::kHungUp);
    return;
  }
  this->Update();
}

void Http1Connection::Consume(std::string_view received) {
  std::string input = std::exchange(this->pending, {});
  if (!input.empty()) {
    input.append(received);
    received = input;
  }
  this->unparsed = received.size();
  this->parsing = true;
  const std::size_t used = this->Parse(received);
  this->parsing = false;
  if (this->sock == nullptr) return;
  if (this->closing) {
    if (used < received.size()) this->dropped_input = true;
    this->unparsed = 0;
    return;
  }
  this->unparsed = received.size() - used;
  if (input.empty()) {
    this->pending.assign(received.substr(used));
  } else {
    input.erase(0, used);
    const bool oversized = input.empty() && input.capacity() > kKeptCapacity;
    if (!oversized) this->pending = std::move(input);
  }
  if (!this->IsArriving()) {
    this->head_since = Time{};
  } else if (this->head_since == Time{}) {
    this->head_since = this->last_read;
  }
}

std::size_t Http1Connection::Parse(std::string_view input) {
  if (!this->spoken) {
    const std::size_t size = std::min(input.size(), kHttp2Preface.size());
    if (input.substr(0, size) == kHttp2Preface.substr(0, size)) {
      if (size == kHttp2Preface.size()) this->HandOver(input);
      return 0;
    }
    this->spoken = true;
  }
  std::size_t used = 0;
  while (used < input.size() && this->MayParse()) {
    used += this->parser.Feed(input.data() + used, input.size() - used);
    this->unparsed = input.size() - used;
    if (this->parser.State() == RequestState::kRefused)
      this->Refuse(this->parser.RefusalStatus());
    if (this->parser.State() != RequestState::kComplete) break;
    this->TakeRequest();
  }
  return used;
}

void Http1Connection::TakeRequest() {
  auto exchange = std::make_shared<Http1Exchange>(*this);
  HttpRequest &request = this->parser.Request();
  exchange->request_bytes = this->parser.BufferedBytes();
  exchange->head_only = request.method == "HEAD";
  exchange->version10 = this->parser.IsVersion10();
  // Bodies would make the requests that run side by side too large.
  exchange->pipelinable =
      request.body.empty() && (exchange->head_only || request.method == "GET");
  exchange->request = std::move(request);
  const bool keeps_alive = this->parser.KeepsAlive();
  this->parser.Reset();
  this->head_since = Time{};
  this->continue_sent = false;
  exchange->entry = this->server.sockets.BeginRequest(*this->sock);
  // After a stall the backlog holds connections whose callers have given up; a
  // response on a connection that is being closed could not be sent any more.
  const bool gone =
      exchange->entry == nullptr ||
      (!std::exchange(this->hang_up_checked, true) && HungUp(*this->sock));
  if (gone) {
    if (exchange->entry != nullptr)
      this->server.sockets.EndRequest(exchange->entry);
    this->Refuse(kServiceUnavailable);
    return;
  }
  ++this->server.in_progress;
  this->waiting_bytes += exchange->request_bytes;
  this->queue.push_back(exchange);
  if (!keeps_alive) this->closing = true;
  const bool runs =
      this->queue.size() == 1 ||
      (exchange->IsPipelinable() && this->queue.front()->IsPipelinable());
  if (runs) this->Dispatch(exchange);
}

void Http1Connection::Dispatch(const std::shared_ptr<Http1Exchange> &exchange) {
  // The handler may close this connection.
  const std::shared_ptr<Http1Exchange> held = exchange;
  held->state = ExchangeState::kRunning;
  held->handled_at = this->server.loop.GetClock().Now();
  this->waiting_bytes -= held->request_bytes;
  this->request_bytes += held->request_bytes;
  const bool handled = this->server.loop.Contain("request", [this, &held] {
    this->server.handler(std::exchange(held->request, {}), held);
  });
  // The handler may have executed the request; 502 doesn't rule that out.
  if (!handled) held->Send({kBadGateway, {}, {}});
}

void Http1Connection::Respond(Http1Exchange &exchange, HttpResponse response) {
  this->SetResponse(exchange, std::move(response));
  if (this->parsing) return;
  this->Flush();
  this->Update();
}

void Http1Connection::SetResponse(Http1Exchange &exchange,
                                  HttpResponse response) {
  exchange.state = ExchangeState::kReady;
  exchange.response = std::move(response);
  exchange.cancelled = nullptr;
  exchange.response_bytes = exchange.ResponseBytes();
  this->response_bytes += exchange.response_bytes;
  ++this->server.unwritten;
  if (exchange.entry == nullptr) return;
  this->request_bytes -= exchange.request_bytes;
  --this->server.in_progress;
}

void Http1Connection::Refuse(int status) {
  if (this->closing && !this->HasWaiting()) return;
  this->DropWaiting();
  this->DropInput();
  this->closing = true;
  this->dropped_input = true;
  auto refusal = std::make_shared<Http1Exchange>(*this);
  HttpResponse response{status, {}, {}};
  if (status == kServiceUnavailable)
    response.headers.push_back({"retry-after", "1"});
  this->SetResponse(*refusal, std::move(response));
  this->queue.push_back(std::move(refusal));
  if (this->parsing) return;
  this->Flush();
  this->Update();
}

void Http1Connection::EvictReceiving() {
  if (this->IsArriving() || this->HasWaiting()) {
    this->Refuse(kServiceUnavailable);
    return;
  }
  // Its request was handed over in the meantime, and gets its response.
  this->closing = true;
  if (this->queue.empty() && !this->writing)
    this->Close(CallerDisconnect::kConnectionEnded);
}

void Http1Connection::DropWaiting() {
  if (!this->HasWaiting()) return;
  const auto exchange = std::move(this->queue.back());
  this->queue.pop_back();
  exchange->connection = nullptr;
  this->waiting_bytes -= exchange->request_bytes;
  --this->server.in_progress;
  this->server.sockets.EndRequest(exchange->entry);
}

void Http1Connection::DropInput() {
  this->parser.Reset();
  this->pending = std::string{};
  this->unparsed = 0;
}

void Http1Connection::Flush() {
  if (this->sock == nullptr || this->writing) return;
  std::vector<h2o_iovec_t> parts;
  for (const auto &exchange : this->queue) {
    if (exchange->state != ExchangeState::kReady) break;
    exchange->SerializeHead(this->ClosesAfter(*exchange));
    exchange->state = ExchangeState::kWriting;
    parts.push_back(
        h2o_iovec_init(exchange->head.data(), exchange->head.size()));
    std::string &body = exchange->response.body;
    if (!body.empty())
      parts.push_back(h2o_iovec_init(body.data(), body.size()));
  }
  if (parts.empty()) {
    this->FlushContinue();
    return;
  }
  this->writing = true;
  h2o_socket_write(this->sock, parts.data(), parts.size(),
                   &Http1Connection::OnWritten);
}

void Http1Connection::FlushContinue() {
  const bool due = this->parser.AwaitsContinue() && this->queue.empty() &&
                   this->unparsed == 0 && !this->closing &&
                   !this->continue_sent;
  if (!due) return;
  this->continue_sent = true;
  this->last_read = this->server.loop.GetClock().Now();
  h2o_iovec_t text =
      h2o_iovec_init(H2O_STRLIT("HTTP/1.1 100 Continue\r\n\r\n"));
  this->writing = true;
  h2o_socket_write(this->sock, &text, 1, &Http1Connection::OnWritten);
}

bool Http1Connection::ClosesAfter(const Http1Exchange &exchange) {
  if (&exchange != this->queue.back().get()) return false;
  // A request that has been received during a drain still gets its response.
  if (!this->closing && this->server.draining && !this->IsArriving())
    this->closing = !HasUnread(*this->sock);
  return this->closing;
}

void Http1Connection::HandleWritten(const char *error) {
  this->writing = false;
  if (error != nullptr) {
    this->Close(CallerDisconnect::kConnectionEnded);
    return;
  }
  this->active_at = this->server.loop.GetClock().Now();
  while (!this->queue.empty() &&
         this->queue.front()->state == ExchangeState::kWriting) {
    const auto exchange = std::move(this->queue.front());
    this->queue.pop_front();
    exchange->connection = nullptr;
    this->response_bytes -= exchange->response_bytes;
    --this->server.unwritten;
    if (exchange->entry != nullptr)
      this->server.sockets.EndRequest(exchange->entry);
  }
  this->Continue();
}

void Http1Connection::Continue() {
  if (this->queue.empty() && this->closing) {
    this->Finish();
    return;
  }
  if (!this->queue.empty() &&
      this->queue.front()->state == ExchangeState::kWaiting) {
    this->hang_up_checked = true;
    if (HungUp(*this->sock)) {
      this->Refuse(kServiceUnavailable);
      return;
    }
    this->Dispatch(this->queue.front());
    if (this->sock == nullptr) return;
  }
  if (!this->pending.empty() && this->MayParse()) {
    this->hang_up_checked = false;
    this->Consume({});
    if (this->sock == nullptr) return;
  }
  this->Flush();
  this->Update();
}

void Http1Connection::Finish() {
  const bool lingers =
      !this->peer_ended &&
      (this->dropped_input || this->server.draining || HasUnread(*this->sock));
  if (!lingers) {
    this->Close(CallerDisconnect::kConnectionEnded);
    return;
  }
  this->lingering = true;
  this->linger_until = this->server.loop.GetClock().Now() + kLingerTime;
  shutdown(h2o_socket_get_fd(this->sock), SHUT_WR);
  this->Update();
}

void Http1Connection::HandOver(std::string_view received) {
  h2o_socket_t *given = std::exchange(this->sock, nullptr);
  const h2o_iovec_t space = h2o_buffer_reserve(&given->input, received.size());
  std::memcpy(space.base, received.data(), received.size());
  given->input->size += received.size();
  h2o_socket_dont_read(given, 0);
  this->server.Remove(*this);
  this->server.take_http2(given);
}

}  // namespace pollenring::internal
