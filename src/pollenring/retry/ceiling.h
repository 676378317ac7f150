#ifndef POLLENRING_RETRY_CEILING_H_
#define POLLENRING_RETRY_CEILING_H_

#include <algorithm>

namespace pollenring {

/**
 * @brief Limits the retries to one service to a fraction of its successes.
 *
 * When a service fails completely, its retries stop once the reserve is spent,
 * so recovery does not depend on the load going down.
 */
class RetryCeiling {
 public:
  /**
   * @brief Starts with a full reserve.
   * @param retry_ratio Retries earned per success.
   * @param reserve Maximum savings, in retries.
   */
  explicit RetryCeiling(double retry_ratio = 0.1, double reserve = 10) noexcept
      : retry_ratio{retry_ratio}, reserve{reserve}, balance{reserve} {}

  /*! @brief Checks whether a retry is allowed. @return True if it is. */
  [[nodiscard]] bool Allows() const noexcept { return this->balance >= 1; }

  /*! @brief Earns a fraction of a retry. */
  void RecordSuccess() noexcept {
    this->balance = std::min(this->reserve, this->balance + this->retry_ratio);
  }

  /*! @brief Spends one retry. @return True if one was saved. */
  [[nodiscard]] bool Spend() noexcept {
    if (!this->Allows()) return false;
    this->balance -= 1;
    return true;
  }

 private:
  double retry_ratio;
  double reserve;
  double balance;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_CEILING_H_
