#ifndef POLLENRING_RETRY_BACKOFF_H_
#define POLLENRING_RETRY_BACKOFF_H_

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"

namespace pollenring {

/**
 * @brief Applies jitter to a retry delay: a factor from 0.5 to 1.5.
 * @param mean Mean delay.
 * @param random Random source.
 * @return A duration that differs from caller to caller.
 */
[[nodiscard]] inline Duration WithJitter(Duration mean, Random &random) {
  const double factor = 0.5 + random.Fraction();
  return Duration{
      static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor)};
}

}  // namespace pollenring

#endif  // POLLENRING_RETRY_BACKOFF_H_
