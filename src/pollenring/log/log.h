#ifndef POLLENRING_LOG_LOG_H_
#define POLLENRING_LOG_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace pollenring {

/*! @brief Severity of an event. */
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/**
 * @brief Sets up the process's log: JSON lines on standard output.
 *
 * Lines are kept in a bounded buffer until `FlushLog`; logging never blocks on
 * the reader.
 * @param program Program name in each line.
 * @param level Minimum severity; events below it are dropped.
 */
void SetUpLog(const std::string &program, LogLevel level);

/**
 * @brief Logs one event as one line. Never pass API keys or bodies.
 * @param level Severity.
 * @param event Name of the event.
 * @param fields Additional fields; a JSON object.
 */
void LogEvent(LogLevel level, std::string_view event,
              nlohmann::json fields = nlohmann::json::object());

/**
 * @brief Checks whether the line budget allows an event that occurs per
 * request.
 *
 * Failures have a separate budget, so that successes never displace them.
 * Dropped lines are counted and reported at most once per second.
 * @param level Severity.
 * @return True if `LogEvent` may be called; this uses up one line.
 */
[[nodiscard]] bool MayLogRequest(LogLevel level);

/*! @brief Writes buffered lines as far as possible without blocking; to be
 * called often. */
void FlushLog();

}  // namespace pollenring

#endif  // POLLENRING_LOG_LOG_H_
