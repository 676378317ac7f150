#ifndef POLLENRING_NODE_TARGET_EXECUTOR_H_
#define POLLENRING_NODE_TARGET_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/admission.h"
#include "pollenring/admission/cold_start_limiter.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/member.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/calls_per_run.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/parent_finder.h"
#include "pollenring/node/target_codec.h"
#include "pollenring/node/wire.h"
#include "pollenring/quarantine/fingerprint.h"
#include "pollenring/quarantine/quarantine.h"
#include "pollenring/retry/allowance.h"

namespace pollenring {

/*! @brief State that a target advertises, and the address it listens on. */
struct Announcement {
  Target target;
  Address address;
  std::string instance; /*!< Differs after each start; may be empty. */
  Duration cold_for{};  /*!< Advertised time until the target is warm. */
};

/*! @brief Whether the operator has withdrawn the targets of a zone. */
enum class TargetAvailability {
  kUnknown, /*!< No report received yet. */
  kAvailable,
  kWithdrawn
};

/*! @brief Names of the availabilities, as logs spell them. */
inline constexpr EnumTable<TargetAvailability, 3> kTargetAvailabilityNames{{{
    {TargetAvailability::kUnknown, "unknown"},
    {TargetAvailability::kAvailable, "in use"},
    {TargetAvailability::kWithdrawn, "withdrawn"},
}}};

/*! @brief Cold-start limits by service. */
class ColdStartLimits {
 public:
  ColdStartLimits() = default;
  ColdStartLimits(const ColdStartLimits &) = delete;
  ColdStartLimits &operator=(const ColdStartLimits &) = delete;
  virtual ~ColdStartLimits() = default;

  /**
   * @brief Returns the cold-start limit of a service's targets.
   * @param service The service.
   * @return The limit; zero requests where no limit is needed.
   */
  [[nodiscard]] virtual ColdStartLimit LimitOf(
      const std::string &service) const = 0;

  /**
   * @brief Returns how long a service's targets are cold after a start.
   * @param service The service.
   * @return The duration; 0 if they start warm.
   */
  [[nodiscard]] virtual Duration ColdAfterStart(
      const std::string &service) const = 0;
};

/*! @brief No cold-start limits: targets take full load from the start. */
class NoColdStartLimits final : public ColdStartLimits {
 public:
  [[nodiscard]] ColdStartLimit LimitOf(
      const std::string & /*service*/) const override {
    return {};
  }
  [[nodiscard]] Duration ColdAfterStart(
      const std::string & /*service*/) const override {
    return Duration{0};
  }
};

/*! @brief Capacity of a target, as its node sees it. */
struct CapacityView {
  std::string service;
  std::uint32_t announced{}; /*!< Slots, by its announcement. */
  std::uint32_t reported{};  /*!< Slots, by its responses; 0 if none. */
  int limit{};               /*!< Requests that may run at once. */
  std::size_t used{};        /*!< Requests running. */
  bool learned{};            /*!< The limit and slowness are learned. */
  double slowness{1};        /*!< Time of work now, relative to the usual. */
  Duration age{};            /*!< Of the last measured request. */
};

/*! @brief Cancellation of each sub-call in progress, by its handle. */
using SubCallCancels = std::map<std::uint64_t, std::function<void()>>;

/*! @brief A request that the local target is serving. */
struct ServedCall {
  std::uint64_t id{};
  CallEnvelope envelope;
  std::string context;
  Time deadline{};
  Time root_started{};
  RetryAllowance allowance;
  int sub_calls{};
  Time sub_calls_since{};
  Duration time_in_sub_calls{};
  SubCallCancels sub_call_cancels;

  /*! @brief Records the start of a sub-call. @param now Time. */
  void BeginSubCall(Time now) noexcept;

  /*! @brief Records the end of a sub-call. @param now Time. */
  void EndSubCall(Time now) noexcept;
};

/**
 * @brief Runs calls on the local target.
 *
 * Keeps the table of requests in progress. The context header that a target
 * sends with its sub-calls is a key of this table.
 */
class TargetExecutor {
 public:
  using Done = std::function<void(CallReply, std::string body)>;
  using TargetsChanged = std::function<void(std::vector<Target>)>;
  using TargetLeaves = std::function<void(const std::string &instance)>;

