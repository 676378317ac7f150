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
 * @brief Epochs that belong to one row of the table: the first is its holder's,
 * the others are of holders that the row's witnesses elect.
 */
inline constexpr std::uint64_t kEpochsPerRow = 65'536;

/*! @brief The row's own epoch. @param epoch Any of its epochs. @return It. */
[[nodiscard]] constexpr std::uint64_t RowEpochOf(std::uint64_t epoch) noexcept {
  return epoch - epoch % kEpochsPerRow;
}

/*! @brief The next row's epoch. @param epoch Any of a row's. @return It. */
[[nodiscard]] constexpr std::uint64_t NextRowEpoch(
    std::uint64_t epoch) noexcept {
  return RowEpochOf(epoch) + kEpochsPerRow;
}

/*! @brief The last epoch of a row. @param epoch Any of its. @return It. */
[[nodiscard]] constexpr std::uint64_t LastEpochOf(
    std::uint64_t epoch) noexcept {
  return NextRowEpoch(epoch) - 1;
}

/*! @brief Whether witnesses, not the table, name the holder. @param epoch It.
 */
[[nodiscard]] constexpr bool IsElected(std::uint64_t epoch) noexcept {
  return epoch != RowEpochOf(epoch);
}

/*! @brief One process on one VM; a restarted one is another. */
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

/*! @brief Who holds a slot, as the table says; epochs only grow. */
struct SlotRow {
  std::uint64_t epoch{};
  ProcessRef holder;
  std::vector<ProcessRef> witnesses;
  MSGPACK_DEFINE(epoch, holder, witnesses)

  /*! @brief Witnesses whose promises make a holder valid. @return Count. */
  [[nodiscard]] std::size_t Majority() const noexcept {
    return this->witnesses.size() / 2 + 1;
  }

  /*! @brief Serializes for the table. @return JSON text. */
  [[nodiscard]] std::string ToJson() const;

  /**
   * @brief Reads what `ToJson` wrote.
   * @param text JSON text.
   * @return The row, or nothing when the text is of another form.
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
