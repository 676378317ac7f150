#ifndef POLLENRING_CONTRACT_PARSE_H_
#define POLLENRING_CONTRACT_PARSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "pollenring/contract/contract.h"

namespace pollenring {

/*! @brief Name and contents of an operator's file. */
struct SourceFile {
  std::string name;
  std::string text;
};

/**
 * @brief Parses one contract file.
 * @param file The file.
 * @param set Receives the file's declarations.
 * @param diagnostics Receives all errors.
 */
void ParseContractFile(const SourceFile &file, ContractSet &set,
                       Diagnostics &diagnostics);

/**
 * @brief Parses a duration with its unit.
 * @param text Such as `250ms` or `2s`.
 * @return The duration, or nothing if number or unit is invalid.
 */
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

/**
 * @brief Parses a rate with its unit.
 * @param text Such as `50/s` or `600/min`.
 * @return Requests per second, or nothing if number or unit is invalid.
 */
[[nodiscard]] std::optional<double> ParseRate(std::string_view text);

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_PARSE_H_
