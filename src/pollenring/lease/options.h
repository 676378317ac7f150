#ifndef POLLENRING_LEASE_OPTIONS_H_
#define POLLENRING_LEASE_OPTIONS_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Timing of leases; the same on every node. */
struct LeaseOptions {
  Span promise{std::chrono::milliseconds{2000}};
  Span renewal{std::chrono::milliseconds{500}};
  Span resend{std::chrono::milliseconds{150}};
  Span round_timeout{std::chrono::milliseconds{2500}};
  Span claim_pause{std::chrono::milliseconds{500}};
  Span rank_pause{std::chrono::milliseconds{800}};
  Span election_pause{std::chrono::milliseconds{300}};
  Span lapse{std::chrono::minutes{30}};
  double drift{0.01}; /*!< Maximum relative difference of clock speeds. */
  std::size_t most_table_calls{16};

  /**
   * @brief Shortens a time for a fast peer. @param span Duration. @return It.
   */
  [[nodiscard]] Span Less(Span span) const noexcept {
    return Span{static_cast<std::int64_t>(static_cast<double>(span.count()) *
                                          (1 - this->drift))};
  }

  /**
   * @brief Lengthens a time for a slow peer. @param span Duration. @return It.
   */
  [[nodiscard]] Span More(Span span) const noexcept {
    return Span{static_cast<std::int64_t>(static_cast<double>(span.count()) *
                                          (1 + this->drift))} +
           Span{1};
  }
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_OPTIONS_H_
