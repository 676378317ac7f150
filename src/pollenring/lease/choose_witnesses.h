#ifndef POLLENRING_LEASE_CHOOSE_WITNESSES_H_
#define POLLENRING_LEASE_CHOOSE_WITNESSES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief Maximum number of witnesses of a slot, including its holder. */
inline constexpr std::size_t kMaxWitnesses = 5;

/*! @brief Witnesses other than the holder that keep copies of its records. */
inline constexpr std::size_t kMirrors = 2;

/*! @brief A process that may witness, and its location. */
struct WitnessCandidate {
  ProcessRef ref;
  std::string zone;
  std::string region;
  std::uint64_t weight{}; /*!< Spreads holders over equally good witnesses. */
};

/**
 * @brief Chooses an odd number of witnesses, so that a majority survives the
 * loss of any one zone.
 *
 * The holder is one of them, unless there is only one other process: then that
 * one alone can tell whether the holder has failed.
 * @param holder The holder.
 * @param candidates All other live processes.
 * @return The witnesses; the holder first if it is one.
 */
[[nodiscard]] std::vector<ProcessRef> ChooseWitnesses(
    const WitnessCandidate &holder, std::vector<WitnessCandidate> candidates);

/**
 * @brief Finds the witnesses that keep copies of a holder's records.
 * @param row The slot's row.
 * @return At most `kMirrors` witnesses.
 */
[[nodiscard]] std::vector<ProcessRef> MirrorsOf(const SlotRow &row);

}  // namespace pollenring

#endif  // POLLENRING_LEASE_CHOOSE_WITNESSES_H_
