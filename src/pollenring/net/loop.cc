#include "pollenring/net/loop.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "pollenring/core/invariant.h"
#include "pollenring/log/log.h"
#include "pollenring/net/h2o_api.h"

namespace pollenring {
namespace {

constexpr std::int32_t kMaxWaitMs = 200;
constexpr Duration kStallThreshold = std::chrono::milliseconds{1000};
/*! @brief Maximum rounds of deferred tasks per turn; a call takes four. */
constexpr int kMaxTaskRounds = 8;
/*! @brief Minimum interval between error lines after the first
 * `kAlwaysLoggedErrors`. */
constexpr Duration kErrorLogInterval = std::chrono::seconds{1};
/*! @brief Number of errors that are always logged. */
constexpr std::uint64_t kAlwaysLoggedErrors = 20;
/*! @brief Turns that delay all other work noticeably. */
constexpr Duration kLongTurn = std::chrono::milliseconds{50};
constexpr Duration kLongTurnLogInterval = std::chrono::seconds{1};

}  // namespace

Loop::Loop(const Clock &clock, std::size_t max_descriptors,
           ListenRetry *listen_retry)
    : clock{clock},
      connections{clock, max_descriptors},
      listen_retry{listen_retry},
      native{h2o_evloop_create()} {}

Loop::TimerId Loop::After(Duration delay, Task task) {
  const TimerId id = ++this->last_timer;
  const Time due = this->clock.Now() + delay;
  this->timers.emplace(DueKey{due, id}, std::move(task));
  this->due_times.emplace(id, due);
  return id;
}

void Loop::Every(Duration period, Task task) {
  this->After(period, [this, period, task = std::move(task)] {
    // A failed run doesn't end the series.
    this->Contain("timer", task);
    this->Every(period, task);
  });
}

void Loop::Cancel(TimerId id) {
  const auto found = this->due_times.find(id);
  if (found == this->due_times.end()) return;
  this->timers.erase(DueKey{found->second, id});
  this->due_times.erase(found);
}

void Loop::Post(Task task) { this->posted.push_back(std::move(task)); }

void Loop::Run() {
  this->CompleteWrites();
  while (!this->stopped) {
    this->turn_started = this->clock.Now();
    h2o_evloop_run(this->native, this->WaitMs());
    this->RunDueTimers();
    for (int round = 0; round < kMaxTaskRounds; ++round) {
      this->RunPosted();
      this->CompleteWrites();
      if (this->posted.empty()) break;
    }
    this->RecordTurn();
  }
}

void Loop::RecordEvent(std::string_view event, Duration length) {
  this->turn.length += length;
  if (length <= this->longest_event) return;
  this->longest_event = length;
  this->turn.event = event;
}

void Loop::RecordTurn() {
  if (this->turn.length > this->longest_turn.length)
    this->longest_turn = this->turn;
  const Time now = this->clock.Now();
  const bool log_line = this->turn.length >= kLongTurn &&
                        now - this->turn_logged_at >= kLongTurnLogInterval;
  if (log_line) {
    this->turn_logged_at = now;
    LogEvent(LogLevel::kWarning, "long turn",
             {{"took_ms", this->turn.length.count() / 1000},
              {"longest_event", this->turn.event},
              {"longest_event_ms", this->longest_event.count() / 1000}});
  }
  this->turn.length = {};
  this->longest_event = {};
}

void Loop::CompleteWrites() { h2o_timeout__do_post_callback(this->native); }

void Loop::OnError(ErrorListener listener) {
  this->error_listeners.push_back(std::move(listener));
}

void Loop::Report(std::string_view event, const std::exception &error) {
  const bool invariant_violated =
      dynamic_cast<const InvariantError *>(&error) != nullptr;
  ++this->errors;
  const Time now = this->clock.Now();
  const bool log_line = this->errors <= kAlwaysLoggedErrors ||
                        now - this->error_logged_at >= kErrorLogInterval;
  if (log_line) {
    this->error_logged_at = now;
    LogEvent(
        LogLevel::kError, "error contained",
        {{"while", event},
         {"what", error.what()},
         {"rule", invariant_violated},
         {"errors", this->errors},
         {"since_last_line",
          this->errors - std::exchange(this->errors_logged, this->errors)}});
  }
  const ContainedError contained{std::string{event}, error.what(),
                                 invariant_violated};
  for (const auto &listener : this->error_listeners) {
    try {
      listener(contained);
    } catch (const std::exception &failure) {
      LogEvent(LogLevel::kError, "error handler failed",
               {{"what", failure.what()}});
    }
  }
}

bool Loop::WokeFromStall() const noexcept {
  return this->clock.Now() - this->turn_started > kStallThreshold;
}

void Loop::RunPosted() {
  std::vector<Task> tasks;
  tasks.swap(this->posted);
  for (auto &task : tasks) this->Contain("task", task);
}

void Loop::RunDueTimers() {
  const Time now = this->clock.Now();
  while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
    auto node = this->timers.extract(this->timers.begin());
    this->due_times.erase(node.key().second);
    this->Contain("timer", node.mapped());
  }
}

std::int32_t Loop::WaitMs() const {
  if (!this->posted.empty()) return 0;
  if (this->timers.empty()) return kMaxWaitMs;
  const Duration left = this->timers.begin()->first.first - this->clock.Now();
  if (left <= Duration{0}) return 0;
  const auto ms = (left.count() + 999) / 1000;
  return static_cast<std::int32_t>(std::min<std::int64_t>(ms, kMaxWaitMs));
}

}  // namespace pollenring
