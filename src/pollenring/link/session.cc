#include "pollenring/link/session.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

constexpr std::uint32_t kStreamWindowBytes = 1U << 20U;
constexpr std::int32_t kConnectionWindowBytes = 1 << 24;
constexpr std::uint32_t kMaxConcurrentStreams = 100'000;
constexpr std::size_t kMaxWriteBytes = std::size_t{256} * 1024;
constexpr std::string_view kSecretHeader = "pr-secret";
/*! @brief Type of the frame that withdraws a message; it has no payload. Types
 * from 0xf0 on are for private use (RFC 7540, 11.2). */
constexpr std::uint8_t kWithdrawFrame = 0xf0;

[[nodiscard]] nghttp2_nv Field(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

struct Session::Callbacks {
  static Session *Self(void *user) { return static_cast<Session *>(user); }

  static int OnHeader(nghttp2_session * /*native*/, const nghttp2_frame *frame,
                      const std::uint8_t *name, std::size_t name_size,
                      const std::uint8_t *value, std::size_t value_size,
                      std::uint8_t /*flags*/, void *user) {
    const std::string_view key{reinterpret_cast<const char *>(name), name_size};
    const std::string_view text{reinterpret_cast<const char *>(value),
                                value_size};
    Stream &stream = Self(user)->StreamOf(frame->hd.stream_id);
    if (key == ":path") stream.path = text.substr(1);
    if (key == kSecretHeader) stream.secret = text;
    return 0;
  }

  static int OnData(nghttp2_session *native, std::uint8_t /*flags*/,
                    std::int32_t stream_id, const std::uint8_t *data,
                    std::size_t size, void *user) {
    Stream &stream = Self(user)->StreamOf(stream_id);
    if (!Self(user)->Accepts(stream)) return NGHTTP2_ERR_CALLBACK_FAILURE;
    stream.received.append(reinterpret_cast<const char *>(data), size);
    if (stream.received.size() <= Self(user)->max_body_bytes) return 0;
    stream.received.clear();
    return nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, stream_id,
                                     NGHTTP2_REFUSED_STREAM);
  }

  static int OnFrame(nghttp2_session * /*native*/, const nghttp2_frame *frame,
                     void *user) {
    if (frame->hd.type == kWithdrawFrame) {
      Self(user)->OnWithdraw(frame->hd.stream_id);
      return 0;
    }
    const bool carries_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!carries_message) return 0;
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return 0;
    Stream &stream = Self(user)->StreamOf(frame->hd.stream_id);
    stream.complete = true;
    Self(user)->OnMessage(frame->hd.stream_id, stream);
    return 0;
  }

  static ssize_t PackWithdrawal(nghttp2_session * /*native*/,
                                std::uint8_t * /*buffer*/, std::size_t /*size*/,
                                const nghttp2_frame * /*frame*/,
                                void * /*user*/) {
    return 0;
  }

  static int UnpackWithdrawal(nghttp2_session * /*native*/, void **payload,
                              const nghttp2_frame_hd * /*header*/,
                              void * /*user*/) {
    *payload = nullptr;
    return 0;
  }

  static int OnStreamClose(nghttp2_session * /*native*/, std::int32_t stream_id,
                           std::uint32_t code, void *user) {
    Session *self = Self(user);
    const auto found = self->streams.find(stream_id);
    if (found == self->streams.end()) return 0;
    auto node = self->streams.extract(found);
    self->OnStreamEnd(stream_id, node.mapped(), code == NGHTTP2_REFUSED_STREAM);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session * /*native*/, std::int32_t stream_id,
                          std::uint8_t *buffer, std::size_t size,
                          std::uint32_t *flags, nghttp2_data_source * /*src*/,
                          void *user) {
    Stream &stream = Self(user)->StreamOf(stream_id);
    const std::size_t left = stream.out.size() - stream.out_offset;
    const std::size_t count = std::min(left, size);
    std::memcpy(buffer, stream.out.data() + stream.out_offset, count);
    stream.out_offset += count;
    if (stream.out_offset == stream.out.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
  }
};

