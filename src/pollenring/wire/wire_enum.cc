#include "pollenring/wire/wire_enum.h"

#include <chrono>
#include <map>
#include <string>

#include "pollenring/log/log.h"

namespace pollenring {

void NoteUnknownEnumerator(std::string_view name, std::int64_t number,
                           std::string_view replacement) {
  using Clock = std::chrono::steady_clock;
  constexpr std::chrono::seconds kLogInterval{1};
  // One entry per enumeration, so the map stays small.
  static std::map<std::string, Clock::time_point> last_logged;
  const auto now = Clock::now();
  const auto found = last_logged.find(std::string{name});
  if (found != last_logged.end() && now - found->second < kLogInterval) return;
  last_logged[std::string{name}] = now;
  LogEvent(
      LogLevel::kWarning, "unknown enumerator",
      {{"enumeration", name}, {"number", number}, {"taken_as", replacement}});
}

}  // namespace pollenring
