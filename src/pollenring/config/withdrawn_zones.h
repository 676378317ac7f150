#ifndef POLLENRING_CONFIG_WITHDRAWN_ZONES_H_
#define POLLENRING_CONFIG_WITHDRAWN_ZONES_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief An availability zone that the operator withdraws or restores. */
struct ZoneChange {
  std::string zone;
  bool withdrawn{};
};

/*! @brief The availability zones withdrawn at one revision of the store. */
struct ZoneWithdrawals {
  std::uint64_t revision{};       /*!< Of the store; 0: nothing is known. */
  std::vector<std::string> zones; /*!< Sorted. */
  std::uint64_t era{}; /*!< Of the store, in which the revision counts; 0: not
                          reported. */

  /**
   * @brief Compares two reports.
   * @param other The other report.
   * @return True if this one is of a later era, or a newer revision of its era.
   */
  [[nodiscard]] bool Supersedes(const ZoneWithdrawals &other) const noexcept {
    return std::tie(this->era, this->revision) >
           std::tie(other.era, other.revision);
  }
};

template <>
struct NumberedLayout<ZoneWithdrawals> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.revision}, Field{2, value.zones},
                           Field{3, value.era});
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
 * @brief Availability zones that get no calls, by the newest revision.
 *
 * Reports come from the store and from peers, late or out of order. Each lists
 * all withdrawn zones at one revision of the store, so the newest replaces all
 * others, and an older one never becomes active again. A store that returned
 * from an older copy gives out revisions again, in a later era.
 */
class WithdrawnZones {
 public:
  /**
   * @brief Merges a report.
   * @param withdrawals The report.
   * @return True if the withdrawn zones changed, or it is the first report.
   */
  bool Merge(const ZoneWithdrawals &withdrawals);

  /*! @brief The newest report. @return Its zones and revision. */
  [[nodiscard]] const ZoneWithdrawals &Newest() const noexcept {
    return this->withdrawals;
  }

  /*! @brief Whether any report was received. @return True if so. */
  [[nodiscard]] bool HasRevision() const noexcept {
    return this->withdrawals.revision > 0;
  }

  /**
   * @brief Whether a zone is withdrawn.
   * @param zone The zone.
   * @return True if so; false before any report.
   */
  [[nodiscard]] bool Contains(const std::string &zone) const;

 private:
  ZoneWithdrawals withdrawals;
};

/**
 * @brief Applies changes in their order.
 * @param before The withdrawals before them; their era is kept.
 * @param revision Revision up to which the changes are complete.
 * @param changes The changes.
 * @return The withdrawals at that revision.
 */
[[nodiscard]] ZoneWithdrawals ApplyZoneChanges(
    const ZoneWithdrawals &before, std::uint64_t revision,
    const std::vector<ZoneChange> &changes);

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_WITHDRAWN_ZONES_H_
