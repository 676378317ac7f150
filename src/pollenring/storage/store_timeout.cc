#include "pollenring/storage/store_timeout.h"

#include <algorithm>

namespace pollenring {

void StoreTimeout::TimedOut(Duration given) noexcept {
  if (!this->starting) return;
  // Calls that were sent together time out together and count once.
  this->limit = std::max(this->limit, std::min(2 * given, kMax));
}

void StoreTimeout::Answered(Duration took) noexcept {
  this->limit = std::clamp(2 * took, kUsual, kMax);
}

}  // namespace pollenring
