#ifndef POLLENRING_ADMISSION_FAILURE_FRACTION_H_
#define POLLENRING_ADMISSION_FAILURE_FRACTION_H_

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Recent fraction of the calls to a target that do not succeed. */
class FailureFraction {
 public:
  /**
   * @brief Counts a call.
   * @param failed Whether the target rejected or failed it.
   * @param now Time.
   */
  void Record(bool failed, Time now);

  /*! @brief Recent calls, exponentially decayed. @param now Time. @return The
   * count. */
  [[nodiscard]] double Samples(Time now) const;

  /*! @brief Fraction of the recent calls that failed. @return From 0 to 1. */
  [[nodiscard]] double Fraction() const noexcept;

 private:
  double calls{};
  double failures{};
  Time as_of{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_FAILURE_FRACTION_H_
