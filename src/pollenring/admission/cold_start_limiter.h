#ifndef POLLENRING_ADMISSION_COLD_START_LIMITER_H_
#define POLLENRING_ADMISSION_COLD_START_LIMITER_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief What operators tolerate beyond the declared rate of a cold target. */
struct ColdStartHeadroom {
  double over{1};  /*!< Factor on the declared rate. */
  double slack{0}; /*!< Requests beyond it in one second. */
};

/*! @brief How many requests a cold target bears. */
struct ColdStartLimit {
  int requests{}; /*!< In any window; 0 where coldness needs no bound. */
  Duration window{};

  /*! @brief Requests borne over time. @return A second. */
  [[nodiscard]] double PerSecond() const noexcept;
};

/**
 * @brief Bounds what is sent to a target while it is cold.
 *
 * The node beside a target is the only way to it, so a sliding window here
 * bounds what all nodes together send. A request counts from the moment at
 * which it is sent; one that the target turned away gives its place back.
 */
class ColdStartLimiter {
 public:
  /**
   * @brief Starts warm, without a bound.
   * @param clock Clock.
   */
  explicit ColdStartLimiter(const Clock &clock) : clock{clock} {}

  /*! @brief Sets the bound. @param given It. */
  void SetTolerance(const ColdStartLimit &given) { this->tolerance = given; }

  /**
   * @brief The target is cold until a time.
   * @param until The end; one that has passed means warm.
   */
  void SetColdUntil(Time until) noexcept { this->cold_until = until; }

  /*! @brief Whether the bound applies now. @return So. */
  [[nodiscard]] bool Closed() const noexcept {
    return this->tolerance.requests > 0 && this->ColdFor() > Duration{0};
  }

  /*! @brief How long the target stays cold. @return The span, or 0. */
  [[nodiscard]] Duration ColdFor() const noexcept;

  /*! @brief Requests borne over time while it is cold. @return A second. */
  [[nodiscard]] double PerSecond() const noexcept {
    return this->tolerance.PerSecond();
  }

  /*! @brief Whether one more request may be sent now. @return So. */
  [[nodiscard]] bool HasRoom();

  /*! @brief Counts a request as sent. @param id The request. */
  void Sent(std::uint64_t id);

  /*! @brief Uncounts one that the target turned away. @param id The request. */
  void GiveBack(std::uint64_t id);

 private:
  void DropOld();

  const Clock &clock;
  ColdStartLimit tolerance;
  Time cold_until{};
  std::deque<std::pair<Time, std::uint64_t>> sent;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_COLD_START_LIMITER_H_
