#ifndef POLLENRING_NET_UDP_SOCKET_H_
#define POLLENRING_NET_UDP_SOCKET_H_

#include <functional>
#include <string>
#include <string_view>

#include "pollenring/net/address.h"

struct st_h2o_socket_t;

namespace pollenring {

class Loop;

/*! @brief A UDP socket on the loop; datagrams carry an authentication tag. */
class UdpSocket {
 public:
  using Receive = std::function<void(const Address &, std::string_view)>;

  /**
   * @brief Binds the socket.
   * @param loop The loop.
   * @param address Own address.
   * @param secret Key of the tag; datagrams with a wrong tag are dropped.
   * @param receive Called with sender and content of each datagram.
   * @throws ListenError when the address can't be bound.
   */
  UdpSocket(Loop &loop, const Address &address, std::string secret,
            Receive receive);
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;
  ~UdpSocket();

  /*! @brief Bytes sent so far, tags included. @return The count. */
  [[nodiscard]] std::uint64_t BytesSent() const noexcept {
    return this->bytes_sent;
  }

  /**
   * @brief Sends one datagram; it is dropped if the socket buffer is full.
   * @param to Receiver.
   * @param content Content.
   */
  void Send(const Address &to, std::string_view content);

 private:
  void ReadAll();

  Loop &loop;
  std::string secret;
  Receive receive;
  int fd;
  st_h2o_socket_t *sock{};
  std::uint64_t bytes_sent{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_UDP_SOCKET_H_
