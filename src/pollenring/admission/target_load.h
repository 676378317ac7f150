#ifndef POLLENRING_ADMISSION_TARGET_LOAD_H_
#define POLLENRING_ADMISSION_TARGET_LOAD_H_

#include <cstdint>

namespace pollenring {

/*! @brief Load that a target reports of itself. */
struct TargetLoad {
  std::uint32_t running{};
  std::uint32_t waiting{};
  std::uint32_t slots{};
  /*! @brief How long work takes there now, in percent of the usual. */
  std::uint32_t slowness{100};
  bool states_slowness{}; /*!< Whether the report contained `slowness`. */
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_TARGET_LOAD_H_
