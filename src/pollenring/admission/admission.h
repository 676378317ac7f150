#ifndef POLLENRING_ADMISSION_ADMISSION_H_
#define POLLENRING_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/admission_request.h"
#include "pollenring/admission/cold_start_limiter.h"
#include "pollenring/admission/concurrency_limit.h"
#include "pollenring/admission/level_control.h"
#include "pollenring/admission/offered_load_level.h"
#include "pollenring/admission/request_queue.h"
#include "pollenring/admission/target_capacity.h"
#include "pollenring/admission/target_rate_limiter.h"
#include "pollenring/core/outcome.h"
#include "pollenring/routing/load_report.h"

namespace pollenring {

/*! @brief A waiting request to refuse, and the reason. */
struct ShedRequest {
  std::uint64_t id{};
  Reason reason{Reason::kOverload};
};

/*! @brief Actions that the caller has to perform after an event. */
struct AdmissionActions {
  std::vector<std::uint64_t> start; /*!< Requests to send to the target. */
  std::vector<ShedRequest> shed;    /*!< Requests to refuse now. */
};

/*! @brief Trigger of the early refusal of root requests. */
enum class LevelTrigger {
  kShed,       /*!< Requests have been shed. */
  kOfferedLoad /*!< The offered load exceeds the capacity. */
};

/*! @brief Order in which waiting requests start. */
enum class QueueOrder {
  kFair,        /*!< By importance, then by workspace weight. */
  kSoftDeadline /*!< Earliest soft deadline first. */
};

/*! @brief Settings of admission. */
struct AdmissionOptions {
  ConcurrencyLimitOptions limit;
  LevelTrigger level_trigger{LevelTrigger::kShed};
  QueueOrder order{QueueOrder::kFair};
  OfferedLoadLevelOptions offered_load;
  TargetRateLimiterOptions rate_limit;
  /*! @brief Wait for the target's rate limit, as other targets may have
   * capacity. */
  Duration rate_limit_wait{std::chrono::milliseconds{100}};
  Duration level_window{std::chrono::milliseconds{100}};
  /*! @brief Wait that a full queue stands for; sets the queue size. */
  Duration queue_time{std::chrono::milliseconds{100}};
  std::size_t min_queue_size{4};
  std::size_t max_queue_size{1024};
  /*! @brief Multiple of the queue size while only critical requests wait. */
  std::size_t critical_queue_factor{16};
  /*! @brief Learn the target's capacity from its reports of load. */
  bool learns_capacity{true};
};

/**
 * @brief Decides which requests the local target runs, and when.
 *
 * While the target is full, requests wait in a short queue. When the queue is
 * full as well, the least important waiting request is shed immediately.
 */
class Admission {
 public:
  /**
   * @brief Creates an idle admission.
   * @param slots Slots announced by the target.
   * @param options Settings.
   * @param clock Clock.
   */
  Admission(std::uint32_t slots, const AdmissionOptions &options,
            const Clock &clock);

  /**
   * @brief Load, for the routing of callers.
   * @param kind Kind of the request whose reply carries it.
   * @return The report.
   */
  [[nodiscard]] LoadReport Report(std::string_view kind = {}) const;

  /*! @brief What is known of the target's capacity. @return It. */
  [[nodiscard]] const TargetCapacity &Capacity() const noexcept {
    return this->capacity;
  }

  /*! @brief Requests that may run at once. @return The limit. */
  [[nodiscard]] int Limit() const noexcept {
    return this->capacity.Active() ? this->capacity.Limit()
                                   : this->limit.Current();
  }

  /**
   * @brief Records the load that a response reports; ignored while the target
   * is cold.
   * @param load The load.
   */
  void RecordLoad(const TargetLoad &load) {
    const bool learns =
        this->options.learns_capacity && this->ColdFor() <= Duration{0};
    if (learns) this->capacity.RecordLoad(load);
  }

  /**
   * @brief Priority below which a workspace's roots are to be refused early.
   * @param workspace The workspace.
   * @return The admission level; 0 admits everything.
   */
  [[nodiscard]] double AdmissionLevelOf(const std::string &workspace) const {
    return this->levels->AdmissionLevelOf(workspace);
  }

  /**
   * @brief Limits what is sent while the target is cold.
   * @param cold_limit The cold-start limit.
   */
  void SetColdStartLimit(const ColdStartLimit &cold_limit);