  /**
   * @brief Starts without a target.
   * @param loop The loop.
   * @param client Client towards the target.
   * @param codec Encodes calls and decodes responses.
   * @param options Limits of admission.
   * @param cold_start_limits Cold-start limits.
   * @param fingerprints Computes what makes calls alike.
   * @param quarantine Requests that crash their targets.
   * @param levels Admission levels of services; replies carry them.
   * @param random Randomness.
   * @param metrics Metrics.
   * @param changed Called when the announced targets change.
   * @param leaves Called when a target's response states that it leaves.
   */
  TargetExecutor(Loop &loop, HttpClient &client, const TargetCodec &codec,
                 const AdmissionOptions &options,
                 const ColdStartLimits &cold_start_limits,
                 const RequestFingerprinter &fingerprints,
                 Quarantine &quarantine, DownstreamLevels &levels,
                 Random &random, Metrics &metrics, TargetsChanged changed,
                 TargetLeaves leaves = {});

  /**
   * @brief Handles an announcement of the target.
   * @param announcement The announcement.
   */
  void Announce(const Announcement &announcement);

  /**
   * @brief Withdraws the targets, or makes them available again.
   *
   * A target that is not available receives no requests; queued ones are
   * refused. One that was withdrawn counts as cold until it advertises
   * otherwise.
   * @param availability Availability of the targets here.
   */
  void SetAvailability(TargetAvailability availability);

  /*! @brief Stops new calls to a target that has deregistered.
   * @param instance Its instance. */
  void Drain(const std::string &instance);

  /*! @brief Reads the cold-start limits again; they may have changed. */
  void UpdateColdStartLimits();

  /**
   * @brief Runs a call at once, or queues it until the target has capacity.
   * @param envelope The call.
   * @param body Its body.
   * @param done Called exactly once unless the call is cancelled.
   * @return Handle for `Cancel`.
   */
  std::uint64_t Serve(CallEnvelope envelope, std::string body, Done done);

  /**
   * @brief Cancels a call.
   * @param id The call's handle; one that has ended is ignored.
   */
  void Cancel(std::uint64_t id);

  /**
   * @brief Cancels a call whose caller has disconnected, unless the call is not
   * idempotent and has been sent.
   * @param id The call's handle; one that has ended is ignored.
   */
  void CallerDisconnected(std::uint64_t id);

  /**
   * @brief Refuses a call that has not been sent to the target; it has not run
   * and won't.
   * @param id The call's handle; one that was sent or has ended is ignored.
   */
  void Withdraw(std::uint64_t id);

  /*! @brief Refuses all calls that have not been sent to the target. */
  void WithdrawAll();

  /**
   * @brief Finds the request that a context header identifies.
   * @param context The header's value.
   * @return The request, or null when it is unknown or has ended.
   */
  [[nodiscard]] ServedCall *FindContext(const std::string &context);

  /**
   * @brief Guesses the request on whose behalf the target makes a call that
   * carries no context.
   * @param deadline Deadline of the call.
   * @param callee Route of the call.
   * @return The request, or null when none ends near that time.
   */
  [[nodiscard]] ServedCall *FindParent(Time deadline,
                                       const std::string &callee);

  /*! @brief Records the start of a sub-call. @param id The request. */
  void BeginSubCall(std::uint64_t id);

  /*! @brief Records the end of a sub-call.
   * @param id The request, which may have ended too. */
  void EndSubCall(std::uint64_t id);

