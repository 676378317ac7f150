#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 256 * 1024;
constexpr Millis kIdleTimeout{60'000};

sockaddr_in Native(const Endpoint &at) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &native.sin_addr);
  return native;
}

int Bind(const Endpoint &at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = Native(at);
  const auto *address = reinterpret_cast<const sockaddr *>(&native);
  if (bind(fd, address, sizeof(native)) == 0) return fd;
  close(fd);
  return -1;
}

std::string FormatFields(const Message &message) {
  std::string text;
  for (const auto &[name, value] : message.headers)
    text += name + ": " + value + "\r\n";
  return text + "\r\n";
}

}  // namespace

Connection::~Connection() { close(this->fd); }

bool Connection::Fill(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  if (left <= 0) return false;
  pollfd waiting{this->fd, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
  const std::size_t before = this->buffer.size();
  this->buffer.resize(before + kReadBytes);
  const ssize_t got = recv(this->fd, &this->buffer[before], kReadBytes, 0);
  this->buffer.resize(before +
                      static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  return got > 0;
}

bool Connection::ReadHead(Message &message, Millis timeout) {
  const auto until = Clock::now() + timeout;
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) return false;
  }
  const std::string head = this->buffer.substr(0, end + 2);
  this->buffer.erase(0, end + 4);
  message = Message{};
  std::size_t at = head.find("\r\n");
  const std::string first = head.substr(0, at);
  const std::size_t space = first.find(' ');
  const std::size_t second = first.find(' ', space + 1);
  message.method = first.substr(0, space);
  message.path = first.substr(space + 1, second - space - 1);
  if (message.method.compare(0, 5, "HTTP/") == 0)
    message.status = std::atoi(message.path.c_str());
  at += 2;
  while (at < head.size()) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? std::string{} : line.substr(value);
    at = line_end + 2;
  }
  return true;
}

bool Connection::ReadBody(Message &message, Millis timeout,
                          std::size_t bytes_per_s) {
  const auto until = Clock::now() + timeout;
  const auto length = message.headers.find("content-length");
  if (length == message.headers.end()) return true;
  const auto size = static_cast<std::size_t>(std::stoul(length->second));
  const auto started = Clock::now();
  while (this->buffer.size() < size) {
    const auto elapsed =
        std::chrono::duration_cast<Millis>(Clock::now() - started).count();
    const bool early =
        bytes_per_s > 0 &&
        this->buffer.size() >
            kReadBytes + bytes_per_s * static_cast<std::size_t>(elapsed) / 1000;
    if (early) {
      std::this_thread::sleep_for(Millis{5});
      continue;
    }
    if (!this->Fill(until)) return false;
  }
  message.body = this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return true;
}

bool Connection::Write(const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

Server::Server(const Endpoint &at, Serve serve) : serve{std::move(serve)} {
  const int listener = Bind(at);
  if (listener < 0 || listen(listener, 512) != 0)
    throw std::runtime_error{"can't listen on " + at.Format()};
  std::thread{[listener, handler = this->serve] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread{[fd, handler] {
        Connection connection{fd};
        handler(connection);
      }}.detach();
    }
  }}.detach();
}

Server::Serve AnswerEach(std::function<Message(const Message &)> handler) {
  return [handler = std::move(handler)](Connection &connection) {
    Message request;
    while (connection.ReadHead(request, kIdleTimeout) &&
           connection.ReadBody(request, kIdleTimeout)) {
      if (!connection.Write(FormatResponse(handler(request)))) return;
    }
  };
}

std::string FormatRequest(const Message &request, const std::string &host) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  text += "host: " + host + "\r\n";
  if (!request.body.empty())
    text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  return text + FormatFields(request) + request.body;
}

std::string FormatResponse(const Message &response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
  text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  return text + FormatFields(response) + response.body;
}

std::unique_ptr<Connection> Connect(const Endpoint &to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = Native(to);
  const auto *address = reinterpret_cast<const sockaddr *>(&native);
  if (connect(fd, address, sizeof(native)) != 0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

Message Call(const Endpoint &to, const Message &request,
             const std::string &host, Millis timeout) {
  Message response;
  const auto connection = Connect(to);
  if (!connection) {
    response.status = -1;
    return response;
  }
  const bool answered = connection->Write(FormatRequest(request, host)) &&
                        connection->ReadHead(response, timeout) &&
                        connection->ReadBody(response, timeout);
  if (!answered) response.status = 0;
  return response;
}

bool IsFree(const Endpoint &at) {
  const int fd = Bind(at);
  if (fd >= 0) close(fd);
  return fd >= 0;
}

}  // namespace review
