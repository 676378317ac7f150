#include "pollenring/log/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"

namespace pollenring {
namespace {

/*! @brief Maximum size of lines buffered for a slow reader; lasts minutes at
 * the usual rate. */
constexpr std::size_t kMaxBufferBytes = std::size_t{1} << 20U;
/*! @brief Request lines per second; these cost 0.1 % of a core. */
constexpr int kMaxRequestLinesPerSecond = 40;
/*! @brief Lines per second on failures and rejections. */
constexpr int kMaxFailureLinesPerSecond = 120;
constexpr Duration kBudgetWindow = std::chrono::seconds{1};

constexpr EnumTable<LogLevel, 4> kLogLevelNames{{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}}};

[[nodiscard]] spdlog::level::level_enum ToSpdlog(LogLevel level) noexcept {
  constexpr std::array<spdlog::level::level_enum, 4> kLevels{
      spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
      spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

/*! @brief Buffers lines until standard output accepts them without blocking. */
class BufferSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void Write() {
    while (this->written < this->buffer.size()) {
      pollfd state{STDOUT_FILENO, POLLOUT, 0};
      // A writable pipe accepts PIPE_BUF bytes without blocking.
      const std::size_t size =
          std::min<std::size_t>(this->buffer.size() - this->written, PIPE_BUF);
      if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) return;
      const auto sent =
          write(STDOUT_FILENO, this->buffer.data() + this->written, size);
      if (sent <= 0) return;
      this->written += static_cast<std::size_t>(sent);
    }
    this->buffer.clear();
    this->written = 0;
  }

  [[nodiscard]] std::uint64_t TakeDropped() noexcept {
    return std::exchange(this->dropped, 0);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg &message) override {
    if (this->buffer.size() + message.payload.size() > kMaxBufferBytes) {
      ++this->dropped;
      return;
    }
    this->buffer.append(message.payload.data(), message.payload.size());
    this->buffer += '\n';
  }

  void flush_() override { this->Write(); }

 private:
  std::string buffer;
  std::size_t written{};
  std::uint64_t dropped{};
};

/*! @brief Log state of the process, which has one standard output. */
struct LogState {
  std::string program{"pollenring"};
  std::shared_ptr<BufferSink> sink;
  Time window_start{};
  int requests{};
  int failures{};
  std::uint64_t over_budget{};
};

[[nodiscard]] LogState &State() {
  static LogState state;
  return state;
}

void StartWindow(LogState &state, Time now) {
  state.window_start = now;
  state.requests = 0;
  state.failures = 0;
  const std::uint64_t over_budget = std::exchange(state.over_budget, 0);
  const std::uint64_t dropped = state.sink ? state.sink->TakeDropped() : 0;
  if (over_budget == 0 && dropped == 0) return;
  LogEvent(LogLevel::kInfo, "log lines dropped",
           {{"over_budget", over_budget}, {"buffer_full", dropped}});
}

}  // namespace

void SetUpLog(const std::string &program, LogLevel level) {
  LogState &state = State();
  state.program = program;
  state.sink = std::make_shared<BufferSink>();
  auto logger = std::make_shared<spdlog::logger>("pollenring", state.sink);
  logger->set_level(ToSpdlog(level));
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields) {
  const auto native = ToSpdlog(level);
  if (!spdlog::should_log(native)) return;
  fields["ts_ms"] = SystemClock{}.WallNow().count();
  fields["level"] = kLogLevelNames.Name(level);
  fields["program"] = State().program;
  fields["event"] = event;
  constexpr auto kReplace = nlohmann::json::error_handler_t::replace;
  spdlog::default_logger_raw()->log(native,
                                    fields.dump(-1, ' ', false, kReplace));
}

bool MayLogRequest(LogLevel level) {
  if (!spdlog::should_log(ToSpdlog(level))) return false;
  LogState &state = State();
  const Time now = SystemClock{}.Now();
  if (now - state.window_start >= kBudgetWindow) StartWindow(state, now);
  const bool failure = level >= LogLevel::kWarning;
  int &used = failure ? state.failures : state.requests;
  const int limit =
      failure ? kMaxFailureLinesPerSecond : kMaxRequestLinesPerSecond;
  if (used < limit) {
    ++used;
    return true;
  }
  ++state.over_budget;
  return false;
}

void FlushLog() {
  if (State().sink) State().sink->Write();
}

}  // namespace pollenring
