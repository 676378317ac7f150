#ifndef POLLENRING_CORE_INVARIANT_H_
#define POLLENRING_CORE_INVARIANT_H_

#include <stdexcept>
#include <string>

namespace pollenring {

/*! @brief Thrown when an invariant is violated. */
class InvariantError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/**
 * @brief Checks an invariant, in release builds too.
 * @param holds Whether the invariant holds.
 * @param description Description of the invariant.
 * @throws InvariantError if the invariant does not hold.
 */
inline void Require(bool holds, const char *description) {
  if (!holds)
    throw InvariantError{std::string{"invariant broken: "} + description};
}

}  // namespace pollenring

#endif  // POLLENRING_CORE_INVARIANT_H_
