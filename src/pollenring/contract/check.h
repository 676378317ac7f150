#ifndef POLLENRING_CONTRACT_CHECK_H_
#define POLLENRING_CONTRACT_CHECK_H_

#include <vector>

#include "pollenring/contract/contract.h"
#include "pollenring/contract/parse.h"

namespace pollenring {

/*! @brief Minimum time that a workspace's burst must cover at its rate. */
inline constexpr Duration kMinBurstDuration = std::chrono::milliseconds{250};

/*! @brief Minimum burst that can be split over a workspace's slots. */
inline constexpr double kMinBurst = 6;

/**
 * @brief Checks a complete set: names, callers, routes, rate limits and cycles.
 * @param set The set.
 * @param diagnostics Receives all errors.
 */
void CheckContracts(const ContractSet &set, Diagnostics &diagnostics);

/**
 * @brief Parses and checks files.
 * @param files The files.
 * @param diagnostics Receives all errors, sorted by location.
 * @return The set; valid only if there are no diagnostics.
 */
[[nodiscard]] ContractSet ReadContracts(const std::vector<SourceFile> &files,
                                        Diagnostics &diagnostics);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_CHECK_H_
