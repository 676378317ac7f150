#ifndef POLLENRING_CORE_RESULT_H_
#define POLLENRING_CORE_RESULT_H_

#include <variant>

namespace pollenring {

/*! @brief A value or a typed error. */
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/**
 * @brief Checks whether a result holds its value.
 * @param result The result.
 * @return True if it holds a value, false if it holds an error.
 */
template <typename Value, typename Error>
[[nodiscard]] bool Ok(const Result<Value, Error> &result) noexcept {
  return result.index() == 0;
}

}  // namespace pollenring

#endif  // POLLENRING_CORE_RESULT_H_
