#ifndef POLLENRING_NODE_START_FAILURE_H_
#define POLLENRING_NODE_START_FAILURE_H_

#include <nlohmann/json.hpp>

#include "pollenring/core/diagnostic.h"
#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Why a process can't start. */
enum class StartFailure {
  kUsage,    /*!< The command line is wrong. */
  kSettings, /*!< The settings can't be read or aren't valid. */
  kAddress,  /*!< An address can't be listened on. */
  kOther
};

/*! @brief Names of the reasons, for logs. */
inline constexpr EnumTable<StartFailure, 4> kStartFailureNames{{{
    {StartFailure::kUsage, "usage"},
    {StartFailure::kSettings, "settings"},
    {StartFailure::kAddress, "address"},
    {StartFailure::kOther, "other"},
}}};

/*! @brief Exit code of a process that can't start. @return The code. */
[[nodiscard]] int ExitCodeOf(StartFailure reason) noexcept;

/**
 * @brief Logs why the process can't start, as one line.
 * @param reason Why.
 * @param fields Details.
 * @return The exit code.
 */
[[nodiscard]] int LogStartFailure(StartFailure reason, nlohmann::json fields);

/**
 * @brief Describes errors of a settings file.
 * @param diagnostics The errors.
 * @return Fields of a log line.
 */
[[nodiscard]] nlohmann::json DescribeFindings(const Diagnostics &diagnostics);

}  // namespace pollenring

#endif  // POLLENRING_NODE_START_FAILURE_H_
