#ifndef POLLENRING_NET_LISTEN_H_
#define POLLENRING_NET_LISTEN_H_

#include <stdexcept>

#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"

namespace pollenring {

/*! @brief Transport of a socket that others reach. */
enum class Transport { kTcp, kUdp };

/*! @brief Names of transports, for logs. */
inline constexpr EnumTable<Transport, 2> kTransportNames{{{
    {Transport::kTcp, "tcp"},
    {Transport::kUdp, "udp"},
}}};

/*! @brief An address can't be bound or listened on. */
class ListenError final : public std::runtime_error {
 public:
  /**
   * @brief Creates the error.
   * @param transport Transport of the socket.
   * @param address The address.
   * @param code The system's error, an `errno`.
   */
  ListenError(Transport transport, const Address &address, int code);

  [[nodiscard]] Transport GetTransport() const noexcept {
    return this->transport;
  }
  [[nodiscard]] const Address &GetAddress() const noexcept {
    return this->address;
  }
  /*! @brief The system's error. @return An `errno`. */
  [[nodiscard]] int Code() const noexcept { return this->code; }

 private:
  Transport transport;
  Address address;
  int code;
};

/*! @brief Decides whether an address that can't be used is tried again. */
class ListenRetry {
 public:
  ListenRetry() = default;
  ListenRetry(const ListenRetry &) = delete;
  ListenRetry &operator=(const ListenRetry &) = delete;
  virtual ~ListenRetry() = default;

  /**
   * @brief Waits before the next try.
   * @param error Why the last try failed.
   * @return True if the address is to be tried again.
   */
  [[nodiscard]] virtual bool Wait(const ListenError &error) = 0;
};

/**
 * @brief Binds a TCP socket.
 * @param address Address to bind.
 * @param retry Asked after each failure; null for a single try.
 * @return The descriptor.
 * @throws ListenError when the address can't be bound.
 */
[[nodiscard]] int BindTcp(const Address &address, ListenRetry *retry = nullptr);

/**
 * @brief Binds a UDP socket.
 * @param address Address to bind.
 * @param retry Asked after each failure; null for a single try.
 * @return The descriptor.
 * @throws ListenError when the address can't be bound.
 */
[[nodiscard]] int BindUdp(const Address &address, ListenRetry *retry = nullptr);

/**
 * @brief Listens on a bound TCP socket.
 *
 * Two processes may bind an address of which neither listens yet, so this can
 * fail where the bind succeeded.
 * @param fd The descriptor, which stays open on failure.
 * @param address Its address.
 * @param retry Asked after each failure; null for a single try.
 * @throws ListenError when the address can't be listened on.
 */
void StartListening(int fd, const Address &address,
                    ListenRetry *retry = nullptr);

/**
 * @brief Binds a TCP socket and listens on it.
 * @param address Address to bind.
 * @param retry Asked after each failure; null for a single try.
 * @return The descriptor.
 * @throws ListenError when the address can't be listened on.
 */
[[nodiscard]] int ListenTcp(const Address &address,
                            ListenRetry *retry = nullptr);

}  // namespace pollenring

#endif  // POLLENRING_NET_LISTEN_H_
