#include "support/rejecting_target.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <string_view>
#include <utility>

#include "pollenring/net/listen.h"

namespace support {
namespace {

constexpr std::string_view kIdHeader = "x-pollenring-attempt-id:";
constexpr std::string_view kLengthHeader = "content-length:";

/*! @brief Value of a header in a request's head. */
[[nodiscard]] std::string HeaderOf(const std::string &head,
                                   std::string_view name) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const auto found = lower.find(name);
  if (found == std::string::npos) return {};
  const auto begin = head.find_first_not_of(' ', found + name.size());
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

[[nodiscard]] bool SendAll(int fd, const std::string &bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

/*! @brief Reads bytes until a text holds so many. @return False at the end of
 * the connection. */
[[nodiscard]] bool Fill(int fd, std::string &received, std::size_t size) {
  while (received.size() < size) {
    std::array<char, 4096> buffer{};
    const auto got = recv(fd, buffer.data(), buffer.size(), 0);
    if (got <= 0) return false;
    received.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return true;
}

/*! @brief Reads one request. @return Its identifier; empty at the end of the
 * connection. */
[[nodiscard]] std::string ReadRequest(int fd, std::string &received) {
  while (received.find("\r\n\r\n") == std::string::npos) {
    if (!Fill(fd, received, received.size() + 1)) return {};
  }
  const std::size_t head_size = received.find("\r\n\r\n") + 4;
  const std::string head = received.substr(0, head_size);
  const std::string length = HeaderOf(head, kLengthHeader);
  const std::size_t size =
      head_size + (length.empty() ? 0 : std::stoul(length));
  if (!Fill(fd, received, size)) return {};
  received.erase(0, size);
  return HeaderOf(head, kIdHeader);
}

[[nodiscard]] std::string Response(const std::string &status,
                                   const std::string &id,
                                   const std::string &header) {
  return "HTTP/1.1 " + status + "\r\nx-pollenring-attempt-id: " + id + "\r\n" +
         header + "\r\ncontent-length: 0\r\n\r\n";
}

}  // namespace

RejectingTarget::RejectingTarget(const pollenring::Address &address,
                                 std::set<std::string> rejected, bool faulty)
    : pending{std::move(rejected)},
      faulty{faulty},
      listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = address.Native();
  const bool listening =
      bind(this->listener, reinterpret_cast<const sockaddr *>(&native),
           sizeof(native)) == 0 &&
      listen(this->listener, SOMAXCONN) == 0;
  if (!listening) {
    const int code = errno;
    close(this->listener);
    throw pollenring::ListenError{pollenring::Transport::kTcp, address, code};
  }
  this->acceptor = std::thread{[this] { this->Accept(); }};
}

RejectingTarget::~RejectingTarget() {
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  {
    const std::lock_guard<std::mutex> lock{this->mutex};
    for (const int fd : this->open) shutdown(fd, SHUT_RDWR);
  }
  for (auto &connection : this->connections) connection.join();
  for (const int fd : this->open) close(fd);
  close(this->listener);
}

std::map<std::string, int> RejectingTarget::Runs() {
  const std::lock_guard<std::mutex> lock{this->mutex};
  return this->runs;
}

int RejectingTarget::Rejected() {
  const std::lock_guard<std::mutex> lock{this->mutex};
  return this->rejections;
}

int RejectingTarget::Repeated() {
  const std::lock_guard<std::mutex> lock{this->mutex};
  return this->repeated;
}

void RejectingTarget::Accept() {
  while (true) {
    const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    const std::lock_guard<std::mutex> lock{this->mutex};
    this->open.push_back(fd);
    this->connections.emplace_back([this, fd] { this->Serve(fd); });
  }
}

bool RejectingTarget::Rejects(const std::string &id) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  if (this->pending.erase(id) > 0) {
    ++this->rejections;
    return true;
  }
  ++this->runs[id];
  return false;
}

void RejectingTarget::Serve(int fd) {
  std::string received;
  std::string late; /* Sent before the next response. */
  while (true) {
    const std::string id = ReadRequest(fd, received);
    if (id.empty()) break;
    if (!late.empty()) {
      const std::lock_guard<std::mutex> lock{this->mutex};
      ++this->repeated;
      if (!SendAll(fd, std::exchange(late, {}))) break;
    }
    if (this->Rejects(id)) {
      const std::string rejection = Response("503 Service Unavailable", id,
                                             "x-pollenring-not-executed: 1");
      if (this->faulty) late = rejection;
      if (!SendAll(fd, rejection)) break;
      continue;
    }
    if (!SendAll(fd, Response("200 OK", id,
                              "x-pollenring-response-stamp: stamp." + id)))
      break;
  }
  shutdown(fd, SHUT_RDWR);
}

}  // namespace support
