#ifndef POLLENRING_STORAGE_STORE_TIMEOUT_H_
#define POLLENRING_STORAGE_STORE_TIMEOUT_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/**
 * @brief Time limit of calls of the store.
 *
 * A short limit finds a store that is down soon. While a process starts, a
 * store that is only slow must be waited for, as no peer may have what it
 * holds, so time-outs then raise the limit.
 */
class StoreTimeout {
 public:
  /*! @brief Calls take a few milliseconds, and a few hundred when the store is
   * slow. */
  static constexpr Duration kUsual = std::chrono::milliseconds{800};
  /*! @brief A VM without the store for 3 s counts as out of contact. */
  static constexpr Duration kMax = std::chrono::milliseconds{3200};

  /*! @brief Limit of the next call. @return The time. */
  [[nodiscard]] Duration Limit() const noexcept { return this->limit; }

  /*! @brief Records a call without a response. @param limit Its limit. */
  void TimedOut(Duration limit) noexcept;

  /*! @brief Records a call with a response. @param took Time until then. */
  void Answered(Duration took) noexcept;

  /*! @brief Ends the start: time-outs don't raise the limit any more. */
  void EndStart() noexcept { this->starting = false; }

 private:
  Duration limit{kUsual};
  bool starting{true};
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_STORE_TIMEOUT_H_
