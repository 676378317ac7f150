#include "pollenring/node/memory_limit.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "pollenring/node/limits.h"

namespace pollenring {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
constexpr std::size_t kBytesPerMb = kBytesPerKb * 1024;
/*! @brief Part of the budget for responses that are not complete. Their buffers
 * grow by doubling, so that they may take twice as much for a moment. */
constexpr std::size_t kClientDivisor = 4;

[[nodiscard]] std::string ReadAll(const std::filesystem::path &path) {
  std::ifstream file{path};
  return {std::istreambuf_iterator<char>{file}, {}};
}

[[nodiscard]] std::optional<std::size_t> ParseNumber(std::string_view text) {
  const std::size_t begin =
      std::min(text.find_first_not_of(" \t"), text.size());
  text.remove_prefix(begin);
  std::size_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc{}) return std::nullopt;
  return number;
}

/*! @brief Lowest limit of the process's cgroup and its parents (version 2). */
[[nodiscard]] std::size_t CgroupLimit() {
  std::size_t lowest = SIZE_MAX;
  const auto apply = [&lowest](const std::filesystem::path &path) {
    if (const auto limit = ParseCgroupLimit(ReadAll(path)))
      lowest = std::min(lowest, *limit);
  };
  apply("/sys/fs/cgroup/memory/memory.limit_in_bytes");
  const std::string groups = ReadAll("/proc/self/cgroup");
  const std::size_t begin = groups.find("0::/");
  if (begin == std::string::npos) return lowest;
  const std::size_t path = begin + std::string_view{"0::/"}.size();
  const std::filesystem::path root{"/sys/fs/cgroup"};
  std::filesystem::path group =
      root / groups.substr(path, groups.find('\n', path) - path);
  while (group != root && group.has_relative_path()) {
    apply(group / "memory.max");
    group = group.parent_path();
  }
  apply(root / "memory.max");
  return lowest;
}

}  // namespace

std::optional<std::size_t> ParseCgroupLimit(std::string_view text) {
  return ParseNumber(text);
}

std::optional<std::size_t> ParseMemTotal(std::string_view text) {
  constexpr std::string_view kKey{"MemTotal:"};
  const std::size_t found = text.find(kKey);
  if (found == std::string_view::npos) return std::nullopt;
  const auto kilobytes = ParseNumber(text.substr(found + kKey.size()));
  if (!kilobytes) return std::nullopt;
  return *kilobytes * kBytesPerKb;
}

std::size_t DetectMemory() {
  std::size_t lowest = CgroupLimit();
  rlimit address_space{};
  const bool limited = getrlimit(RLIMIT_AS, &address_space) == 0 &&
                       address_space.rlim_cur != RLIM_INFINITY;
  if (limited) lowest = std::min<std::size_t>(lowest, address_space.rlim_cur);
  const auto machine = ParseMemTotal(ReadAll("/proc/meminfo"));
  if (machine) lowest = std::min(lowest, *machine);
  return lowest;
}

BufferBudgetOptions BudgetFor(const MemoryLimits &limits) {
  const std::size_t memory =
      limits.memory_mb > 0 ? limits.memory_mb * kBytesPerMb : DetectMemory();
  BufferBudgetOptions options;
  options.max_bytes = static_cast<std::size_t>(static_cast<double>(memory) *
                                               limits.buffer_share);
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

HttpServerLimits CallerLimitsFor(BufferBudget &budget) {
  HttpServerLimits limits;
  limits.max_body_bytes = std::min(kMaxBodyBytes, budget.MaxRequestBytes());
  limits.budget = &budget;
  return limits;
}

HttpClientLimits ClientLimitsFor(BufferBudget &budget) {
  HttpClientLimits limits{kMaxBodyBytes};
  limits.max_buffered_bytes =
      std::min(limits.max_buffered_bytes, budget.MaxBytes() / kClientDivisor);
  limits.budget = &budget;
  return limits;
}

}  // namespace pollenring
