#ifndef POLLENRING_TOOLS_CLI_EXIT_CODE_H_
#define POLLENRING_TOOLS_CLI_EXIT_CODE_H_

namespace cli {

/*! @brief What a script can rely on. */
enum class ExitCode {
  kOk = 0,
  kRefused = 1,     /*!< The node refused the request. */
  kUsage = 2,       /*!< Wrong command line. */
  kFindings = 3,    /*!< Contracts have faults. */
  kConflict = 4,    /*!< Another operator's change came first. */
  kUnreachable = 5, /*!< Node or platform does not answer. Nothing changed. */
  kUnconfirmed = 6  /*!< Committed or unknown, but not confirmed everywhere. */
};

}  // namespace cli

#endif  // POLLENRING_TOOLS_CLI_EXIT_CODE_H_
