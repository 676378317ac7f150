#ifndef POLLENRING_NET_LOOP_H_
#define POLLENRING_NET_LOOP_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/net/connection_table.h"
#include "pollenring/net/descriptors.h"

struct st_h2o_evloop_t;

namespace pollenring {

class ListenRetry;

/*! @brief An exception that escaped from the handling of one event. */
struct ContainedError {
  std::string event;         /*!< Kind of the event. */
  std::string what;          /*!< The error's message. */
  bool invariant_violated{}; /*!< An invariant was violated. */
};

/*! @brief The longest turn of a loop since its start. */
struct LongestTurn {
  Duration length{}; /*!< Time spent in tasks, timers and handled events. */
  std::string event; /*!< Kind of the event that took most of it. */
};

/**
 * @brief The event loop of a process, with timers and deferred tasks; accounts
 * for the connections that are served on it.
 *
 * An error in one task or event affects neither the others nor the process; it
 * is logged, and the error listeners are notified.
 */
class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;
  using ErrorListener = std::function<void(const ContainedError &)>;

  /**
   * @brief Creates the loop.
   * @param clock Clock that timers follow.
   * @param max_descriptors Descriptors that the process may open.
   * @param listen_retry Asked when an address can't be listened on; null to
   * fail at once.
   */
  explicit Loop(const Clock &clock,
                std::size_t max_descriptors = kUnlimitedDescriptors,
                ListenRetry *listen_retry = nullptr);
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
   * @brief Runs a task periodically.
   * @param period Time between the end of one run and the start of the next.
   * @param task The task.
   */
  void Every(Duration period, Task task);

  /**
   * @brief Cancels a timer; ignored if the timer has already run.
   * @param id The timer's handle.
   */
  void Cancel(TimerId id);

  /**
   * @brief Runs a task at the end of the current turn.
   * @param task The task.
   */
  void Post(Task task);

  /**
   * @brief Handles one event and contains its errors.
   *
   * Callbacks from C code must run in here: an exception must not unwind
   * through that code.
   * @param event Kind of the event, for the log.
   * @param handling Handles the event.
   * @return True if no error escaped.
   */
  template <typename Handling>
  bool Contain(std::string_view event, Handling &&handling) {
    const bool nested = std::exchange(this->in_event, true);
    const Time started = nested ? Time{} : this->clock.Now();
    bool handled = true;
    try {
      handling();
    } catch (const std::exception &error) {
      this->Report(event, error);
      handled = false;
    }
    this->in_event = nested;
    if (!nested) this->RecordEvent(event, this->clock.Now() - started);
    return handled;
  }

  /**
   * @brief Registers a listener for contained errors.
   * @param listener Called with each error, in the turn in which it occurs.
   */
  void OnError(ErrorListener listener);

  /*! @brief Errors contained so far. @return The count. */
  [[nodiscard]] std::uint64_t Errors() const noexcept { return this->errors; }

  /**
   * @brief Checks whether the process was suspended or stalled before this
   * turn.
   * @return True if the turn began over 1 s ago; input read in it may be stale.
   */
  [[nodiscard]] bool WokeFromStall() const noexcept;

  /*! @brief Connections served on this loop. @return The table. */
  [[nodiscard]] ConnectionTable &Connections() noexcept {
    return this->connections;
  }

  /*! @brief Refuses connections when no descriptor is left. @return It. */
  [[nodiscard]] ReserveDescriptor &Reserve() noexcept { return this->reserve; }

  /*! @brief Whether listeners try again. @return It, or null. */
  [[nodiscard]] ListenRetry *GetListenRetry() const noexcept {
    return this->listen_retry;
  }

  /*! @brief The longest turn so far. @return Its length and main event. */
  [[nodiscard]] const LongestTurn &Longest() const noexcept {
    return this->longest_turn;
  }

  /*! @brief Runs until `Stop`. */
  void Run();

  /*! @brief Lets `Run` be called again after `Stop`. */
  void Resume() noexcept { this->stopped = false; }

  /*! @brief Ends `Run` after the current turn. */
  void Stop() noexcept { this->stopped = true; }

 private:
  using DueKey = std::pair<Time, TimerId>;

  /**
   * @brief Runs the callbacks of completed writes.
   *
   * h2o expects this before it polls; otherwise it aborts if a socket becomes
   * writable after its write completed.
   */
  void CompleteWrites();
  void Report(std::string_view event, const std::exception &error);
  void RecordEvent(std::string_view event, Duration length);
  void RecordTurn();
  void RunPosted();
  void RunDueTimers();
  [[nodiscard]] std::int32_t WaitMs() const;

  const Clock &clock;
  ConnectionTable connections;
  ReserveDescriptor reserve;
  ListenRetry *listen_retry;
  st_h2o_evloop_t *native;
  std::map<DueKey, Task> timers;
  std::unordered_map<TimerId, Time> due_times;
  std::vector<Task> posted;
  std::vector<ErrorListener> error_listeners;
  std::uint64_t errors{};
  std::uint64_t errors_logged{};
  Time error_logged_at{};
  TimerId last_timer{};
  Time turn_started{};
  LongestTurn turn; /*!< The current one; its event is the longest so far. */
  Duration longest_event{}; /*!< Of the current turn. */
  LongestTurn longest_turn;
  Time turn_logged_at{};
  bool in_event{};
  bool stopped{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_LOOP_H_
