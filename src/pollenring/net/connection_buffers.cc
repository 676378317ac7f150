#include "pollenring/net/connection_buffers.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "pollenring/log/log.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"
#include "pollenring/net/server_connections.h"

namespace pollenring {
namespace {

/*! @brief Interval of checks of connections that wait. */
constexpr Duration kSweepInterval = std::chrono::milliseconds{20};
constexpr Duration kLogInterval = std::chrono::seconds{1};
/*! @brief Size from which an empty input buffer is freed. */
constexpr std::size_t kMaxEmptyBuffer = std::size_t{64} * 1024;
constexpr std::string_view kHttp2Preface{"PRI * HTTP/2"};
/*! @brief Bytes that one read may add, as a part of the budget. All callers may
 * send at once, so that a read must be small against what remains beside the
 * budget; the maximum carries 200 Mbit/s over 20 ms. */
constexpr std::size_t kReadDivisor = 256;
/*! @brief What a request allocates beside its body, in h2o's pool and in the
 * handler's copies of its head. */
constexpr std::size_t kRequestBytes = std::size_t{16} * 1024;
constexpr std::size_t kMinRead = std::size_t{64} * 1024;
constexpr std::size_t kMaxRead = std::size_t{512} * 1024;

[[nodiscard]] std::size_t InputBytes(const h2o_socket_t &sock) {
  return sock.input->size == 0 ? 0 : sock.input->capacity;
}

}  // namespace

ServerBuffers::ServerBuffers(Loop &loop, BufferBudget *budget,
                             std::function<void(const Eviction &)> evict_other)
    : loop{loop}, budget{budget}, evict_other{std::move(evict_other)} {
  if (this->budget == nullptr) return;
  const std::weak_ptr<bool> weak_alive = this->alive;
  loop.Every(kSweepInterval, [this, weak_alive] {
    if (!weak_alive.expired()) this->Sweep();
  });
}

std::shared_ptr<ConnectionBuffers> ServerBuffers::Follow(h2o_socket_t *sock) {
  if (this->budget == nullptr) return nullptr;
  auto buffers = std::make_shared<ConnectionBuffers>(*this, sock);
  this->open[buffers->id] = buffers.get();
  const int size = static_cast<int>(
      std::clamp(this->budget->MaxBytes() / kReadDivisor, kMinRead, kMaxRead));
  setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_RCVBUF, &size,
             sizeof(size));
  return buffers;
}

void ServerBuffers::Sweep() {
  const std::vector<BufferBudget::ConnectionId> ids{this->unread.begin(),
                                                    this->unread.end()};
  for (const auto id : ids) {
    const auto found = this->open.find(id);
    if (found != this->open.end()) found->second->Update();
  }
  this->Apply();
}

void ServerBuffers::Apply(const ConnectionBuffers *busy) {
  for (const Eviction &eviction : this->budget->Enforce()) {
    const auto found = this->open.find(eviction.id);
    if (found == this->open.end()) {
      this->evict_other(eviction);
      continue;
    }
    if (found->second != busy) {
      found->second->Evict(eviction.reason);
      continue;
    }
    this->loop.Post([weak = busy->weak_from_this(), reason = eviction.reason] {
      const auto evicted =
          std::const_pointer_cast<ConnectionBuffers>(weak.lock());
      if (evicted) evicted->Evict(reason);
    });
  }
  this->LogEvictions();
  const BufferCounts &counts = this->budget->Counts();
  const bool changed =
      this->pauses_seen != counts.pauses || this->paused_seen != counts.paused;
  if (!changed) return;
  this->pauses_seen = counts.pauses;
  this->paused_seen = counts.paused;
  for (const auto &[id, buffers] : this->open) buffers->FollowRead();
}

void ServerBuffers::ScheduleApply() {
  if (std::exchange(this->scheduled, true)) return;
  const std::weak_ptr<bool> weak_alive = this->alive;
  this->loop.Post([this, weak_alive] {
    if (weak_alive.expired()) return;
    this->scheduled = false;
    this->Apply();
  });
}

void ServerBuffers::LogEvictions() {
  const BufferCounts &counts = this->budget->Counts();
  std::uint64_t evictions = 0;
  for (const std::uint64_t count : counts.evicted) evictions += count;
  const Time now = this->loop.GetClock().Now();
  const bool due = now - this->logged_at >= kLogInterval;
  if (evictions == this->evictions_logged || !due) return;
  LogEvent(LogLevel::kWarning, "callers evicted for room",
           {{"evicted", evictions - this->evictions_logged},
            {"buffered_bytes", counts.total},
            {"max_bytes", this->budget->MaxBytes()},
            {"paused", counts.paused}});
  this->evictions_logged = evictions;
  this->logged_at = now;
}

ConnectionBuffers::ConnectionBuffers(ServerBuffers &owner, h2o_socket_t *sock)
    : owner{owner}, sock{sock}, id{owner.budget->Open()} {}

