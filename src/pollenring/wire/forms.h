#ifndef POLLENRING_WIRE_FORMS_H_
#define POLLENRING_WIRE_FORMS_H_

#include <cstdint>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>
#include <vector>

#include "pollenring/wire/version.h"

namespace pollenring {

/**
 * @brief The fields of a structure, in the order of a version's arrays.
 *
 * Specialised next to each structure that is also encoded by position. A layout
 * is frozen: released builds read and write it.
 */
template <typename Value, WireVersion version>
struct ArrayLayout {
  static constexpr bool kFrozen = false;
};

/*! @brief Same as V1, unless specialised. */
template <typename Value>
struct ArrayLayout<Value, WireVersion::kV2>
    : ArrayLayout<Value, WireVersion::kV1> {};

/*! @brief A field and its number, which never changes. */
template <typename Value>
struct Field {
  Field(std::uint64_t number, Value &value) : number{number}, value{value} {}

  std::uint64_t number;
  Value &value;
};

/**
 * @brief The numbers of a structure's fields, for all versions from V3 on.
 *
 * Specialised next to each structure that can grow. A new field takes a number
 * that was never used; the number of a removed field is not reused.
 */
template <typename Value>
struct NumberedLayout {
  static constexpr bool kGrows = false;
};

/*! @brief What is written to a version that lacks a value. */
template <typename Value, WireVersion version>
struct Substitute {
  [[nodiscard]] static const Value &Write(const Value &value) noexcept {
    return value;
  }
};

/*! @brief Initial value of a structure, for the fields that a message lacks. */
template <typename Value>
[[nodiscard]] Value InitialValue() {
  return {};
}

/*! @brief Whether a structure, or a list of them, can grow. */
template <typename Value>
struct HasNumberedLayout : std::bool_constant<NumberedLayout<Value>::kGrows> {};
template <typename Value>
struct HasNumberedLayout<std::vector<Value>> : HasNumberedLayout<Value> {};

/**
 * @brief Writes a value with its fields by position.
 * @param packer Output.
 * @param value The value.
 */
template <WireVersion version, typename Packer, typename Value>
void PackByPosition(Packer &packer, const Value &value) {
  if constexpr (ArrayLayout<Value, version>::kFrozen) {
    const auto fields = ArrayLayout<Value, version>::Fields(value);
    packer.pack_array(std::tuple_size_v<std::decay_t<decltype(fields)>>);
    std::apply(
        [&packer](const auto &...field) {
          (PackByPosition<version>(packer, field), ...);
        },
        fields);
  } else {
    packer.pack(Substitute<Value, version>::Write(value));
  }
}

template <WireVersion version, typename Packer, typename Value>
void PackByPosition(Packer &packer, const std::vector<Value> &values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto &value : values) PackByPosition<version>(packer, value);
}

/**
 * @brief Reads a value by position; fields that the array lacks are unchanged.
 * @param object The received object.
 * @param value Result.
 * @throws msgpack::type_error when the object is of another type.
 */
template <WireVersion version, typename Value>
void ReadByPosition(const msgpack::object &object, Value &value) {
  if constexpr (ArrayLayout<Value, version>::kFrozen) {
    if (object.type != msgpack::type::ARRAY) throw msgpack::type_error{};
    const auto &array = object.via.array;
    std::uint32_t at = 0;
    const auto read = [&array, &at](auto &field) {
      if (at < array.size) ReadByPosition<version>(array.ptr[at], field);
      ++at;
    };
    std::apply([&read](auto &...field) { (read(field), ...); },
               ArrayLayout<Value, version>::Fields(value));
  } else {
    object.convert(value);
  }
}

template <WireVersion version, typename Value>
void ReadByPosition(const msgpack::object &object, std::vector<Value> &values) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error{};
  const auto &array = object.via.array;
  values.assign(array.size, Value{});
  std::uint32_t at = 0;
  for (auto &value : values) ReadByPosition<version>(array.ptr[at++], value);
}

/**
 * @brief Writes a value with its fields by number.
 * @param packer Output.
 * @param value The value.
 */
template <typename Packer, typename Value>
void PackByNumber(Packer &packer, const Value &value) {
  if constexpr (NumberedLayout<Value>::kGrows) {
    const auto fields = NumberedLayout<Value>::Fields(value);
    packer.pack_map(std::tuple_size_v<std::decay_t<decltype(fields)>>);
    const auto pack = [&packer](const auto &field) {
      packer.pack(field.number);
      PackByNumber(packer, field.value);
    };
    std::apply([&pack](const auto &...field) { (pack(field), ...); }, fields);
  } else {
    packer.pack(value);
  }
}

template <typename Packer, typename Value>
void PackByNumber(Packer &packer, const std::vector<Value> &values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto &value : values) PackByNumber(packer, value);
}

/**
 * @brief Reads a value by number; missing fields are unchanged, and unknown
 * ones are skipped.
 * @param object The received object.
 * @param value Result.
 * @throws msgpack::type_error when the object is of another type.
 */
template <typename Value>
void ReadByNumber(const msgpack::object &object, Value &value) {
  if constexpr (NumberedLayout<Value>::kGrows) {
    if (object.type != msgpack::type::MAP) throw msgpack::type_error{};
    const auto fields = NumberedLayout<Value>::Fields(value);
    const auto &map = object.via.map;
    for (std::uint32_t at = 0; at < map.size; ++at) {
      const msgpack::object_kv &entry = map.ptr[at];
      if (entry.key.type != msgpack::type::POSITIVE_INTEGER) continue;
      const auto read = [&entry](const auto &field) {
        if (field.number != entry.key.via.u64) return;
        ReadByNumber(entry.val, field.value);
      };
      std::apply([&read](const auto &...field) { (read(field), ...); }, fields);
    }
  } else {
    object.convert(value);
  }
}

template <typename Value>
void ReadByNumber(const msgpack::object &object, std::vector<Value> &values) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error{};
  const auto &array = object.via.array;
  values.assign(array.size, Value{});
  std::uint32_t at = 0;
  for (auto &value : values) ReadByNumber(array.ptr[at++], value);
}

/*! @brief Number of fields of a structure in a version's arrays. */
template <typename Value, WireVersion version>
inline constexpr std::size_t kFieldCount =
    std::tuple_size_v<decltype(ArrayLayout<Value, version>::Fields(
        std::declval<Value &>()))>;

/**
 * @brief Determines the version of an array by its length.
 *
 * Where V1 and V2 have equally many fields, they are the same encoding, unless
 * specialised.
 */
template <typename Value>
struct ArrayVersion {
  [[nodiscard]] static WireVersion Of(const msgpack::object_array &array) {
    constexpr std::size_t kV1Fields = kFieldCount<Value, WireVersion::kV1>;
    constexpr bool kDiffer = kV1Fields != kFieldCount<Value, WireVersion::kV2>;
    const bool is_v1 = kDiffer && array.size <= kV1Fields;
    return is_v1 ? WireVersion::kV1 : WireVersion::kV2;
  }
};

template <typename Value>
struct ArrayVersion<std::vector<Value>> {
  [[nodiscard]] static WireVersion Of(const msgpack::object_array &array) {
    const bool numbered =
        array.size > 0 && array.ptr->type == msgpack::type::MAP;
    return numbered ? WireVersion::kV3 : WireVersion::kV2;
  }
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_FORMS_H_
