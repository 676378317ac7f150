#ifndef POLLENRING_ROUTING_LOAD_REPORT_H_
#define POLLENRING_ROUTING_LOAD_REPORT_H_

#include <cstdint>
#include <msgpack.hpp>

#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief Load of a target, measured by its node; sent with each reply. */
struct LoadReport {
  std::uint32_t in_progress{}; /*!< Running and queued requests. */
  std::uint32_t limit{};       /*!< Requests that may run at once. */
  std::uint32_t cold_ms{};     /*!< Remaining cold time; 0 if warm. */
};

template <>
struct NumberedLayout<LoadReport> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.in_progress}, Field{2, value.limit},
                           Field{3, value.cold_ms});
  }
};

template <>
struct ArrayLayout<LoadReport, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.in_progress, value.limit);
  }
};

template <>
struct ArrayLayout<LoadReport, WireVersion::kV2> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.in_progress, value.limit, value.cold_ms);
  }
};

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_LOAD_REPORT_H_
