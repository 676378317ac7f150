#ifndef POLLENRING_CONFIG_WITHDRAWN_ZONES_H_
#define POLLENRING_CONFIG_WITHDRAWN_ZONES_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief One availability zone that the operator withdraws or gives back. */
struct ZoneChange {
  std::string zone;
  bool withdrawn{};
};

/*! @brief Which availability zones were withdrawn at one moment of the store.
 */
struct ZoneWithdrawals {
  std::uint64_t revision{}; /*!< Of the store's history; 0: nothing is known. */
  std::vector<std::string> zones; /*!< In order. */
};

template <>
struct NumberedLayout<ZoneWithdrawals> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.revision}, Field{2, value.zones});
  }
};

template <>
struct ArrayLayout<ZoneWithdrawals, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.revision, value.zones);
  }
};

/**
 * @brief Which availability zones are to get nothing, by the newest word.
 *
 * Words come from the store and from peers, late or out of order. Each tells
 * all zones at one position of the store's history, so the newest replaces all
 * others and an older one is never in force again.
 */
class WithdrawnZones {
 public:
  /**
   * @brief Takes in a word.
   * @param withdrawals The word.
   * @return Whether other zones are withdrawn now, or it is the first one.
   */
  bool Take(const ZoneWithdrawals &withdrawals);

  /*! @brief The newest word. @return It. */
  [[nodiscard]] const ZoneWithdrawals &Newest() const noexcept {
    return this->withdrawals;
  }

  /*! @brief Whether anything is known. @return So. */
  [[nodiscard]] bool HasRevision() const noexcept {
    return this->withdrawals.revision > 0;
  }

  /**
   * @brief Tells whether a zone is to get nothing.
   * @param zone The zone.
   * @return So; never before anything is known.
   */
  [[nodiscard]] bool Contains(const std::string &zone) const;

 private:
  ZoneWithdrawals withdrawals;
};

/**
 * @brief Applies changes to a word, in their order.
 * @param before The word before them.
 * @param revision Position up to which the changes are whole.
 * @param changes The changes.
 * @return The word at that position.
 */
[[nodiscard]] ZoneWithdrawals ApplyZoneChanges(
    const ZoneWithdrawals &before, std::uint64_t revision,
    const std::vector<ZoneChange> &changes);

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_WITHDRAWN_ZONES_H_
