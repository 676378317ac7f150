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
   * @param share Retries earned per success.
   * @param reserve Maximum savings, in retries.
   */
  explicit RetryCeiling(double share = 0.1, double reserve = 10) noexcept
      : share{share}, reserve{reserve}, saved{reserve} {}

  /*! @brief Checks whether a retry is allowed. @return True if it is. */
  [[nodiscard]] bool Allows() const noexcept { return this->saved >= 1; }

  /*! @brief Earns a fraction of a retry. */
  void Succeeded() noexcept {
    this->saved = std::min(this->reserve, this->saved + this->share);
  }

  /*! @brief Spends one retry. @return True if one was saved. */
  [[nodiscard]] bool Spend() noexcept {
    if (!this->Allows()) return false;
    this->saved -= 1;
    return true;
  }

 private:
  double share;
  double reserve;
  double saved;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_CEILING_H_
