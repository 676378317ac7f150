#ifndef POLLENRING_CORE_ENUM_TABLE_H_
#define POLLENRING_CORE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenring {

/*! @brief One enumerator and its name. */
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/*! @brief Maps enumerators to names and names to enumerators. */
template <typename Enum, std::size_t Size>
struct EnumTable {
  std::array<EnumName<Enum>, Size> rows;

  /**
   * @brief Finds the name of an enumerator.
   * @param value The enumerator.
   * @return Its name, or an empty view if the table lacks it.
   */
  [[nodiscard]] constexpr std::string_view Name(Enum value) const noexcept {
    for (const auto &row : this->rows) {
      if (row.value == value) return row.name;
    }
    return {};
  }

  /**
   * @brief Finds the enumerator with a name.
   * @param name The name.
   * @return The enumerator, or nothing if no row has that name.
   */
  [[nodiscard]] constexpr std::optional<Enum> Parse(
      std::string_view name) const noexcept {
    for (const auto &row : this->rows) {
      if (row.name == name) return row.value;
    }
    return std::nullopt;
  }
};

}  // namespace pollenring

#endif  // POLLENRING_CORE_ENUM_TABLE_H_
