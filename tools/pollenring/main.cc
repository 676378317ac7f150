#include <array>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "commands.h"

namespace {

using cli::CommonOptions;
using cli::ExitCode;
using Arguments = std::vector<std::string>;

struct Command {
  const char *name;
  const char *arguments;
  const char *help;
  std::size_t min_arguments;
  std::function<ExitCode(const CommonOptions &, const Arguments &)> run;
};

[[nodiscard]] ExitCode RunKeys(const CommonOptions &common,
                               const Arguments &arguments) {
  const std::string &action = arguments.front();
  if (action == "list") return cli::ListKeys(common);
  if (arguments.size() < 2) {
    std::cerr << "pollenring: keys " << action << " needs an argument\n";
    return ExitCode::kUsage;
  }
  if (action == "issue") return cli::IssueKey(common, arguments[1]);
  if (action == "withdraw") return cli::WithdrawKey(common, arguments[1]);
  std::cerr << "pollenring: keys issue WORKSPACE | withdraw KEY | list\n";
  return ExitCode::kUsage;
}

[[nodiscard]] const std::array<Command, 7> &Commands() {
  static const std::array<Command, 7> commands{{
      {"check", "FILE|FOLDER...", "Check contract files; report all findings.",
       1, cli::Check},
      {"publish", "FILE|FOLDER...",
       "Check contract files and activate them as one configuration version.",
       1, cli::Publish},
      {"diff", "FILE|FOLDER...", "Show what publishing would change.", 1,
       cli::Diff},
      {"status", "", "Show the state of a node and its view of the members.", 0,
       [](const CommonOptions &common, const Arguments &) {
         return cli::Status(common);
       }},
      {"keys", "issue WORKSPACE | withdraw KEY-OR-DIGEST | list",
       "Issue, withdraw or list keys of callers.", 1, RunKeys},
      {"audit", "", "Show the audit trail, including refused changes.", 0,
       [](const CommonOptions &common, const Arguments &) {
         return cli::Audit(common);
       }},
      {"drain", "",
       "Drain a node: it finishes requests in progress, then exits.", 0,
       [](const CommonOptions &common, const Arguments &) {
         return cli::Drain(common);
       }},
  }};
  return commands;
}

void PrintUsage() {
  std::cout << "Usage: pollenring COMMAND [OPTION...] [ARGUMENT...]\n\n";
  for (const auto &command : Commands()) {
    std::cout << "  " << command.name << ' ' << command.arguments << "\n      "
              << command.help << '\n';
  }
  std::cout
      << "\nRun a command with --help for its options. Exit codes: 0 "
         "success, 1 refused,\n2 usage error, 3 findings, 4 conflict with "
         "another operator's change, 5 node or\nplatform unreachable "
         "(nothing changed), 6 committed or unknown, not confirmed in\n"
         "every zone.\n";
}

[[nodiscard]] std::string EnvironmentOrEmpty(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

[[nodiscard]] int RunCommand(const Command &command, int argc, char **argv) {
  cxxopts::Options options{std::string{"pollenring "} + command.name,
                           command.help};
  options.positional_help(command.arguments);
  options.add_options()("node", "Operator port of a node",
                        cxxopts::value<std::string>()->default_value(
                            EnvironmentOrEmpty("POLLENRING_NODE")))(
      "secret",
      "Operators' secret; prefer the variable POLLENRING_OPERATOR_SECRET",
      cxxopts::value<std::string>()->default_value(""))(
      "author", "Author recorded in the audit trail",
      cxxopts::value<std::string>()->default_value(EnvironmentOrEmpty("USER")))(
      "json", "Print JSON")("h,help", "Print this help")(
      "arguments", "", cxxopts::value<Arguments>()->default_value(""));
  options.parse_positional({"arguments"});
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return EXIT_SUCCESS;
  }
  CommonOptions common;
  common.node = parsed["node"].as<std::string>();
  common.secret = parsed["secret"].as<std::string>();
  if (common.secret.empty()) {
    common.secret = EnvironmentOrEmpty("POLLENRING_OPERATOR_SECRET");
  }
  common.author = parsed["author"].as<std::string>();
  if (common.author.empty()) common.author = "unknown";
  common.json = parsed.count("json") > 0;
  Arguments arguments;
  if (parsed.count("arguments") > 0) {
    arguments = parsed["arguments"].as<Arguments>();
  }
  if (arguments.size() < command.min_arguments) {
    std::cerr << "pollenring: " << command.name << " needs "
              << command.arguments << "; see --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  return static_cast<int>(command.run(common, arguments));
}

}  // namespace

int main(int argc, char **argv) {
  // A node may end the connection while a request is being written.
  std::signal(SIGPIPE, SIG_IGN);
  const std::string name = argc > 1 ? argv[1] : "--help";
  if (name == "--help" || name == "-h" || name == "help") {
    PrintUsage();
    return argc > 1 ? EXIT_SUCCESS : static_cast<int>(ExitCode::kUsage);
  }
  for (const auto &command : Commands()) {
    if (name != command.name) continue;
    try {
      return RunCommand(command, argc - 1, argv + 1);
    } catch (const cxxopts::exceptions::exception &error) {
      std::cerr << "pollenring: " << error.what() << "; see --help\n";
      return static_cast<int>(ExitCode::kUsage);
    }
  }
  std::cerr << "pollenring: unknown command '" << name << "'; see --help\n";
  return static_cast<int>(ExitCode::kUsage);
}
