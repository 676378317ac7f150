#ifndef POLLENRING_LEASE_OPTIONS_H_
#define POLLENRING_LEASE_OPTIONS_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Timing of leases; the same on every node. */
struct LeaseOptions {
  /*! @brief Validity of a witness's promise. */
  Duration promise{std::chrono::milliseconds{2000}};
  /*! @brief Interval at which a holder renews its promises. */
  Duration renewal{std::chrono::milliseconds{500}};
  /*! @brief Interval of repeated queries within a round. */
  Duration resend{std::chrono::milliseconds{150}};
  Duration round_timeout{std::chrono::milliseconds{2500}};
  Duration claim_pause{std::chrono::milliseconds{500}};
  /*! @brief Delay of a claim per rank of the claiming node. */
  Duration rank_pause{std::chrono::milliseconds{800}};
  /*! @brief Delay of an election per position among the witnesses. */
  Duration election_pause{std::chrono::milliseconds{300}};
  /*! @brief Time after which a row that was not rewritten is void. */
  Duration lapse{std::chrono::minutes{30}};
  double drift{0.01}; /*!< Maximum relative difference of clock speeds. */
  std::size_t max_table_calls{
      16}; /*!< Concurrent calls for claims and changes. */

  /**
   * @brief Shortens a duration by the maximum clock drift.
   * @param span Duration.
   * @return The shorter duration.
   */
  [[nodiscard]] Duration ShortenForDrift(Duration span) const noexcept {
    return Duration{static_cast<std::int64_t>(
        static_cast<double>(span.count()) * (1 - this->drift))};
  }

  /**
   * @brief Lengthens a duration by the maximum clock drift.
   * @param span Duration.
   * @return The longer duration.
   */
  [[nodiscard]] Duration LengthenForDrift(Duration span) const noexcept {
    return Duration{static_cast<std::int64_t>(
               static_cast<double>(span.count()) * (1 + this->drift))} +
           Duration{1};
  }
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_OPTIONS_H_
