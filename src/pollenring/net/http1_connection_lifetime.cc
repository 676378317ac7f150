// Time-outs, hang-ups and the end of HTTP/1.x connections.

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/hang_up.h"
#include "pollenring/net/http1_connection.h"
#include "pollenring/net/http1_server.h"
#include "pollenring/net/loop.h"

namespace pollenring::internal {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kBadGateway = 502;
/*! @brief Age of a request from which a hang-up ends it. */
constexpr Duration kHangUpAge = std::chrono::milliseconds{100};

}  // namespace

bool Http1Connection::MayParse() const noexcept {
  const HttpServerLimits &limits = this->server.limits;
  return !this->closing && this->queue.size() < limits.max_pipelined &&
         this->response_bytes <= limits.max_unwritten_bytes &&
         !this->HasWaiting();
}

bool Http1Connection::IsArriving() const noexcept {
  return this->unparsed > 0 || this->parser.HasHead();
}

bool Http1Connection::HasWaiting() const noexcept {
  return !this->queue.empty() &&
         this->queue.back()->state == ExchangeState::kWaiting;
}

bool Http1Connection::IsHungUp() {
  // While the connection is read, the end of the stream is read as well.
  return this->peer_ended || (!this->reading && HungUp(*this->sock));
}

void Http1Connection::Update() {
  if (this->sock == nullptr) return;
  bool reads = !this->peer_ended;
  if (this->closing) {
    reads = reads && (this->lingering || !this->dropped_input);
  } else {
    reads = reads && this->MayParse() &&
            (this->budget_id == 0 ||
             this->server.limits.budget->MayRead(this->budget_id));
  }
  if (reads && !this->reading) {
    // The caller isn't charged with the time in which nothing was read.
    this->last_read = this->server.loop.GetClock().Now();
    h2o_socket_read_start(this->sock, &Http1Connection::OnReadable);
  } else if (!reads && this->reading) {
    h2o_socket_read_stop(this->sock);
  }
  this->reading = reads;
  const bool arriving = this->IsArriving();
  if (arriving != this->reported_arriving) {
    this->reported_arriving = arriving;
    ServerConnections::SetArriving(*this->sock, arriving);
  }
  if (this->budget_id != 0) this->ReportBuffers();
}

void Http1Connection::ReportBuffers() {
  constexpr std::array kRoles{BufferRole::kReceiving, BufferRole::kHeld,
                              BufferRole::kToCallers};
  const std::array<std::size_t, kRoles.size()> bytes{
      this->pending.size() + this->parser.BufferedBytes() + this->waiting_bytes,
      this->request_bytes, this->response_bytes};
  for (std::size_t i = 0; i < kRoles.size(); ++i) {
    if (bytes[i] == this->reported[i]) continue;
    if (bytes[i] > this->reported[i]) this->server.ScheduleEnforce();
    this->reported[i] = bytes[i];
    this->server.limits.budget->Set(this->budget_id, kRoles[i], bytes[i]);
  }
}

void Http1Connection::Sweep(Time now) {
  if (this->lingering) {
    if (now >= this->linger_until)
      this->Close(CallerDisconnect::kConnectionEnded);
    return;
  }
  const auto running = std::find_if(
      this->queue.begin(), this->queue.end(), [](const auto &exchange) {
        return exchange->state == ExchangeState::kRunning;
      });
  if (running != this->queue.end()) {
    const bool old = now - (*running)->handled_at >= kHangUpAge;
    if (old && this->IsHungUp()) this->EndHungUp();
  } else if (this->queue.empty() && !this->writing) {
    this->CheckTimeouts(now);
  }
  // The buffer budget may let the connection read again.
  this->Update();
}

void Http1Connection::CheckTimeouts(Time now) {
  const HttpServerLimits &limits = this->server.limits;
  if (this->IsHungUp()) {
    this->Close(CallerDisconnect::kHungUp);
  } else if (!this->IsArriving()) {
    if (now - this->active_at >= limits.idle_timeout)
      this->Close(CallerDisconnect::kConnectionEnded);
  } else if (this->reading) {
    const Time since =
        this->parser.HasHead() ? this->last_read : this->head_since;
    if (now - since >= limits.header_timeout) this->Refuse(kRequestTimeout);
  }
}

void Http1Connection::EndHungUp() {
  std::vector<Responder::Cancelled> callbacks;
  this->DropWaiting();
  this->DropInput();
  this->closing = true;
  for (const auto &exchange : this->queue) {
    if (exchange->state != ExchangeState::kRunning) continue;
    if (exchange->cancelled)
      callbacks.push_back(std::exchange(exchange->cancelled, nullptr));
    // 502, since the request may have been executed.
    this->SetResponse(*exchange, {kBadGateway, {}, {}});
  }
  this->Flush();
  this->Update();
  for (const auto &callback : callbacks) {
    this->server.loop.Contain(
        "hang-up", [&callback] { callback(CallerDisconnect::kHungUp); });
  }
}

void Http1Connection::Reset() {
  if (this->sock == nullptr) return;
  const linger reset_on_close{1, 0};
  setsockopt(h2o_socket_get_fd(this->sock), SOL_SOCKET, SO_LINGER,
             &reset_on_close, sizeof(reset_on_close));
  this->Close(CallerDisconnect::kConnectionEnded);
}

void Http1Connection::Close(CallerDisconnect disconnect) {
  if (this->sock == nullptr) return;
  h2o_socket_close(std::exchange(this->sock, nullptr));
  const auto callbacks = this->Detach();
  this->server.Remove(*this);
  for (const auto &callback : callbacks) {
    this->server.loop.Contain(
        "hang-up", [&callback, disconnect] { callback(disconnect); });
  }
}

void Http1Connection::Abandon() {
  h2o_socket_close(std::exchange(this->sock, nullptr));
  // Dropped without a call: the owner is being destroyed.
  const auto callbacks = this->Detach();
  this->server.Remove(*this);
}

std::vector<Responder::Cancelled> Http1Connection::Detach() {
  std::vector<Responder::Cancelled> callbacks;
  for (const auto &exchange : std::exchange(this->queue, {})) {
    exchange->connection = nullptr;
    const bool unanswered = exchange->state == ExchangeState::kWaiting ||
                            exchange->state == ExchangeState::kRunning;
    --(unanswered ? this->server.in_progress : this->server.unwritten);
    if (exchange->cancelled)
      callbacks.push_back(std::exchange(exchange->cancelled, nullptr));
    if (exchange->entry != nullptr)
      this->server.sockets.EndRequest(exchange->entry);
  }
  return callbacks;
}

}  // namespace pollenring::internal
