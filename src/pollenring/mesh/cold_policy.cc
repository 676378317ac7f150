#include "pollenring/mesh/cold_policy.h"

#include <algorithm>
#include <cmath>

namespace pollenring {
namespace {

/*! @brief Fraction of the cold-start limit that is used: requests that wait for
 * a connection reach the target later than they were counted. */
constexpr double kUsedFraction = 0.8;
/*! @brief The limit holds per second; the extra 100 ms cover late timers. */
constexpr Duration kWindow = std::chrono::milliseconds{1100};

}  // namespace

ColdStartLimit ColdPolicy::LimitOf(const std::string &service) const {
  const ColdStart *start = this->policy.Active().ColdStartOf(service);
  if (start == nullptr || start->per_second <= 0) return {};
  const double allowed =
      start->per_second * this->headroom.over + this->headroom.slack;
  return {std::max(1, static_cast<int>(std::floor(allowed * kUsedFraction))),
          kWindow};
}

Duration ColdPolicy::ColdAfterStart(const std::string &service) const {
  const ColdStart *start = this->policy.Active().ColdStartOf(service);
  return start == nullptr ? Duration{0} : start->cold_period;
}

}  // namespace pollenring
