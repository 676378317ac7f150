#ifndef POLLENRING_LOG_LOG_H_
#define POLLENRING_LOG_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace pollenring {

/*! @brief How much an event matters to an operator. */
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/**
 * @brief Sets up the process's log: JSON lines on standard output.
 *
 * Lines are kept in a bounded buffer until `FlushLog`; nothing ever waits for
 * the reader.
 * @param program Name that each line carries.
 * @param level Events below it are left out.
 */
void SetUpLog(const std::string &program, LogLevel level);

/**
 * @brief Writes one event as one line. Never pass keys or bodies.
 * @param level How much it matters.
 * @param event Name of the event.
 * @param fields Further fields; a JSON object.
 */
void LogEvent(LogLevel level, std::string_view event,
              nlohmann::json fields = nlohmann::json::object());

/**
 * @brief Tells whether an event that comes with each request may be written.
 *
 * Failures have a budget of their own, so that successes never displace them.
 * What is refused is counted and reported once a second.
 * @param level How much it matters.
 * @return Whether to call `LogEvent`; counts as one line when true.
 */
[[nodiscard]] bool MayLogRequest(LogLevel level);

/*! @brief Writes what the reader takes at once; call it often. */
void FlushLog();

}  // namespace pollenring

#endif  // POLLENRING_LOG_LOG_H_
