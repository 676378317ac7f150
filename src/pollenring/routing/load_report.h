#ifndef POLLENRING_ROUTING_LOAD_REPORT_H_
#define POLLENRING_ROUTING_LOAD_REPORT_H_

#include <cstdint>
#include <msgpack.hpp>

namespace pollenring {

/*! @brief Load of a target as its node measures it; rides on each answer. */
struct LoadReport {
  std::uint32_t in_progress{}; /*!< Running and queued requests. */
  std::uint32_t limit{};       /*!< Requests that may run at once. */
  std::uint32_t cold_ms{};     /*!< How long the target stays cold. */
  MSGPACK_DEFINE(in_progress, limit, cold_ms)
};

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_LOAD_REPORT_H_
