#ifndef POLLENRING_NODE_TARGET_EXECUTOR_H_
#define POLLENRING_NODE_TARGET_EXECUTOR_H_

#include <cstdint>
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
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/parent_finder.h"
#include "pollenring/node/target_codec.h"
#include "pollenring/node/wire.h"
#include "pollenring/retry/allowance.h"

namespace pollenring {

/*! @brief What a target says of itself, and where it listens. */
struct Announcement {
  Target target;
  Address address;
  std::string instance; /*!< Differs after each start; may be empty. */
  Duration cold_for{};  /*!< How long it says that it stays cold. */
};

/*! @brief Whether the operator lets the targets of a zone be used. */
enum class TargetAvailability {
  kUnknown, /*!< Nothing was heard of it yet. */
  kAvailable,
  kWithdrawn
};

/*! @brief Names of the uses, as logs spell them. */
inline constexpr EnumTable<TargetAvailability, 3> kTargetAvailabilityNames{{{
    {TargetAvailability::kUnknown, "unknown"},
    {TargetAvailability::kAvailable, "in use"},
    {TargetAvailability::kWithdrawn, "withdrawn"},
}}};

/*! @brief How much cold targets bear, by service. */
class ColdStartLimits {
 public:
  ColdStartLimits() = default;
  ColdStartLimits(const ColdStartLimits &) = delete;
  ColdStartLimits &operator=(const ColdStartLimits &) = delete;
  virtual ~ColdStartLimits() = default;

  /**
   * @brief Finds what a service's targets bear while they are cold.
   * @param service The service.
   * @return The bound; without requests where none is needed.
   */
  [[nodiscard]] virtual ColdStartLimit LimitOf(
      const std::string &service) const = 0;

  /**
   * @brief Finds how long a service's targets are cold after a start.
   * @param service The service.
   * @return The span; 0 where they are not.
   */
  [[nodiscard]] virtual Duration ColdAfterStart(
      const std::string &service) const = 0;
};

/*! @brief Targets that bear as much cold as warm. */
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

/*! @brief What ends each sub-call in progress, by the sub-call's handle. */
using SubCallCancels = std::map<std::uint64_t, std::function<void()>>;

/*! @brief A request that the target beside this node is serving. */
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

  /*! @brief Counts a sub-call in. @param now Time. */
  void BeginSubCall(Time now) noexcept;

  /*! @brief Counts a sub-call out. @param now Time. */
  void EndSubCall(Time now) noexcept;
};

/**
 * @brief Runs calls on the target beside this node.
 *
 * Keeps the table of requests in progress, which the context header that a
 * target passes on its sub-calls points into.
 */
class TargetExecutor {
 public:
  using Done = std::function<void(CallReply, std::string body)>;
  using TargetsChanged = std::function<void(std::vector<Target>)>;

  /**
   * @brief Starts without a target.
   * @param loop The loop.
   * @param client Client towards the target.
   * @param codec How calls and answers are written.
   * @param options Limits of admission.
   * @param cold_bounds What cold targets bear.
   * @param levels Levels of services, which answers bring and pass on.
   * @param random Randomness.
   * @param metrics Figures.
   * @param changed Called when the announced targets change.
   */
  TargetExecutor(Loop &loop, HttpClient &client, const TargetCodec &codec,
                 const AdmissionOptions &options,
                 const ColdStartLimits &cold_bounds, DownstreamLevels &levels,
                 Random &random, Metrics &metrics, TargetsChanged changed);

  /**
   * @brief Takes in an announcement of the target.
   * @param announcement The announcement.
   */
  void Announce(const Announcement &announcement);

  /**
   * @brief Takes targets out of use, or back into it.
   *
   * What is not in use gets nothing, also nothing of what waits already. One
   * that was withdrawn is taken as cold until it says otherwise.
   * @param given Whether targets here may be used.
   */
  void SetUse(TargetAvailability given);

  /*! @brief A target has left, as was learned late. @param instance It. */
  void Drain(const std::string &instance);

  /*! @brief The bounds of cold targets may have changed. */
  void FollowColdStartLimits();

