#include "pollenring/net/udp_socket.h"

#include <sys/socket.h>

#include <array>

#include "pollenring/core/hash.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/listen.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr int kMaxDatagramsPerTurn = 256;

}  // namespace

UdpSocket::UdpSocket(Loop &loop, const Address &address, std::string secret,
                     Receive receive)
    : loop{loop},
      secret{std::move(secret)},
      receive{std::move(receive)},
      fd{BindUdp(address, loop.GetListenRetry())} {
  this->sock = h2o_evloop_socket_create(loop.Native(), this->fd,
                                        H2O_SOCKET_FLAG_DONT_READ);
  this->sock->data = this;
  h2o_socket_read_start(this->sock, [](h2o_socket_t *sock, const char *) {
    static_cast<UdpSocket *>(sock->data)->ReadAll();
  });
}

UdpSocket::~UdpSocket() { h2o_socket_close(this->sock); }

void UdpSocket::Send(const Address &to, std::string_view content) {
  std::string datagram = MessageTag(this->secret, content);
  datagram.append(content);
  const sockaddr_in native = to.Native();
  const auto sent =
      sendto(this->fd, datagram.data(), datagram.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr *>(&native), sizeof(native));
  if (sent > 0) this->bytes_sent += static_cast<std::uint64_t>(sent);
}

void UdpSocket::ReadAll() {
  std::array<char, kMaxDatagramBytes> buffer{};
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const auto size = recvfrom(this->fd, buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr *>(&from), &from_size);
    if (size < 0) return;
    const std::string_view datagram{buffer.data(),
                                    static_cast<std::size_t>(size)};
    if (datagram.size() <= kTagBytes) continue;
    const auto content = datagram.substr(kTagBytes);
    const auto tag = MessageTag(this->secret, content);
    if (!EqualConstantTime(tag, datagram.substr(0, kTagBytes))) continue;
    this->loop.Contain("datagram",
                       [&] { this->receive(Address::From(from), content); });
  }
}

}  // namespace pollenring