  /**
   * @brief Records the admission levels in the reply to a sub-call.
   * @param callee Route of the call.
   * @param workspace Workspace of the request on whose behalf it was made.
   * @param levels Admission levels in the reply.
   */
  void LearnFrom(const std::string &callee, const std::string &workspace,
                 const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Counts a call that the local target makes.
   * @param callee Route of the call.
   */
  void RecordTargetCall(const std::string &callee);

  /**
   * @brief Records the priority from which this node retries calls.
   * @param service The called service.
   * @param priority The priority.
   */
  void SetRetriedFrom(const std::string &service, double priority);

  /**
   * @brief Finds a request in progress.
   * @param id Its handle.
   * @return The request, or null when it has ended.
   */
  [[nodiscard]] ServedCall *Find(std::uint64_t id);

  /*! @brief Requests running at the announced targets. @return The sum. */
  [[nodiscard]] std::size_t RunningCount() const noexcept;

  /*! @brief Capacity of the announced targets. @return One entry each. */
  [[nodiscard]] std::vector<CapacityView> Capacities() const;

  /*! @brief Time until all targets here are warm. @return It, or 0. */
  [[nodiscard]] Duration ColdFor() const noexcept;

  /*! @brief Requests waiting or running. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->calls.size();
  }

  /*! @brief Advances deadlines; drops targets that no longer announce. */
  void Tick();

 private:
  /*! @brief A call whose connection ended before its response. */
  struct LostCall {
    Fingerprint fingerprint{};
    Time at{};
  };
  struct Binding {
    Announcement announcement;
    std::unique_ptr<Admission> admission;
    Time last_seen;
    Time assumed_cold_at{}; /*!< When it was last assumed cold. */
    bool cold_end_known{};  /*!< The time at which it is warm is known. */
    std::vector<LostCall> lost_calls; /*!< Until their cause is known. */
    bool probing{};
    int logged_limit{}; /*!< 0 until capacity is logged. */
    double logged_slowness{1};
    Time capacity_logged{};
  };
  struct Call {
    ServedCall served;
    std::string body;
    Done done;
    HttpClient::CallId http{};
    Time soft_deadline{};
    Time sent{};
    bool running{};
  };

  [[nodiscard]] AdmissionRequest ToAdmission(const Call &call) const;
  void Offer(Binding &binding, const AdmissionRequest &request);
  /*! @brief Refuses a call in quarantine, or lets it wait for the trial in
   * progress. @return True if it did. */
  [[nodiscard]] bool HoldBack(const Call &call);
  [[nodiscard]] bool MayStartTrial() const;
  void EndTrial(std::uint64_t id);
  /*! @brief Starts, refuses or lets pass calls that wait for a trial. */
  void ReviewTrials();
  /*! @brief Ends a call whose connection was lost, once it is known whether the
   * target has ended too. */
  void RefuseLost(std::uint64_t id, Reason reason);
  void Perform(const AdmissionActions &actions);
  void AssumeCold(Binding &binding);
  /*! @brief Records that a connection ended before its response, and finds out
   * whether the target has ended. */
  void RecordLostCall(Binding &binding, Fingerprint fingerprint);
  void ProbeTarget(const std::string &service, const std::string &instance);
  /*! @brief Records that the target ended while the lost calls ran. */
  void RecordEnd(Binding &binding);
  /*! @brief Records what a response states about its target.
   * @param sent When its request was sent. */
  void RecordTargetState(Binding &binding, const ResponseSignals &signals,
                         Time sent);
  void ApplyColdStart(Binding &binding);
  [[nodiscard]] bool IsServing(const std::string &service) const noexcept;
  [[nodiscard]] Reason RefusalReasonOf(const Binding &binding) const noexcept;
  void Start(std::uint64_t id);
  void HandleResponse(std::uint64_t id, HttpClient::Reply reply);
  /*! @brief Ends a call after an error in sending it or in handling its
   * response. */
  void Fail(std::uint64_t id);
  void Finish(std::uint64_t id, CallReply reply, std::string body);
  void Refuse(std::uint64_t id, Outcome outcome, Reason reason);
  void Refuse(std::uint64_t id, Outcome outcome, Reason reason,
              Duration jittered_retry_after);
  void RefuseUntilWarm(std::uint64_t id);
  void Report();
  [[nodiscard]] HttpRequest ToRequest(Call &call,
                                      const std::string &instance) const;
  void CancelSubCalls(const SubCallCancels &cancels);
  void LogLoad();
  /*! @brief Logs a change of the learned capacity that matters. */
  void LogCapacity(Binding &binding);
  void AttachLoad(const ServedCall &served, CallReply &reply);
  void RecordError(const std::string &service, CallError error);
  void RecordVerdict(const std::string &service, const TargetVerdict &verdict,
                     int status);
  [[nodiscard]] bool MakesNoCalls() const;
  void UpdateCallsPerRun();

  Loop &loop;
  HttpClient &client;
  const TargetCodec &codec;
  AdmissionOptions options;
  const ColdStartLimits &cold_start_limits;
  const RequestFingerprinter &fingerprints;
  Quarantine &quarantine;
  DownstreamLevels &levels;
  Random &random;
  Metrics &metrics;
  TargetsChanged changed;
  TargetLeaves leaves;
  TargetAvailability availability{TargetAvailability::kAvailable};
  std::map<std::string, Binding> bindings;
  std::unordered_map<std::uint64_t, Call> calls;
  std::unordered_map<std::string, std::uint64_t> contexts;
  std::map<std::uint64_t, Time> trials; /*!< Suspects that run, by start. */
  std::deque<std::uint64_t> waiting_trials;
  ParentFinder parents;
  CallsPerRun calls_per_run;
  std::uint64_t last_id{};
  Time load_logged{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_EXECUTOR_H_
