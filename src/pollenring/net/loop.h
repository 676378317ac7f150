#ifndef POLLENRING_NET_LOOP_H_
#define POLLENRING_NET_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"

struct st_h2o_evloop_t;

namespace pollenring {

/*! @brief The one event loop of a process, with timers and deferred tasks. */
class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

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
  TimerId After(Span delay, Task task);

  /**
   * @brief Runs a task again and again.
   * @param period Time between the end of one run and the start of the next.
   * @param task The task.
   */
  void Every(Span period, Task task);

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
  void RunPosted();
  void RunDueTimers();
  [[nodiscard]] std::int32_t WaitMs() const;

  const Clock &clock;
  st_h2o_evloop_t *native;
  std::map<DueKey, Task> timers;
  std::unordered_map<TimerId, Time> due_times;
  std::vector<Task> posted;
  TimerId last_timer{};
  Time turn_started{};
  bool stopped{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_LOOP_H_
