#include "support/crashing_target.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "pollenring/net/listen.h"

namespace support {
namespace {

constexpr std::string_view kHeadEnd{"\r\n\r\n"};
constexpr std::string_view kIdHeader{"x-pollenring-attempt-id: "};

[[nodiscard]] std::string Between(const std::string &text,
                                  std::string_view after,
                                  std::string_view before) {
  const auto start = text.find(after);
  if (start == std::string::npos) return {};
  const auto from = start + after.size();
  return text.substr(from, text.find(before, from) - from);
}

}  // namespace

CrashingTarget::CrashingTarget(pollenring::Loop &loop,
                               const pollenring::Address &address,
                               CrashingTargetOptions options)
    : loop{loop}, address{address}, options{std::move(options)} {
  this->Open();
}

void CrashingTarget::Open() {
  const int fd = pollenring::ListenTcp(this->address);
  this->listener = h2o_evloop_socket_create(this->loop.Native(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
  this->listener->data = this;
  h2o_socket_read_start(this->listener, [](h2o_socket_t *sock, const char *) {
    static_cast<CrashingTarget *>(sock->data)->Accept();
  });
}

void CrashingTarget::Close() {
  *std::exchange(this->life, std::make_shared<bool>(true)) = false;
  if (this->listener != nullptr)
    h2o_socket_close(std::exchange(this->listener, nullptr));
  for (const auto &[sock, connection] : std::exchange(this->connections, {}))
    h2o_socket_close(sock);
}

void CrashingTarget::Crash() {
  if (!this->Listening()) return;
  this->crashes.push_back(this->loop.GetClock().Now());
  this->Close();
  this->loop.After(this->options.down_for, [this, life = this->life] {
    if (*life) this->Open();
  });
}

void CrashingTarget::Accept() {
  while (h2o_socket_t *sock = h2o_evloop_socket_accept(this->listener)) {
    auto connection = std::make_unique<Connection>();
    connection->owner = this;
    connection->sock = sock;
    sock->data = connection.get();
    this->connections.emplace(sock, std::move(connection));
    h2o_socket_read_start(sock, [](h2o_socket_t *readable, const char *error) {
      auto *held = static_cast<Connection *>(readable->data);
      held->owner->Read(*held, error);
    });
  }
}

void CrashingTarget::Read(Connection &connection, const char *error) {
  if (error != nullptr) {
    h2o_socket_t *sock = connection.sock;
    this->connections.erase(sock);
    h2o_socket_close(sock);
    return;
  }
  h2o_buffer_t **input = &connection.sock->input;
  connection.received.append((*input)->bytes, (*input)->size);
  h2o_buffer_consume(input, (*input)->size);
  const auto end = connection.received.find(kHeadEnd);
  if (end == std::string::npos) return;
  const std::string head = connection.received.substr(0, end + 2);
  connection.received.erase(0, end + kHeadEnd.size());
  this->Begin(connection, head);
}

void CrashingTarget::Begin(Connection &connection, const std::string &head) {
  const std::string path = Between(head, " ", " ");
  ++this->started[path];
  const bool crashes = this->options.crashing_paths.count(path) > 0;
  if (crashes) this->crashing_started.push_back(this->loop.GetClock().Now());
  this->loop.After(this->options.run_time,
                   [this, life = this->life, crashes, sock = connection.sock,
                    id = Between(head, kIdHeader, "\r\n")] {
                     if (!*life) return;
                     if (crashes) {
                       this->Crash();
                     } else {
                       this->Finish(sock, id);
                     }
                   });
}

void CrashingTarget::Finish(h2o_socket_t *sock, const std::string &id) {
  const auto found = this->connections.find(sock);
  if (found == this->connections.end()) return;
  std::string &output = found->second->output;
  output = "HTTP/1.1 200 OK\r\n" + std::string{kIdHeader} + id +
           "\r\nx-pollenring-response-stamp: s\r\ncontent-length: 2\r\n\r\nok";
  h2o_iovec_t buffer = h2o_iovec_init(output.data(), output.size());
  h2o_socket_write(sock, &buffer, 1, [](h2o_socket_t *, const char *) {});
}

}  // namespace support
