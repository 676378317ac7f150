#ifndef POLLENRING_CORE_DIAGNOSTIC_H_
#define POLLENRING_CORE_DIAGNOSTIC_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pollenring {

/*! @brief A position in a source file. */
struct SourceLocation {
  std::string file;
  std::uint32_t line{};
  std::uint32_t column{};
};

/*! @brief An error in an operator's input, with its location. */
struct Diagnostic {
  SourceLocation location;
  std::string message;

  /**
   * @brief Formats the diagnostic in the style of compilers.
   * @return `file:line:column: message`.
   */
  [[nodiscard]] std::string Format() const {
    return this->location.file + ":" + std::to_string(this->location.line) +
           ":" + std::to_string(this->location.column) + ": " + this->message;
  }
};

/*! @brief All errors of one input. */
using Diagnostics = std::vector<Diagnostic>;

}  // namespace pollenring

#endif  // POLLENRING_CORE_DIAGNOSTIC_H_