void ConnectionBuffers::Closed() {
  this->sock = nullptr;
  this->owner.open.erase(this->id);
  this->owner.unread.erase(this->id);
  this->owner.budget->Close(this->id);
  if (this->owner.paused_seen > 0) this->owner.ScheduleApply();
}

void ConnectionBuffers::BeginRequest(std::size_t bytes) {
  ++this->requests;
  this->copied += bytes;
  this->Charge();
  // Makes room before the handler refuses for want of it.
  this->owner.Apply(this);
}

void ConnectionBuffers::EndRequest(std::size_t bytes) {
  --this->requests;
  this->copied -= bytes;
  if (this->sock == nullptr) return;
  // h2o reads the next request after this call.
  this->owner.loop.Post([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->Update();
  });
}

void ConnectionBuffers::BeginResponse(std::size_t bytes) {
  this->responses += bytes;
  this->owner.budget->Set(this->id, BufferRole::kToCallers, this->responses);
  this->owner.ScheduleApply();
}

void ConnectionBuffers::Written(std::size_t bytes) {
  this->owner.budget->RecordWritten(this->id, bytes);
}

void ConnectionBuffers::EndResponse(std::size_t bytes) {
  this->responses -= bytes;
  this->owner.budget->Set(this->id, BufferRole::kToCallers, this->responses);
}

void ConnectionBuffers::Update() {
  if (this->sock == nullptr) return;
  const bool wasteful = this->sock->input->size == 0 &&
                        this->sock->input->capacity > kMaxEmptyBuffer;
  if (wasteful) {
    h2o_buffer_dispose(&this->sock->input);
    h2o_buffer_init(&this->sock->input, &h2o_socket_buffer_prototype);
  }
  this->Charge();
  this->FollowRead();
}

void ConnectionBuffers::OnRead(h2o_socket_t *sock, const char *error) {
  const auto self = ServerConnections::BuffersOf(*sock);
  if (error == nullptr) self->CountHttp2();
  self->original(sock, error);
  if (self->sock == nullptr) return;
  self->Update();
  self->owner.Apply();
}

void ConnectionBuffers::CountHttp2() {
  const h2o_buffer_t &input = *this->sock->input;
  // Of the last read; HTTP/1.1 leaves an incomplete preface in the buffer.
  std::size_t added = this->sock->bytes_read;
  const bool begins =
      !this->http2 && input.size >= kHttp2Preface.size() &&
      std::string_view{input.bytes, kHttp2Preface.size()} == kHttp2Preface;
  if (begins) {
    this->http2.emplace();
    added = input.size;
  }
  if (!this->http2) return;
  added = std::min(added, input.size);
  this->http2->Feed({input.bytes + input.size - added, added});
}

void ConnectionBuffers::BeginHttp2() {
  const h2o_buffer_t &input = *this->sock->input;
  this->http2.emplace();
  this->http2->Feed({input.bytes, input.size});
}

void ConnectionBuffers::Charge() {
  if (this->sock == nullptr) return;
  std::size_t receiving = InputBytes(*this->sock);
  std::size_t held = this->copied + this->requests * kRequestBytes;
  if (this->http2) {
    // h2o keeps each body too.
    receiving += this->http2->Bytes();
    held += this->copied;
  } else if (this->requests > 0) {
    held += std::exchange(receiving, 0);
  }
  this->owner.budget->Set(this->id, BufferRole::kReceiving, receiving);
  this->owner.budget->Set(this->id, BufferRole::kHeld, held);
}

void ConnectionBuffers::FollowRead() {
  if (this->sock == nullptr) return;
  const bool may_read = this->owner.budget->MayRead(this->id);
  if (this->sock->_cb.read != nullptr) {
    this->paused = false;
    if (this->sock->_cb.read != &ConnectionBuffers::OnRead) {
      this->original = this->sock->_cb.read;
      this->sock->_cb.read = &ConnectionBuffers::OnRead;
    }
    if (!may_read) {
      h2o_socket_read_stop(this->sock);
      this->paused = true;
    }
  } else if (this->paused && may_read) {
    h2o_socket_read_start(this->sock, &ConnectionBuffers::OnRead);
    this->paused = false;
  }
  const bool reads = this->sock->_cb.read != nullptr || this->paused;
  if (reads) {
    this->owner.unread.erase(this->id);
  } else {
    this->owner.unread.insert(this->id);
  }
}

void ConnectionBuffers::Evict(EvictionReason reason) {
  if (this->sock == nullptr) return;
  const int fd = h2o_socket_get_fd(this->sock);
  if (reason == EvictionReason::kToCallers) {
    // A reset, so that a response without its end isn't taken as complete.
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  shutdown(fd, SHUT_RDWR);
  // Without a read, h2o finds the end when it writes, or the server when it
  // checks for a hang-up.
  const bool reads = this->sock->_cb.read != nullptr || this->paused;
  if (!reads) return;
  this->FollowRead();
  this->paused = false;
  this->original(this->sock, h2o_socket_error_closed);
}

}  // namespace pollenring
