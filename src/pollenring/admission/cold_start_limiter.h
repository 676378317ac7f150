#ifndef POLLENRING_ADMISSION_COLD_START_LIMITER_H_
#define POLLENRING_ADMISSION_COLD_START_LIMITER_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Headroom that operators allow above a cold target's declared rate. */
struct ColdStartHeadroom {
  double over{1};  /*!< Factor applied to the declared rate. */
  double slack{0}; /*!< Additional requests in one second. */
};

/*! @brief Cold-start limit: requests that a cold target can handle. */
struct ColdStartLimit {
  int requests{}; /*!< In any window; 0 for no limit. */
  Duration window{};

  /*! @brief The limit as a rate. @return Requests per second. */
  [[nodiscard]] double PerSecond() const noexcept;
};

/**
 * @brief Limits the requests sent to a target while it is cold.
 *
 * All requests to a target pass through its local node, so a sliding window
 * here limits what all nodes together send. A request counts from the moment it
 * is sent; one that the target rejects is removed from the window.
 */
class ColdStartLimiter {
 public:
  /**
   * @brief Starts warm and without a limit.
   * @param clock Clock.
   */
  explicit ColdStartLimiter(const Clock &clock) : clock{clock} {}

  /*! @brief Sets the limit. @param new_limit The limit. */
  void SetLimit(const ColdStartLimit &new_limit) { this->limit = new_limit; }

  /**
   * @brief Sets until when the target is cold.
   * @param until End of the cold period; a past time means warm.
   */
  void SetColdUntil(Time until) noexcept { this->cold_until = until; }

  /*! @brief Checks if the limit applies now. @return True if it does. */
  [[nodiscard]] bool Active() const noexcept {
    return this->limit.requests > 0 && this->ColdFor() > Duration{0};
  }

  /*! @brief Remaining cold time of the target. @return It, 0 if warm. */
  [[nodiscard]] Duration ColdFor() const noexcept;

  /*! @brief End of the last cold period. @return It. */
  [[nodiscard]] Time ColdUntil() const noexcept { return this->cold_until; }

  /*! @brief The limit as a rate. @return Requests per second. */
  [[nodiscard]] double PerSecond() const noexcept {
    return this->limit.PerSecond();
  }

  /*! @brief Checks for room in the window. @return True if one may be sent. */
  [[nodiscard]] bool HasRoom();

  /*! @brief Counts a request as sent. @param id The request. */
  void RecordSent(std::uint64_t id);

  /*! @brief Uncounts a rejected request. @param id The request. */
  void Uncount(std::uint64_t id);

 private:
  void DropExpired();

  const Clock &clock;
  ColdStartLimit limit;
  Time cold_until{};
  std::deque<std::pair<Time, std::uint64_t>> sent;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_COLD_START_LIMITER_H_
