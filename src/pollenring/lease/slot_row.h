#ifndef POLLENRING_LEASE_SLOT_ROW_H_
#define POLLENRING_LEASE_SLOT_ROW_H_

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/membership/member.h"

namespace pollenring {

/*! @brief Number of a lease slot. */
using SlotId = std::uint32_t;

/**
 * @brief Epochs that belong to one row of the table: the first is that of the
 * row's holder, the others are of holders elected by its witnesses.
 */
inline constexpr std::uint64_t kEpochsPerRow = 65'536;

/*! @brief Returns the first epoch of a row. @param epoch Any of its epochs. */
[[nodiscard]] constexpr std::uint64_t RowEpochOf(std::uint64_t epoch) noexcept {
  return epoch - epoch % kEpochsPerRow;
}

/*! @brief Returns the next row's first epoch. @param epoch Any epoch. */
[[nodiscard]] constexpr std::uint64_t NextRowEpoch(
    std::uint64_t epoch) noexcept {
  return RowEpochOf(epoch) + kEpochsPerRow;
}

/*! @brief Returns the last epoch of a row. @param epoch Any of its epochs. */
[[nodiscard]] constexpr std::uint64_t LastEpochOf(
    std::uint64_t epoch) noexcept {
  return NextRowEpoch(epoch) - 1;
}

/**
 * @brief True if the holder was elected by witnesses. @param epoch Its epoch.
 */
[[nodiscard]] constexpr bool IsElected(std::uint64_t epoch) noexcept {
  return epoch != RowEpochOf(epoch);
}

/*! @brief One process on one VM; a restart makes another one. */
struct ProcessRef {
  NodeId node{};
  std::uint64_t process{};
  MSGPACK_DEFINE(node, process)

  [[nodiscard]] bool operator==(const ProcessRef &other) const noexcept {
    return this->node == other.node && this->process == other.process;
  }
  [[nodiscard]] bool operator<(const ProcessRef &other) const noexcept {
    return std::tie(this->node, this->process) <
           std::tie(other.node, other.process);
  }
};

/*! @brief A slot's holder according to the table; epochs only increase. */
struct SlotRow {
  std::uint64_t epoch{};
  ProcessRef holder;
  std::vector<ProcessRef> witnesses;
  MSGPACK_DEFINE(epoch, holder, witnesses)

  /*! @brief Promises needed for a holder to be valid. @return The count. */
  [[nodiscard]] std::size_t Majority() const noexcept {
    return this->witnesses.size() / 2 + 1;
  }

  /*! @brief Serializes for the table. @return JSON text. */
  [[nodiscard]] std::string ToJson() const;

  /**
   * @brief Parses the output of `ToJson`.
   * @param text JSON text.
   * @return The row, or nothing if the text is malformed.
   */
  [[nodiscard]] static std::optional<SlotRow> FromJson(const std::string &text);
};

/**
 * @brief Names a slot's row in the table.
 * @param slot The slot.
 * @return The key.
 */
[[nodiscard]] std::string SlotRowKey(SlotId slot);

}  // namespace pollenring

#endif  // POLLENRING_LEASE_SLOT_ROW_H_
