#ifndef POLLENRING_ADMISSION_ADMISSION_REQUEST_H_
#define POLLENRING_ADMISSION_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief What admission needs to know of a request. */
struct AdmissionRequest {
  std::uint64_t id{};
  Importance importance{Importance::kNormal};
  double sub_priority{}; /*!< Same for all parts of one root, in [0, 1). */
  double weight{1};      /*!< The workspace's part, by its contracted rate. */
  int depth{};           /*!< 0 for a root request. */
  Time root_started{};   /*!< Earlier roots have more work invested. */
  std::string workspace;
  Time deadline{};
  Time soft_deadline{}; /*!< By when an answer is worth most. */

  /*! @brief Whether work was done above this request already. */
  [[nodiscard]] bool Invested() const noexcept { return this->depth > 0; }
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_ADMISSION_REQUEST_H_
