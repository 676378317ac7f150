#ifndef POLLENRING_TOOLS_CLI_COMMANDS_H_
#define POLLENRING_TOOLS_CLI_COMMANDS_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace cli {

/*! @brief Options common to all commands. */
struct CommonOptions {
  std::string node;
  std::string secret;
  std::string author;
  bool json{};
};

/*! @brief Validates contract files. @param paths Files and folders. */
[[nodiscard]] ExitCode Check(const CommonOptions &common,
                             const std::vector<std::string> &paths);

/*! @brief Publishes contract files. @param paths Files and folders. */
[[nodiscard]] ExitCode Publish(const CommonOptions &common,
                               const std::vector<std::string> &paths);

/*! @brief Shows what Publish would change. @param paths Files and folders. */
[[nodiscard]] ExitCode Diff(const CommonOptions &common,
                            const std::vector<std::string> &paths);

/*! @brief Shows the state of a node and its view of the members. */
[[nodiscard]] ExitCode Status(const CommonOptions &common);

/*! @brief Issues a key and prints it once. @param workspace Its workspace. */
[[nodiscard]] ExitCode IssueKey(const CommonOptions &common,
                                const std::string &workspace);

/*! @brief Withdraws a key. @param key The key or its digest. */
[[nodiscard]] ExitCode WithdrawKey(const CommonOptions &common,
                                   const std::string &key);

/*! @brief Lists digests and workspaces of all active keys. */
[[nodiscard]] ExitCode ListKeys(const CommonOptions &common);

/*! @brief Shows the audit trail, including refused changes. */
[[nodiscard]] ExitCode Audit(const CommonOptions &common);

/*! @brief Drains a node. */
[[nodiscard]] ExitCode Drain(const CommonOptions &common);

}  // namespace cli

#endif  // POLLENRING_TOOLS_CLI_COMMANDS_H_
