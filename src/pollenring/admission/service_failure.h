#ifndef POLLENRING_ADMISSION_SERVICE_FAILURE_H_
#define POLLENRING_ADMISSION_SERVICE_FAILURE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief Fractions, calls and priorities travel in thousandths. */
inline constexpr double kFailureScale = 1000;

/*! @brief How many calls to a service do not succeed; sent with replies. */
struct ServiceFailure {
  std::string service;         /*!< Empty for the one that was called. */
  std::int32_t failed_milli{}; /*!< Fraction rejected or failed by targets. */
  std::int32_t samples{};      /*!< Recent calls that it was measured on. */
  std::int32_t age_ms{};       /*!< Since a target's node measured it. */
  /*! @brief Calls that a run of the replied request's route makes there; below
   * 0 if unknown. */
  std::int32_t calls_milli{-1};
  /*! @brief Priority from which callers retry; below 0 if unknown. */
  std::int32_t retried_from_milli{-1};
  bool makes_no_calls{};  /*!< Its targets call no other service. */
  std::uint64_t target{}; /*!< Does not travel; node local to the target, 0 if
                             the report covers all targets. */
};

template <>
struct NumberedLayout<ServiceFailure> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(
        Field{1, value.service}, Field{2, value.failed_milli},
        Field{3, value.samples}, Field{4, value.age_ms},
        Field{5, value.calls_milli}, Field{6, value.retried_from_milli},
        Field{7, value.makes_no_calls});
  }
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_SERVICE_FAILURE_H_
