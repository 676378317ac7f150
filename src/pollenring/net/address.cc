#include "pollenring/net/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace pollenring {

std::optional<Address> Address::Parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host{text.substr(0, colon)};
  const auto digits = text.substr(colon + 1);
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return std::nullopt;
  Address address;
  const auto *end = digits.data() + digits.size();
  const auto [at, error] = std::from_chars(digits.data(), end, address.port);
  if (error != std::errc{} || at != end) return std::nullopt;
  address.ip = ntohl(parsed.s_addr);
  return address;
}

Address Address::From(const sockaddr_in &native) noexcept {
  return {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
}

std::string Address::Format() const {
  std::array<char, INET_ADDRSTRLEN> text{};
  const sockaddr_in native = this->Native();
  inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
  return std::string{text.data()} + ":" + std::to_string(this->port);
}

sockaddr_in Address::Native() const noexcept {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(this->ip);
  native.sin_port = htons(this->port);
  return native;
}

}  // namespace pollenring
