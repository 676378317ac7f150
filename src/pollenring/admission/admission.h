#ifndef POLLENRING_ADMISSION_ADMISSION_H_
#define POLLENRING_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/admission_request.h"
#include "pollenring/admission/cold_start_limiter.h"
#include "pollenring/admission/concurrency_limit.h"
#include "pollenring/admission/level_control.h"
#include "pollenring/admission/offered_load_level.h"
#include "pollenring/admission/request_queue.h"
#include "pollenring/core/outcome.h"
#include "pollenring/routing/load_report.h"

namespace pollenring {

/*! @brief A waiting request that is given up on, and why. */
struct ShedRequest {
  std::uint64_t id{};
  Reason reason{Reason::kOverload};
};

/*! @brief What is to be done after an event. */
struct AdmissionActions {
  std::vector<std::uint64_t> start; /*!< Requests to send to the target. */
  std::vector<ShedRequest> shed;    /*!< Requests to refuse at once. */
};

/*! @brief What makes a service refuse roots early. */
enum class LevelTrigger {
  kShed,       /*!< Requests are shed. */
  kOfferedLoad /*!< More is offered than fits. */
};

/*! @brief Which waiting request is next. */
enum class QueueOrder {
  kFair,        /*!< By importance, then by workspaces' weights. */
  kSoftDeadline /*!< The one whose aim is nearest. */
};

/*! @brief Limits of admission. */
struct AdmissionOptions {
  ConcurrencyLimitOptions limit;
  LevelTrigger level_cause{LevelTrigger::kShed};
  QueueOrder order{QueueOrder::kFair};
  OfferedLoadLevelOptions fit;
  Duration level_window{std::chrono::milliseconds{100}};
  Duration queue_time{std::chrono::milliseconds{100}};
  std::size_t shortest_queue{4};
  std::size_t longest_queue{1024};
  std::size_t critical_queue_factor{16};
};

/**
 * @brief Which requests the target beside this node runs, and when.
 *
 * A request that finds the target full waits in a short queue; when the queue
 * is full as well, the least important waiting request is shed, at once.
 */
class Admission {
 public:
  /**
   * @brief Starts idle.
   * @param slots Announced slots of the target.
   * @param options Limits.
   * @param clock Clock.
   */
  Admission(std::uint32_t slots, const AdmissionOptions &options,
            const Clock &clock);

  /*! @brief Load for callers' routing. @return The report. */
  [[nodiscard]] LoadReport Report() const noexcept;

  /**
   * @brief Priority below which a workspace's roots are to be refused early.
   * @param workspace The workspace.
   * @return The level, 0 for none.
   */
  [[nodiscard]] double AdmissionLevelOf(const std::string &workspace) const {
    return this->levels->AdmissionLevelOf(workspace);
  }

  /**
   * @brief Bounds what is sent while the target is cold.
   * @param tolerance The bound.
   */
  void SetColdStartLimit(const ColdStartLimit &tolerance);

  /**
   * @brief The target is cold until a time.
   *
   * Levels of a cold target say nothing of it once it is warm, nor the other
   * way round; they begin anew at each change.
   * @param until The end; one that has passed means warm.
   */
  void SetColdUntil(Time until);

  /*! @brief How long the target stays cold. @return The span, or 0. */
  [[nodiscard]] Duration ColdFor() const noexcept {
    return this->cold.ColdFor();
  }

  /*! @brief Requests at the target now. @return The count. */
  [[nodiscard]] std::size_t Running() const noexcept {
    return this->running.size();
  }

  /*! @brief The queue, as it is now. @return Its delay and capacity. */
  [[nodiscard]] QueueState State() const;

  /*! @brief Requests offered of late. @return A second. */
  [[nodiscard]] double OfferedPerSecond() const;

  /*! @brief Requests that wait. @return The count. */
  [[nodiscard]] std::size_t Waiting() const noexcept {
    return this->queue->Size();
  }

  /**
   * @brief Offers a request.
   * @param ticket The request.
   * @return What to start and what to shed; may name the request itself.
   */
  [[nodiscard]] AdmissionActions Offer(const AdmissionRequest &ticket);

  /**
   * @brief Ends a request that ran.
   * @param id The request.
   * @param time_in_sub_calls Part of its time spent waiting for sub-calls.
   * @param refused_by_target Whether the target itself shed it.
   * @return What to start and what to shed.
   */
  [[nodiscard]] AdmissionActions Finish(std::uint64_t id,
                                        Duration time_in_sub_calls,
                                        bool refused_by_target);

  /**
   * @brief A request that was started has not reached the target, or was
   * turned away by it.
   * @param id The request, sent before.
   */
  void TurnedAway(std::uint64_t id) { this->cold.GiveBack(id); }

  /**
   * @brief Drops a request whose caller has gone.
   * @param id The request, waiting or running.
   * @return What to start and what to shed.
   */
  [[nodiscard]] AdmissionActions Cancel(std::uint64_t id);

  /*! @brief Takes out all that wait, for another target. @return Them. */
  [[nodiscard]] std::vector<AdmissionRequest> TakeWaiting() {
    return this->queue->RemoveExpired(Time::max());
  }

  /**
   * @brief Sheds all that wait, as the target takes no more.
   * @param why What they are told.
   * @return Them.
   */
  [[nodiscard]] AdmissionActions Close(Reason why = Reason::kLeaving);

  /*! @brief Sheds what can't finish in time. @return What to shed and start. */
  [[nodiscard]] AdmissionActions Tick();

 private:
  struct RunningRequest {
    Time started;
    int running_at_start;
    Importance importance;
  };

  [[nodiscard]] double OfferedNow() const;
  void Fill(AdmissionActions &actions);
  void DropLate(AdmissionActions &actions);
  void ShedBeyondCold(AdmissionActions &actions);
  void FollowCold();
  void Start(const AdmissionRequest &ticket, AdmissionActions &actions);
  [[nodiscard]] std::size_t QueueCapacity() const noexcept;
  [[nodiscard]] bool Overfull() const;

  AdmissionOptions options;
  const Clock &clock;
  ConcurrencyLimit limit;
  ColdStartLimiter cold;
  bool was_cold{};
  Time cold_shed_at{}; /*!< When a request beyond the bound came last. */
  std::unique_ptr<LevelControl> levels;
  std::unique_ptr<RequestQueue> queue;
  std::unordered_map<std::uint64_t, RunningRequest> running;
  double offered{}; /*!< Requests, faded. */
  Time offered_at{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_ADMISSION_H_
