#ifndef POLLENRING_WIRE_WIRE_ENUM_H_
#define POLLENRING_WIRE_WIRE_ENUM_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string_view>
#include <type_traits>

namespace pollenring {

/**
 * @brief How an enumeration is encoded; specialised for each that is sent.
 *
 * A specialisation has `kOnWire`, its `kName`, the table `kNames` of all
 * enumerators of this build, and `kUnknown`, which replaces unknown ones.
 */
template <typename Enum>
struct WireEnum {
  static constexpr bool kOnWire = false;
};

/**
 * @brief Logs an enumerator that this build lacks, at most one line per
 * enumeration and second.
 * @param name Name of the enumeration.
 * @param number The received number.
 * @param replacement Name of its replacement.
 */
void NoteUnknownEnumerator(std::string_view name, std::int64_t number,
                           std::string_view replacement);

/**
 * @brief Finds an enumerator by its number on the wire.
 * @param number The number.
 * @return The enumerator, or the replacement of unknown ones.
 */
template <typename Enum>
[[nodiscard]] Enum EnumeratorOf(std::int64_t number) {
  for (const auto &row : WireEnum<Enum>::kNames.rows) {
    if (static_cast<std::int64_t>(row.value) == number) return row.value;
  }
  constexpr Enum kReplacement = WireEnum<Enum>::kUnknown;
  NoteUnknownEnumerator(WireEnum<Enum>::kName, number,
                        WireEnum<Enum>::kNames.Name(kReplacement));
  return kReplacement;
}

}  // namespace pollenring

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Enum>
  struct convert<Enum, std::enable_if_t<pollenring::WireEnum<Enum>::kOnWire>> {
    const msgpack::object &operator()(const msgpack::object &object,
                                      Enum &value) const {
      value = pollenring::EnumeratorOf<Enum>(object.as<std::int64_t>());
      return object;
    }
  };

  template <typename Enum>
  struct pack<Enum, std::enable_if_t<pollenring::WireEnum<Enum>::kOnWire>> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                        const Enum &value) const {
      return packer.pack(static_cast<std::int64_t>(value));
    }
  };

  template <typename Enum>
  struct object_with_zone<
      Enum, std::enable_if_t<pollenring::WireEnum<Enum>::kOnWire>> {
    void operator()(msgpack::object::with_zone &object,
                    const Enum &value) const {
      object << static_cast<std::int64_t>(value);
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // POLLENRING_WIRE_WIRE_ENUM_H_
