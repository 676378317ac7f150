#ifndef POLLENRING_LEASE_OPTIONS_H_
#define POLLENRING_LEASE_OPTIONS_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Timing of leases; the same on every node. */
struct LeaseOptions {
  Duration promise{std::chrono::milliseconds{2000}};
  Duration renewal{std::chrono::milliseconds{500}};
  Duration resend{std::chrono::milliseconds{150}};
  Duration round_timeout{std::chrono::milliseconds{2500}};
  Duration claim_pause{std::chrono::milliseconds{500}};
  Duration rank_pause{std::chrono::milliseconds{800}};
  Duration election_pause{std::chrono::milliseconds{300}};
  Duration lapse{std::chrono::minutes{30}};
  double drift{0.01}; /*!< Most by which two clocks' speeds differ. */
  std::size_t most_table_calls{16};

  /*! @brief Shortens a span for a fast peer. @param span Span. @return It. */
  [[nodiscard]] Duration Less(Duration span) const noexcept {
    return Duration{static_cast<std::int64_t>(
        static_cast<double>(span.count()) * (1 - this->drift))};
  }

  /*! @brief Lengthens a span for a slow peer. @param span Span. @return It. */
  [[nodiscard]] Duration More(Duration span) const noexcept {
    return Duration{static_cast<std::int64_t>(
               static_cast<double>(span.count()) * (1 + this->drift))} +
           Duration{1};
  }
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_OPTIONS_H_
