#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {
namespace {

sockaddr_in Native(const Endpoint &at) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &native.sin_addr);
  return native;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace

Endpoint ParseEndpoint(const std::string &text) {
  const auto colon = text.find(':');
  if (colon == std::string::npos) {
    std::cerr << "not an address: " << text << '\n';
    std::exit(2);
  }
  return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

Record::Record(const std::string &path) {
  if (path.empty()) return;
  this->fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void Record::Line(const std::string &text) const {
  if (this->fd < 0) return;
  const std::string line = std::to_string(NowMs()) + " " + text + "\n";
  static_cast<void>(!write(this->fd, line.data(), line.size()));
}

std::string Message::Header(const std::string &name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? std::string{} : found->second;
}

bool Reader::Fill() {
  std::array<char, 65536> bytes{};
  const auto size = recv(this->fd, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<std::string> Reader::Line() {
  for (;;) {
    const auto end = this->buffer.find("\r\n");
    if (end != std::string::npos) {
      std::string line = this->buffer.substr(0, end);
      this->buffer.erase(0, end + 2);
      return line;
    }
    if (!this->Fill()) return std::nullopt;
  }
}

bool Reader::Take(std::size_t size, std::string &into) {
  while (this->buffer.size() < size) {
    if (!this->Fill()) return false;
  }
  into.append(this->buffer, 0, size);
  this->buffer.erase(0, size);
  return true;
}

std::optional<Message> Reader::Next() {
  Message message;
  auto line = this->Line();
  if (!line) return std::nullopt;
  message.first = *line;
  for (;;) {
    line = this->Line();
    if (!line) return std::nullopt;
    if (line->empty()) break;
    const auto colon = line->find(':');
    if (colon == std::string::npos) continue;
    const auto value = line->find_first_not_of(' ', colon + 1);
    message.headers.emplace(
        Lower(line->substr(0, colon)),
        value == std::string::npos ? std::string{} : line->substr(value));
  }
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    for (;;) {
      line = this->Line();
      if (!line) return std::nullopt;
      const std::size_t size = std::stoul(*line, nullptr, 16);
      if (size > 0 && !this->Take(size, message.body)) return std::nullopt;
      line = this->Line();
      if (!line) return std::nullopt;
      if (size == 0) return message;
    }
  }
  const std::string length = message.Header("content-length");
  if (!length.empty() && !this->Take(std::stoul(length), message.body))
    return std::nullopt;
  return message;
}

int Listen(const Endpoint &at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = Native(at);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&native),
                          sizeof(native)) == 0 &&
                     listen(fd, 1024) == 0;
  if (!bound) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

int Connect(const Endpoint &to, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
    // Segments as on Ethernet; those of the loopback device have 64 KiB, and
    // the kernel's buffers grow with them.
    const int segment = 1460;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  const sockaddr_in native = Native(to);
  const bool connected =
      connect(fd, reinterpret_cast<const sockaddr *>(&native),
              sizeof(native)) == 0;
  if (connected) return fd;
  close(fd);
  return -1;
}

bool WriteAll(int fd, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto size =
        send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}

std::string Response(int status, const std::vector<std::string> &headers,
                     const std::string &body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto &header : headers) text += header + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

std::optional<Message> Ask(const Endpoint &to, const std::string &request,
                           int timeout_ms) {
  const int fd = Connect(to);
  if (fd < 0) return std::nullopt;
  const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::optional<Message> response;
  if (WriteAll(fd, request)) response = Reader{fd}.Next();
  close(fd);
  return response;
}

}  // namespace review
