#ifndef POLLENRING_TEST_SUPPORT_HOSTILE_CROWD_H_
#define POLLENRING_TEST_SUPPORT_HOSTILE_CROWD_H_

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <string>

#include "pollenring/net/address.h"

namespace support {

/*! @brief What a caller sends, and how much of the response it reads. */
struct CallerScript {
  std::string head;    /*!< Sent first. */
  std::string unit;    /*!< Sent repeatedly after that. */
  std::size_t bytes{}; /*!< Bytes of repeated units in all. */
  std::size_t reads{}; /*!< Bytes that it reads; then it stops reading. */
};

/*! @brief A caller on its own connection, which never waits. */
class ScriptedCaller {
 public:
  ScriptedCaller(const pollenring::Address &to, CallerScript script)
      : script{std::move(script)},
        fd{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)} {
    // Keeps unread and unsent bytes out of the kernel's buffers.
    const int small = 16384;
    const int segment = 1400;
    setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    setsockopt(this->fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    const sockaddr_in native = to.Native();
    connect(this->fd, reinterpret_cast<const sockaddr *>(&native),
            sizeof(native));
  }
  ScriptedCaller(const ScriptedCaller &) = delete;
  ScriptedCaller &operator=(const ScriptedCaller &) = delete;
  ~ScriptedCaller() { close(this->fd); }

  /*! @brief Sends and reads what is possible now. @return Bytes moved. */
  std::size_t Pump() {
    if (this->ended) return 0;
    return this->SendSome() + this->ReadSome();
  }

  [[nodiscard]] const std::string &Received() const { return this->received; }
  /*! @return True once the other side has closed the connection. */
  [[nodiscard]] bool Ended() const { return this->ended; }

 private:
  /*! @brief Bytes sent to one caller before the next one's turn. */
  static constexpr std::size_t kMaxPerTurn = std::size_t{256} * 1024;

  std::size_t SendSome() {
    std::size_t moved = 0;
    while (moved < kMaxPerTurn) {
      const std::size_t head = this->script.head.size();
      const std::size_t total = head + this->script.bytes;
      if (this->sent >= total) break;
      const bool in_head = this->sent < head;
      const std::string &from = in_head ? this->script.head : this->script.unit;
      const std::size_t offset =
          in_head ? this->sent : (this->sent - head) % from.size();
      const std::size_t size =
          std::min(from.size() - offset, total - this->sent);
      const auto result =
          send(this->fd, from.data() + offset, size, MSG_NOSIGNAL);
      if (result <= 0) break;
      this->sent += static_cast<std::size_t>(result);
      moved += static_cast<std::size_t>(result);
    }
    return moved;
  }

  std::size_t ReadSome() {
    std::array<char, 4096> buffer{};
    std::size_t moved = 0;
    while (this->received.size() < this->script.reads) {
      const auto size = recv(
          this->fd, buffer.data(),
          std::min(buffer.size(), this->script.reads - this->received.size()),
          0);
      const bool waits = size < 0 && (errno == EAGAIN || errno == ENOTCONN);
      if (size <= 0 && !waits) this->ended = true;
      if (size <= 0) break;
      this->received.append(buffer.data(), static_cast<std::size_t>(size));
      moved += static_cast<std::size_t>(size);
    }
    return moved;
  }

  CallerScript script;
  int fd;
  std::size_t sent{};
  std::string received;
  bool ended{};
};

/*! @brief Callers that keep their connections open at the same time. */
class HostileCrowd {
 public:
  explicit HostileCrowd(const pollenring::Address &to) : to{to} {}

  void Add(const CallerScript &script, int count = 1) {
    for (int i = 0; i < count; ++i)
      this->callers.emplace_back(this->to, script);
  }

  /*! @brief Pumps all callers once. @return Bytes moved. */
  std::size_t Pump() {
    std::size_t moved = 0;
    for (auto &caller : this->callers) moved += caller.Pump();
    return moved;
  }

 private:
  pollenring::Address to;
  std::list<ScriptedCaller> callers;
};

/*! @brief An HTTP/2 frame. */
[[nodiscard]] inline std::string Http2Frame(int type, int flags,
                                            unsigned stream,
                                            const std::string &payload) {
  const std::size_t size = payload.size();
  std::string frame;
  for (const int shift : {16, 8, 0})
    frame += static_cast<char>((size >> static_cast<unsigned>(shift)) & 255U);
  frame += static_cast<char>(type);
  frame += static_cast<char>(flags);
  for (const int shift : {24, 16, 8, 0})
    frame += static_cast<char>((stream >> static_cast<unsigned>(shift)) & 255U);
  return frame + payload;
}

/*! @brief Start of an HTTP/2 connection. @param window Bytes of each response
 * that the caller accepts. */
[[nodiscard]] inline std::string Http2Start(unsigned window) {
  std::string setting{'\0', '\4'};
  for (const int shift : {24, 16, 8, 0})
    setting +=
        static_cast<char>((window >> static_cast<unsigned>(shift)) & 255U);
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Http2Frame(4, 0, 0, setting);
}

/*! @brief Head of a request on an HTTP/2 stream, with the club's key. */
[[nodiscard]] inline std::string Http2Head(unsigned stream,
                                           const std::string &method,
                                           const std::string &path, bool ends) {
  const std::array<std::array<std::string, 2>, 5> fields{
      {{":method", method},
       {":scheme", "http"},
       {":path", path},
       {":authority", "a.example"},
       {"authorization", "Token key-of-the-club"}}};
  std::string block;
  for (const auto &[name, value] : fields) {
    block += '\0';
    block += static_cast<char>(name.size());
    block += name;
    block += static_cast<char>(value.size());
    block += value;
  }
  return Http2Frame(1, ends ? 5 : 4, stream, block);
}

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_HOSTILE_CROWD_H_
