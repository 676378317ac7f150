#ifndef POLLENRING_NET_CORRELATION_HISTORY_H_
#define POLLENRING_NET_CORRELATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "pollenring/core/clock.h"

namespace pollenring::internal {

/**
 * @brief The requests that a connection has carried, by correlation value.
 *
 * A peer may send a response a second time, late. When the request is sent
 * again with the same value, that copy looks like its response, so each sending
 * needs a connection that has not carried the request before.
 */
class CorrelationHistory {
 public:
  /**
   * @brief Records a request.
   * @param value Its correlation value.
   * @param now Time.
   * @param until When it can't be sent again any more; then it is forgotten.
   */
  void Add(std::string_view value, Time now, Time until);

  /**
   * @brief Checks whether a request may have been recorded.
   * @param value Its correlation value.
   * @param now Time.
   * @return False only if it was not; values with equal hashes look the same.
   */
  [[nodiscard]] bool MayContain(std::string_view value, Time now) const;

 private:
  std::unordered_map<std::uint64_t, Time> until_by_hash;
  std::deque<std::uint64_t> hashes; /*!< In the order of their requests. */
};

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_CORRELATION_HISTORY_H_
