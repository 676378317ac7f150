#ifndef POLLENRING_LEASE_CHOOSE_WITNESSES_H_
#define POLLENRING_LEASE_CHOOSE_WITNESSES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief Most witnesses of a slot, its holder among them. */
inline constexpr std::size_t kMostWitnesses = 5;

/*! @brief Witnesses other than the holder that keep copies of its records. */
inline constexpr std::size_t kMirrors = 2;

/*! @brief A process that may witness, and where it runs. */
struct WitnessCandidate {
  ProcessRef ref;
  std::string zone;
  std::string region;
  std::uint64_t weight{}; /*!< Spreads holders over equally good witnesses. */
};

/**
 * @brief Chooses an odd number of witnesses, so that the loss of any one zone
 * leaves a majority.
 *
 * The holder is one of them, unless there is only one other process: then that
 * one alone can tell whether the holder is gone.
 * @param holder The holder.
 * @param candidates All other processes that live.
 * @return The witnesses, the holder first where it is one.
 */
[[nodiscard]] std::vector<ProcessRef> ChooseWitnesses(
    const WitnessCandidate &holder, std::vector<WitnessCandidate> candidates);

/**
 * @brief Finds who keeps copies of a holder's records.
 * @param row The slot's row.
 * @return At most `kMirrors` witnesses.
 */
[[nodiscard]] std::vector<ProcessRef> MirrorsOf(const SlotRow &row);

}  // namespace pollenring

#endif  // POLLENRING_LEASE_CHOOSE_WITNESSES_H_
