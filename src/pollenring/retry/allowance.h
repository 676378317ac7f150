#ifndef POLLENRING_RETRY_ALLOWANCE_H_
#define POLLENRING_RETRY_ALLOWANCE_H_

#include "pollenring/core/invariant.h"

namespace pollenring {

/**
 * @brief Retries that one request may still cause, including those of services
 * downstream.
 *
 * A sub-call receives a slice and returns what it did not spend. A slice that
 * is not returned counts as spent, so all runs caused by one root request never
 * exceed its initial allowance.
 */
class RetryAllowance {
 public:
  /**
   * @brief Starts with the number granted by the caller or the contract.
   * @param granted Number of retries, 0 or more.
   */
  explicit RetryAllowance(int granted = 0) noexcept : left{granted} {}

  [[nodiscard]] int Left() const noexcept { return this->left; }

  /*! @brief Spends one retry. @return True if one was left. */
  [[nodiscard]] bool Spend() noexcept {
    if (this->left == 0) return false;
    --this->left;
    return true;
  }

  /**
   * @brief Takes a slice for a sub-call: half of what is left, rounded up.
   * @return Size of the slice.
   */
  [[nodiscard]] int Slice() noexcept {
    const int slice = (this->left + 1) / 2;
    this->left -= slice;
    return slice;
  }

  /**
   * @brief Adds back what a sub-call did not spend.
   * @param slice Size of its slice.
   * @param unspent Retries it reports as unspent.
   */
  void Return(int slice, int unspent) {
    Require(unspent >= 0 && unspent <= slice,
            "a sub-call returns no more retries than its slice");
    this->left += unspent;
  }

 private:
  int left;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_ALLOWANCE_H_
