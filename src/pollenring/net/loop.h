#ifndef POLLENRING_NET_LOOP_H_
#define POLLENRING_NET_LOOP_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"

struct st_h2o_evloop_t;

namespace pollenring {

/*! @brief An error that escaped from the handling of one event. */
struct ContainedError {
  std::string event; /*!< Kind of what was handled. */
  std::string what;  /*!< The error's own words. */
  bool rule{};       /*!< A rule that must always hold was found broken. */
};

/**
 * @brief The one event loop of a process, with timers and deferred tasks.
 *
 * An error in one task or event ends neither the others nor the process; it is
 * logged, and those who asked for it are told.
 */
class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;
  using ErrorListener = std::function<void(const ContainedError &)>;

  /**
   * @brief Creates the loop.
   * @param clock Clock that timers follow.
   */
  explicit Loop(const Clock &clock);
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;
  ~Loop() = default;

  [[nodiscard]] st_h2o_evloop_t *Native() const noexcept {
    return this->native;
  }
  [[nodiscard]] const Clock &GetClock() const noexcept { return this->clock; }

  /**
   * @brief Runs a task once after a delay.
   * @param delay The delay.
   * @param task The task.
   * @return Handle for `Cancel`.
   */
  TimerId After(Duration delay, Task task);

  /**
   * @brief Runs a task again and again.
   * @param period Time between the end of one run and the start of the next.
   * @param task The task.
   */
  void Every(Duration period, Task task);

  /**
   * @brief Forgets a timer; one that has run already is ignored.
   * @param id The timer's handle.
   */
  void Cancel(TimerId id);

  /**
   * @brief Runs a task at the end of the current turn.
   * @param task The task.
   */
  void Post(Task task);

  /**
   * @brief Handles one event; an error in it is kept from all others.
   *
   * Whatever C code calls back has to be handled in here: an error must not
   * pass through that code.
   * @param event Kind of the event, for the log.
   * @param handling Handles it.
   * @return Whether no error escaped.
   */
  template <typename Handling>
  bool Contain(std::string_view event, Handling &&handling) {
    try {
      handling();
      return true;
    } catch (const std::exception &error) {
      this->Report(event, error);
      return false;
    }
  }

  /**
   * @brief Asks to be told of errors that were contained.
   * @param listener Called with each, in the turn in which it came up.
   */
  void OnError(ErrorListener listener);

  /*! @brief Errors that were contained so far. @return The count. */
  [[nodiscard]] std::uint64_t Errors() const noexcept { return this->errors; }

  /**
   * @brief Tells whether the process stood still before this turn.
   * @return Whether what this turn reads may be long out of date.
   */
  [[nodiscard]] bool WokeFromPause() const noexcept;

  /*! @brief Runs until `Stop`. */
  void Run();

  /*! @brief Lets `Run` be called again after `Stop`. */
  void Resume() noexcept { this->stopped = false; }

  /*! @brief Ends `Run` after the current turn. */
  void Stop() noexcept { this->stopped = true; }

 private:
  using DueKey = std::pair<Time, TimerId>;

  /**
   * @brief Reports writes that have ended to those that made them.
   *
   * h2o expects this before it polls: otherwise it aborts on a socket that
   * becomes writable after its write was reported.
   */
  void EndWrites();
  void Report(std::string_view event, const std::exception &error);
  void RunPosted();
  void RunDueTimers();
  [[nodiscard]] std::int32_t WaitMs() const;

  const Clock &clock;
  st_h2o_evloop_t *native;
  std::map<DueKey, Task> timers;
  std::unordered_map<TimerId, Time> due_times;
  std::vector<Task> posted;
  std::vector<ErrorListener> error_listeners;
  std::uint64_t errors{};
  std::uint64_t errors_told{};
  Time error_told_at{};
  TimerId last_timer{};
  Time turn_started{};
  bool stopped{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_LOOP_H_
