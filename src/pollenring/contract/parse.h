#ifndef POLLENRING_CONTRACT_PARSE_H_
#define POLLENRING_CONTRACT_PARSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "pollenring/contract/contract.h"

namespace pollenring {

/*! @brief An operator's file, read already. */
struct SourceFile {
  std::string name;
  std::string text;
};

/**
 * @brief Parses one contract file.
 * @param file The file.
 * @param set Receives what the file declares.
 * @param diagnostics Receives all faults.
 */
void ParseContractFile(const SourceFile &file, ContractSet &set,
                       Diagnostics &diagnostics);

/**
 * @brief Parses a length of time with its unit.
 * @param text Such as `250ms` or `2s`.
 * @return The length, or nothing when number or unit is missing.
 */
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

/**
 * @brief Parses a rate with its unit.
 * @param text Such as `50/s` or `600/min`.
 * @return Requests a second, or nothing when number or unit is missing.
 */
[[nodiscard]] std::optional<double> ParseRate(std::string_view text);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_PARSE_H_
