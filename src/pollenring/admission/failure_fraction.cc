#include "pollenring/admission/failure_fraction.h"

#include <chrono>
#include <cmath>

namespace pollenring {
namespace {

/*! @brief Time constant of the decay: after the end of a failure of half the
 * calls the fraction falls below a tenth within 0.4 s. */
constexpr Duration kDecayTime = std::chrono::milliseconds{250};

[[nodiscard]] double KeptAfter(Duration elapsed) {
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(kDecayTime.count()));
}

}  // namespace

void FailureFraction::Record(bool failed, Time now) {
  const double kept = KeptAfter(now - this->as_of);
  this->as_of = now;
  this->calls = this->calls * kept + 1;
  this->failures = this->failures * kept + (failed ? 1 : 0);
}

double FailureFraction::Samples(Time now) const {
  return this->calls * KeptAfter(now - this->as_of);
}

double FailureFraction::Fraction() const noexcept {
  return this->calls > 0 ? this->failures / this->calls : 0;
}

}  // namespace pollenring
