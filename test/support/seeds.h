#ifndef POLLENRING_TEST_SUPPORT_SEEDS_H_
#define POLLENRING_TEST_SUPPORT_SEEDS_H_

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace support {

/**
 * @brief Seeds of a randomised run: 1 to count, or the one in POLLENRING_SEED.
 * @param count Number of fixed seeds.
 */
[[nodiscard]] inline std::vector<std::uint64_t> Seeds(std::uint64_t count) {
  if (const char *given = std::getenv("POLLENRING_SEED")) {
    return {std::strtoull(given, nullptr, 10)};
  }
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1; seed <= count; ++seed) seeds.push_back(seed);
  return seeds;
}

/**
 * @brief Length of a randomised run, multiplied by POLLENRING_LONGER if set.
 * @param steps Default number of steps.
 * @return Number of steps to run.
 */
[[nodiscard]] inline std::uint64_t Steps(std::uint64_t steps) {
  const char *factor = std::getenv("POLLENRING_LONGER");
  return factor == nullptr ? steps : steps * std::strtoull(factor, nullptr, 10);
}

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_SEEDS_H_
