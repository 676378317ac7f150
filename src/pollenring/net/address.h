#ifndef POLLENRING_NET_ADDRESS_H_
#define POLLENRING_NET_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenring {

/*! @brief An IPv4 address and a port. */
struct Address {
  std::uint32_t ip{};
  std::uint16_t port{};

  /**
   * @brief Parses `a.b.c.d:port`.
   * @param text The text.
   * @return The address, or nothing if the text is malformed.
   */
  [[nodiscard]] static std::optional<Address> Parse(std::string_view text);

  /**
   * @brief Converts from the socket API's representation.
   * @param native The socket address.
   * @return The address.
   */
  [[nodiscard]] static Address From(const sockaddr_in &native) noexcept;

  /*! @brief Formats as `a.b.c.d:port`. @return The text. */
  [[nodiscard]] std::string Format() const;

  /*! @brief Converts to the socket API's representation. @return The socket
   * address. */
  [[nodiscard]] sockaddr_in Native() const noexcept;

  /*! @brief Packs address and port. @return One integer, unique per address. */
  [[nodiscard]] std::uint64_t Packed() const noexcept {
    return (std::uint64_t{this->ip} << 16U) | this->port;
  }

  [[nodiscard]] bool operator==(const Address &other) const noexcept {
    return this->Packed() == other.Packed();
  }
  [[nodiscard]] bool operator<(const Address &other) const noexcept {
    return this->Packed() < other.Packed();
  }
};

}  // namespace pollenring

#endif  // POLLENRING_NET_ADDRESS_H_
