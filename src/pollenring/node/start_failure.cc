#include "pollenring/node/start_failure.h"

#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

constexpr int kExitOther = 1;
constexpr int kExitUsage = 2;
constexpr int kExitAddress = 3;

}  // namespace

int ExitCodeOf(StartFailure reason) noexcept {
  switch (reason) {
    case StartFailure::kUsage:
    case StartFailure::kSettings:
      return kExitUsage;
    case StartFailure::kAddress:
      return kExitAddress;
    case StartFailure::kOther:
      break;
  }
  return kExitOther;
}

int LogStartFailure(StartFailure reason, nlohmann::json fields) {
  const int exit_code = ExitCodeOf(reason);
  fields["reason"] = kStartFailureNames.Name(reason);
  fields["exit_code"] = exit_code;
  LogEvent(LogLevel::kError, "startup failed", std::move(fields));
  FlushLog();
  return exit_code;
}

nlohmann::json DescribeFindings(const Diagnostics &diagnostics) {
  nlohmann::json findings = nlohmann::json::array();
  for (const auto &diagnostic : diagnostics)
    findings.push_back(diagnostic.Format());
  return {{"findings", std::move(findings)}};
}

}  // namespace pollenring
