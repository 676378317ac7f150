#include "pollenring/mesh/cold_policy.h"

#include <algorithm>
#include <cmath>

namespace pollenring {
namespace {

/*! @brief Fraction of the cold-start limit that is used: requests that wait for
 * a connection reach the target later than they were counted. */
constexpr double kUsedPart = 0.8;
/*! @brief The limit holds per second; the extra 100 ms cover late timers. */
constexpr Span kWindow = std::chrono::milliseconds{1100};

}  // namespace

ColdTolerance ColdPolicy::ToleranceOf(const std::string &service) const {
  const ColdStart *start = this->policy.InForce().ColdStartOf(service);
  if (start == nullptr || start->per_second <= 0) return {};
  const double borne =
      start->per_second * this->margin.over + this->margin.slack;
  return {std::max(1, static_cast<int>(std::floor(borne * kUsedPart))),
          kWindow};
}

Span ColdPolicy::ColdAfterStart(const std::string &service) const {
  const ColdStart *start = this->policy.InForce().ColdStartOf(service);
  return start == nullptr ? Span{0} : start->cold_for;
}

}  // namespace pollenring