  /**
   * @brief Runs a call, now or when the target has room.
   * @param envelope The call.
   * @param body Its body.
   * @param done Called exactly once unless the call is cancelled.
   * @return Handle for `Cancel`.
   */
  std::uint64_t Serve(CallEnvelope envelope, std::string body, Done done);

  /**
   * @brief Drops a call whose caller has gone.
   * @param id The call's handle; one that has ended is ignored.
   */
  void Cancel(std::uint64_t id);

  /**
   * @brief Drops a call whose caller has gone, unless it may run only once and
   * has been sent.
   * @param id The call's handle; one that has ended is ignored.
   */
  void CallerGone(std::uint64_t id);

  /**
   * @brief Finds the request that a context header points to.
   * @param context The header's value.
   * @return The request, or null when it is unknown or has ended.
   */
  [[nodiscard]] ServedCall *FindContext(const std::string &context);

  /**
   * @brief Finds the request on whose behalf the target makes a call without a
   * context.
   * @param deadline When the call says that it ends.
   * @param callee Route of the call.
   * @return The request, or null when none ends near that time.
   */
  [[nodiscard]] ServedCall *FindParent(Time deadline,
                                       const std::string &callee);

  /*! @brief A call on behalf of a request begins. @param id The request. */
  void BeginSubCall(std::uint64_t id);

  /*! @brief It has ended. @param id The request, which may have ended too. */
  void EndSubCall(std::uint64_t id);

  /**
   * @brief Learns from the answer to a call of the target.
   * @param callee Route of the call.
   * @param workspace Workspace of the request on whose behalf it was made.
   * @param levels Levels that came with the answer.
   */
  void LearnFrom(const std::string &callee, const std::string &workspace,
                 const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Finds a request in progress.
   * @param id Its handle.
   * @return The request, or null when it has ended.
   */
  [[nodiscard]] ServedCall *Find(std::uint64_t id);

  /*! @brief Requests that the announced targets run at once. @return Sum. */
  [[nodiscard]] std::size_t RunningCount() const noexcept;

  /*! @brief How long targets here stay cold. @return The longest, or 0. */
  [[nodiscard]] Duration ColdFor() const noexcept;

  /*! @brief Requests waiting or running. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->calls.size();
  }

  /*! @brief Advances deadlines and drops silent targets. */
  void Tick();

 private:
  struct Binding {
    Announcement announcement;
    std::unique_ptr<Admission> admission;
    Time last_seen;
    Time suspected_cold{}; /*!< When something pointed to a restart last. */
    bool cold_timed{};     /*!< The end of its coldness is known. */
  };
  struct Call {
    ServedCall served;
    std::string body;
    Done done;
    HttpClient::CallId http{};
    bool running{};
  };

  void Offer(Binding &binding, const AdmissionRequest &ticket);
  void Perform(const AdmissionActions &actions);
  void SuspectCold(Binding &binding);
  void TakeColdness(Binding &binding);
  [[nodiscard]] bool IsServing(const std::string &service) const noexcept;
  [[nodiscard]] Reason RefusalOf(const Binding &binding) const noexcept;
  void Start(std::uint64_t id);
  void Answered(std::uint64_t id, HttpClient::Reply reply);
  /*! @brief Ends a call that could not be sent, or its answer not handled. */
  void GiveUp(std::uint64_t id);
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
  void AttachLoad(const ServedCall &served, CallReply &reply) const;

  Loop &loop;
  HttpClient &client;
  const TargetCodec &codec;
  AdmissionOptions options;
  const ColdStartLimits &cold_bounds;
  DownstreamLevels &levels;
  Random &random;
  Metrics &metrics;
  TargetsChanged changed;
  TargetAvailability use{TargetAvailability::kAvailable};
  std::map<std::string, Binding> bindings;
  std::unordered_map<std::uint64_t, Call> calls;
  std::unordered_map<std::string, std::uint64_t> contexts;
  ParentFinder parents;
  std::uint64_t last_id{};
  Time load_logged{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_EXECUTOR_H_
