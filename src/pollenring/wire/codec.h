#ifndef POLLENRING_WIRE_CODEC_H_
#define POLLENRING_WIRE_CODEC_H_

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "pollenring/wire/forms.h"
#include "pollenring/wire/version.h"

namespace pollenring {

/*! @brief A received structure and its wire version. */
template <typename Value>
struct Decoded {
  Value value;
  WireVersion version{kNewestWire};
};

/**
 * @brief Packs a structure in the newest wire version.
 * @param value The structure.
 * @return Its bytes.
 */
template <typename Value>
[[nodiscard]] std::string Pack(const Value &value) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
  PackByNumber(packer, value);
  return {buffer.data(), buffer.size()};
}

/**
 * @brief Unpacks a structure of the newest wire version.
 * @param bytes Its bytes.
 * @return The structure, or nothing when the bytes are malformed.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> Unpack(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    Value value = InitialValue<Value>();
    ReadByNumber(handle.get(), value);
    return value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/**
 * @brief Packs a structure for a peer.
 * @param value The structure.
 * @param version What the peer reads; ignored without frozen layouts.
 * @return Its bytes.
 */
template <typename Value>
[[nodiscard]] std::string Encode(const Value &value, WireVersion version) {
  if constexpr (HasNumberedLayout<Value>::value) {
    if (version < WireVersion::kV3) {
      msgpack::sbuffer buffer;
      msgpack::packer<msgpack::sbuffer> packer{buffer};
      if (version == WireVersion::kV1) {
        PackByPosition<WireVersion::kV1>(packer, value);
      } else {
        PackByPosition<WireVersion::kV2>(packer, value);
      }
      return {buffer.data(), buffer.size()};
    }
  }
  return Pack(value);
}

/**
 * @brief Unpacks a structure of any wire version that a released build writes.
 * @param bytes Its bytes.
 * @return The structure, or nothing when the bytes are malformed.
 */
template <typename Value>
[[nodiscard]] std::optional<Decoded<Value>> Decode(std::string_view bytes) {
  if constexpr (!HasNumberedLayout<Value>::value) {
    auto value = Unpack<Value>(bytes);
    if (!value) return std::nullopt;
    return Decoded<Value>{std::move(*value)};
  } else {
    try {
      const auto handle = msgpack::unpack(bytes.data(), bytes.size());
      const msgpack::object &object = handle.get();
      Decoded<Value> decoded{InitialValue<Value>()};
      if (object.type == msgpack::type::ARRAY) {
        decoded.version = ArrayVersion<Value>::Of(object.via.array);
      }
      switch (decoded.version) {
        case WireVersion::kV1:
          ReadByPosition<WireVersion::kV1>(object, decoded.value);
          break;
        case WireVersion::kV2:
          ReadByPosition<WireVersion::kV2>(object, decoded.value);
          break;
        case WireVersion::kV3:
          ReadByNumber(object, decoded.value);
          break;
      }
      return decoded;
    } catch (const std::exception &) {
      return std::nullopt;
    }
  }
}

/**
 * @brief Infers the wire version of a message by its first byte: messages with
 * numbered fields are maps.
 * @param bytes The message.
 * @return The newest version, or the one that all builds can read.
 */
[[nodiscard]] inline WireVersion InferWireVersion(
    std::string_view bytes) noexcept {
  if (bytes.empty()) return kCommonWire;
  constexpr unsigned kSmallMap = 0x80;
  constexpr unsigned kSmallMask = 0xf0;
  constexpr unsigned kMap16 = 0xde;
  constexpr unsigned kMap32 = 0xdf;
  const unsigned first_byte = static_cast<unsigned char>(bytes.front());
  const bool map = (first_byte & kSmallMask) == kSmallMap ||
                   first_byte == kMap16 || first_byte == kMap32;
  return map ? kNewestWire : kCommonWire;
}

}  // namespace pollenring

#endif  // POLLENRING_WIRE_CODEC_H_
