#ifndef POLLENRING_CONTRACT_CHECK_H_
#define POLLENRING_CONTRACT_CHECK_H_

#include <vector>

#include "pollenring/contract/contract.h"
#include "pollenring/contract/parse.h"

namespace pollenring {

/*! @brief Shortest time that a workspace's burst must cover at its rate. */
inline constexpr Duration kShortestBurst = std::chrono::milliseconds{250};

/*! @brief Smallest burst that can be split over a workspace's slots. */
inline constexpr double kSmallestBurst = 6;

/**
 * @brief Checks a whole set: names, callers, cycles and sums.
 * @param set The set.
 * @param diagnostics Receives all faults.
 */
void CheckContracts(const ContractSet &set, Diagnostics &diagnostics);

/**
 * @brief Parses and checks files.
 * @param files The files.
 * @param diagnostics Receives all faults, in the order of their places.
 * @return The set; use it only when there are no findings.
 */
[[nodiscard]] ContractSet ReadContracts(const std::vector<SourceFile> &files,
                                        Diagnostics &diagnostics);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_CHECK_H_
