#include "pollenring/wire/wire_enum.h"

#include <chrono>
#include <map>
#include <string>

#include "pollenring/log/log.h"

namespace pollenring {

void NoteUnknownEnumerator(std::string_view name, std::int64_t number,
                           std::string_view taken) {
  using Clock = std::chrono::steady_clock;
  constexpr std::chrono::seconds kPause{1};
  // One entry per enumeration, so the map stays small.
  static std::map<std::string, Clock::time_point> told;
  const auto now = Clock::now();
  const auto found = told.find(std::string{name});
  if (found != told.end() && now - found->second < kPause) return;
  told[std::string{name}] = now;
  LogEvent(LogLevel::kWarning, "unknown enumerator",
           {{"enumeration", name}, {"number", number}, {"taken_as", taken}});
}

}  // namespace pollenring
