#ifndef POLLENRING_ADMISSION_TARGET_RATE_LIMITER_H_
#define POLLENRING_ADMISSION_TARGET_RATE_LIMITER_H_

#include <optional>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Settings of a target's rate limit. */
struct TargetRateLimiterOptions {
  /*! @brief Requests per second until the target's first response tells whether
   * it has a limit; 0 for no limit. */
  double initial_rate{};
  /*! @brief How long that holds without a response. */
  Duration initial_period{std::chrono::seconds{1}};
  /*! @brief Least rate, as only responses tell that a limit has ended. */
  double min_rate{0.5};
  /*! @brief Requests saved up while fewer arrive, as a duration at the rate. */
  Duration burst{std::chrono::milliseconds{250}};
};

/**
 * @brief Limits what a target is sent to the rate that its responses state.
 *
 * All requests to a target pass through its local node, so a token bucket here
 * limits what all nodes together send.
 */
class TargetRateLimiter {
 public:
  /**
   * @brief Starts with the initial limit.
   * @param options Settings.
   * @param clock Clock.
   */
  TargetRateLimiter(const TargetRateLimiterOptions &options,
                    const Clock &clock);

  /**
   * @brief Records what a response states.
   * @param per_second Rate that the target takes; empty if it states none.
   * @param sent When its request was sent. The limit ends with a response to a
   * request that was sent after the limit was last stated; others may have been
   * prepared before it.
   */
  void Record(const std::optional<double> &per_second, Time sent);

  /*! @brief Checks if the target states a limit. @return True if it does. */
  [[nodiscard]] bool Stated() const noexcept { return this->stated; }

  /*! @brief The stated limit. @return Requests per second; 0 without one. */
  [[nodiscard]] double PerSecond() const noexcept {
    return this->stated ? *this->rate : 0;
  }

  /*! @brief Checks for a token. @return True if a request may be sent. */
  [[nodiscard]] bool HasToken();

  /*! @brief Spends a token, as a request is sent. */
  void Spend();

 private:
  [[nodiscard]] double MaxTokens() const noexcept;
  void Refill();

  TargetRateLimiterOptions options;
  const Clock &clock;
  std::optional<double> rate;
  bool stated{};     /*!< By the target; else the initial limit. */
  Time first_sent{}; /*!< 0 before the first request. */
  Time last_stated{};
  double tokens{};
  Time refilled{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_TARGET_RATE_LIMITER_H_