  /**
   * @brief Sets until when the target is cold.
   *
   * Admission levels of a cold target don't apply to a warm one, nor the other
   * way round, so they are reset at each change.
   * @param until End of the cold period; a past time means warm.
   */
  void SetColdUntil(Time until);

  /**
   * @brief Records the rate limit that a response states.
   * @param per_second Requests per second; empty if it states none.
   * @param sent When its request was sent.
   */
  void RecordRateLimit(const std::optional<double> &per_second, Time sent) {
    this->rate_limiter.Record(per_second, sent);
  }

  /*! @brief Rate that the target takes. @return Per second; 0 if unlimited. */
  [[nodiscard]] double RateLimit() const noexcept {
    return this->rate_limiter.PerSecond();
  }

  /*! @brief Remaining cold time of the target. @return It, 0 if warm. */
  [[nodiscard]] Duration ColdFor() const noexcept {
    return this->cold_limiter.ColdFor();
  }

  /*! @brief Requests in progress at the target. @return The count. */
  [[nodiscard]] std::size_t Running() const noexcept {
    return this->running.size();
  }

  /*! @brief Current state of the queue. @return Delay and capacity. */
  [[nodiscard]] QueueState State() const;

  /*! @brief Rate of recently offered requests. @return Per second. */
  [[nodiscard]] double OfferedPerSecond() const;

  /*! @brief Waiting requests. @return The count. */
  [[nodiscard]] std::size_t Waiting() const noexcept {
    return this->queue->Size();
  }

  /**
   * @brief Offers a request.
   * @param request The request.
   * @return What to start and shed; may include the request itself.
   */
  [[nodiscard]] AdmissionActions Offer(const AdmissionRequest &request);

  /**
   * @brief Records the end of a running request.
   * @param id The request.
   * @param time_in_sub_calls Part of its time spent waiting for sub-calls.
   * @param refused_by_target True if the target itself shed it.
   * @param served_kind Its kind if it was served successfully, else empty.
   * @return What to start and what to shed.
   */
  [[nodiscard]] AdmissionActions Finish(std::uint64_t id,
                                        Duration time_in_sub_calls,
                                        bool refused_by_target,
                                        std::string_view served_kind = {});

  /**
   * @brief Records that a started request did not reach the target or was
   * rejected by it.
   * @param id The request, sent before.
   */
  void RecordRejected(std::uint64_t id) { this->cold_limiter.Uncount(id); }

  /**
   * @brief Drops a request whose caller has disconnected.
   * @param id The request, waiting or running.
   * @return What to start and what to shed.
   */
  [[nodiscard]] AdmissionActions Cancel(std::uint64_t id);

  /*! @brief Removes all waiting requests, to send them elsewhere.
   * @return The requests. */
  [[nodiscard]] std::vector<AdmissionRequest> TakeWaiting() {
    return this->queue->RemoveExpired(Time::max());
  }

  /**
   * @brief Sheds all waiting requests when the target stops accepting.
   * @param why Reason to report.
   * @return What to shed.
   */
  [[nodiscard]] AdmissionActions Close(Reason why = Reason::kLeaving);

  /*! @brief Sheds requests that can't finish in time.
   * @return What to start and what to shed. */
  [[nodiscard]] AdmissionActions Tick();

 private:
  struct RunningRequest {
    Time started;
    int running_at_start;
    Importance importance;
  };

  [[nodiscard]] double DecayedOffered() const;
  void StartWaiting(AdmissionActions &actions);
  void ShedLate(AdmissionActions &actions);
  void ShedColdExcess(AdmissionActions &actions);
  void ShedRateExcess(AdmissionActions &actions);
  void ResetLevelsIfColdChanged();
  void Start(const AdmissionRequest &request, AdmissionActions &actions);
  [[nodiscard]] std::size_t QueueCapacity() const noexcept;
  [[nodiscard]] bool QueueOverfull() const;

  AdmissionOptions options;
  const Clock &clock;
  ConcurrencyLimit limit;
  TargetCapacity capacity;
  ColdStartLimiter cold_limiter;
  TargetRateLimiter rate_limiter;
  bool was_cold{};
  Time last_cold_shed_at{}; /*!< Last shed by the cold-start limit. */
  std::unique_ptr<LevelControl> levels;
  std::unique_ptr<RequestQueue> queue;
  std::unordered_map<std::uint64_t, RunningRequest> running;
  double decayed_offered{}; /*!< Requests, exponentially decayed. */
  Time last_offered_at{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_ADMISSION_H_