Session::Session(Loop &loop, Role role, std::size_t max_body_bytes)
    : loop{loop}, max_body_bytes{max_body_bytes} {
  nghttp2_session_callbacks *callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   &Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, &Callbacks::OnStreamClose);
  nghttp2_session_callbacks_set_pack_extension_callback(
      callbacks, &Callbacks::PackWithdrawal);
  nghttp2_session_callbacks_set_unpack_extension_callback(
      callbacks, &Callbacks::UnpackWithdrawal);
  nghttp2_option *options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_user_recv_extension_type(options, kWithdrawFrame);
  if (role == Role::kClient) {
    nghttp2_session_client_new2(&this->native, callbacks, this, options);
  } else {
    nghttp2_session_server_new2(&this->native, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
}

Session::~Session() {
  if (this->socket != nullptr) h2o_socket_close(this->socket);
  nghttp2_session_del(this->native);
}

void Session::Attach(st_h2o_socket_t *attached) {
  this->socket = attached;
  this->socket->data = this;
  h2o_socket_read_start(this->socket, [](h2o_socket_t *sock, const char *err) {
    const auto self = static_cast<Session *>(sock->data)->shared_from_this();
    const bool read = self->loop.Contain("stream", [&] { self->OnRead(err); });
    // The state of the session's input is unknown after an error.
    if (!read) self->Close();
  });
}

void Session::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 2> entries{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
  }};
  nghttp2_submit_settings(this->native, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(this->native, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  this->ScheduleFlush();
}

std::int32_t Session::SubmitRequest(std::string_view path,
                                    std::string_view secret, std::string body) {
  const std::string absolute = "/" + std::string{path};
  const std::array<nghttp2_nv, 5> fields{{
      Field(":method", "POST"),
      Field(":scheme", "http"),
      Field(":authority", "node"),
      Field(":path", absolute),
      Field(kSecretHeader, secret),
  }};
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::ReadBody;
  const std::int32_t stream_id = nghttp2_submit_request(
      this->native, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (stream_id < 0) return stream_id;
  this->StreamOf(stream_id).out = std::move(body);
  this->ScheduleFlush();
  return stream_id;
}

void Session::SubmitResponse(std::int32_t stream_id, std::string body) {
  const std::array<nghttp2_nv, 1> fields{{Field(":status", "200")}};
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::ReadBody;
  this->StreamOf(stream_id).out = std::move(body);
  nghttp2_submit_response(this->native, stream_id, fields.data(), fields.size(),
                          &provider);
  this->ScheduleFlush();
}

void Session::Reset(std::int32_t stream_id, std::uint32_t code) {
  nghttp2_submit_rst_stream(this->native, NGHTTP2_FLAG_NONE, stream_id, code);
  this->ScheduleFlush();
}

void Session::SubmitWithdrawal(std::int32_t stream_id) {
  nghttp2_submit_extension(this->native, kWithdrawFrame, NGHTTP2_FLAG_NONE,
                           stream_id, nullptr);
  this->ScheduleFlush();
}

void Session::Ping() {
  nghttp2_submit_ping(this->native, NGHTTP2_FLAG_NONE, nullptr);
  this->ScheduleFlush();
}

void Session::ScheduleFlush() {
  if (this->flush_scheduled) return;
  this->flush_scheduled = true;
  this->loop.Post([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->flush_scheduled = false;
    self->Flush();
  });
}

void Session::Close() {
  if (std::exchange(this->closed, true)) return;
  const auto self = this->shared_from_this();
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
  std::unordered_map<std::int32_t, Stream> ended;
  ended.swap(this->streams);
  for (auto &[stream_id, stream] : ended) {
    this->OnStreamEnd(stream_id, stream, false);
  }
  this->OnClosed();
  // Keeps the object alive, as the caller may be in one of its callbacks.
  this->loop.Post([self] {});
}

void Session::OnRead(const char *error) {
  if (error != nullptr) {
    this->Close();
    return;
  }
  this->last_received = this->loop.GetClock().Now();
  const auto self = this->shared_from_this();
  h2o_buffer_t **input = &this->socket->input;
  const ssize_t used = nghttp2_session_mem_recv(
      this->native, reinterpret_cast<const std::uint8_t *>((*input)->bytes),
      (*input)->size);
  if (this->closed) return;
  if (used < 0) {
    this->Close();
    return;
  }
  h2o_buffer_consume(&this->socket->input, static_cast<std::size_t>(used));
  const bool finished = nghttp2_session_want_read(this->native) == 0 &&
                        nghttp2_session_want_write(this->native) == 0;
  if (finished) {
    this->Close();
    return;
  }
  this->ScheduleFlush();
}

void Session::Flush() {
  if (this->closed || this->writing || this->socket == nullptr) return;
  this->writing_data.clear();
  while (this->writing_data.size() < kMaxWriteBytes) {
    const std::uint8_t *data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->native, &data);
    if (size < 0) {
      this->Close();
      return;
    }
    if (size == 0) break;
    this->writing_data.append(reinterpret_cast<const char *>(data),
                              static_cast<std::size_t>(size));
  }
  if (this->writing_data.empty()) return;
  this->writing = true;
  h2o_iovec_t buffer{this->writing_data.data(), this->writing_data.size()};
  h2o_socket_write(this->socket, &buffer, 1,
                   [](h2o_socket_t *sock, const char *err) {
                     auto *self = static_cast<Session *>(sock->data);
                     self->writing = false;
                     if (err != nullptr) {
                       self->Close();
                       return;
                     }
                     self->Flush();
                   });
}

Session::Stream &Session::StreamOf(std::int32_t stream_id) {
  return this->streams[stream_id];
}

}  // namespace pollenring
