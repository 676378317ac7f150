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
  /*! @brief Usual own time of the call's kind there; 0 while unknown. */
  std::uint32_t service_us{};
  std::uint32_t slowness{100};  /*!< Time of work now, in percent of usual. */
  std::uint32_t kind_samples{}; /*!< Requests that `service_us` rests on. */
};

template <>
struct NumberedLayout<LoadReport> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.in_progress}, Field{2, value.limit},
                           Field{3, value.cold_ms}, Field{4, value.service_us},
                           Field{5, value.slowness},
                           Field{6, value.kind_samples});
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
