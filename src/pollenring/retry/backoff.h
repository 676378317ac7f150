#ifndef POLLENRING_RETRY_BACKOFF_H_
#define POLLENRING_RETRY_BACKOFF_H_

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"

namespace pollenring {

/**
 * @brief Spreads a time to come back over half to one and a half of itself.
 * @param around The middle.
 * @param random Randomness.
 * @return A span that differs from caller to caller.
 */
[[nodiscard]] inline Duration WithJitter(Duration around, Random &random) {
  const double factor = 0.5 + random.Fraction();
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(around.count()) * factor)};
}

}  // namespace pollenring

#endif  // POLLENRING_RETRY_BACKOFF_H_
