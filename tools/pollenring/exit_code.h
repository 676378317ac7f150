#ifndef POLLENRING_TOOLS_CLI_EXIT_CODE_H_
#define POLLENRING_TOOLS_CLI_EXIT_CODE_H_

namespace cli {

/*! @brief Exit codes; scripts rely on their values. */
enum class ExitCode {
  kOk = 0,
  kRefused = 1,     /*!< The node refused the request. */
  kUsage = 2,       /*!< Wrong command line. */
  kFindings = 3,    /*!< Contract files are invalid. */
  kConflict = 4,    /*!< Another operator made a change first. */
  kUnreachable = 5, /*!< Node or platform does not respond; no change. */
  kUnconfirmed = 6  /*!< Committed or unknown; not confirmed in all zones. */
};

}  // namespace cli

#endif  // POLLENRING_TOOLS_CLI_EXIT_CODE_H_
