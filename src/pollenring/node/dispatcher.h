#ifndef POLLENRING_NODE_DISPATCHER_H_
#define POLLENRING_NODE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/link/link_client.h"
#include "pollenring/membership/member.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/target_executor.h"
#include "pollenring/node/wire.h"
#include "pollenring/quarantine/quarantine.h"
#include "pollenring/retry/allowance.h"
#include "pollenring/retry/budget.h"
#include "pollenring/routing/router.h"
#include "pollenring/wire/peer_wire.h"

namespace pollenring {

/*! @brief Which calls are retried. */
struct DispatchOptions {
  bool retries_failures{}; /*!< Also after a target's own 5xx response. */
};

/**
 * @brief Charges a call to its workspace again.
 *
 * Rates are limited as seen by the targets, and a charge covers the time at
 * which it was made: a call resent one second later adds to the load of that
 * later second.
 */
using RenewCharge = std::function<void(ShareGate::Done)>;

/*! @brief Maximum number of targets that a call without its own limit may
 * reach; the retry allowance ends it sooner. */
inline constexpr int kMaxTargets = 16;

/*! @brief Limits of one call. */
struct CallBounds {
  Time deadline{};          /*!< When the caller needs the response. */
  int targets{kMaxTargets}; /*!< How many it may reach. */
  Time charged{};           /*!< When its workspace was charged for it. */
  RenewCharge renew;        /*!< Empty when the call is not charged. */
};

/**
 * @brief Sends a call to a target and retries it where that is safe.
 */
class Dispatcher {
 public:
  using Done = std::function<void(CallReply, std::string body)>;

  /**
   * @brief Creates a dispatcher.
   * @param self This node.
   * @param loop The loop.
   * @param link Client for streams to other nodes.
   * @param wire Wire versions of other nodes.
   * @param router Chooses targets.
   * @param executor Runs calls on the target local to this node.
   * @param quarantine Requests that crash their targets.
   * @param budget Limits retries.
   * @param options Which calls are retried.
   * @param random Source of jitter.
   * @param metrics Receives counts.
   */
  Dispatcher(NodeId self, Loop &loop, LinkClient &link, PeerWire &wire,
             Router &router, TargetExecutor &executor, Quarantine &quarantine,
             RetryBudget &budget, const DispatchOptions &options,
             Random &random, Metrics &metrics);

  /**
   * @brief Performs a call.
   * @param envelope The call, including its retry allowance.
   * @param body Its body.
   * @param bounds Its limits.
   * @param done Called exactly once unless cancelled, and never synchronously.
   * @return Handle for `Cancel`.
   */
  std::uint64_t Call(CallEnvelope envelope, std::string body, CallBounds bounds,
                     Done done);

  /**
   * @brief Drops a call whose response is of no use any more.
   * @param id Handle of the call; ignored if the call has ended.
   * @return True if the call was in progress.
   */
  bool Cancel(std::uint64_t id);

  /**
   * @brief Ends the callers' calls that have not reached a target, as not run,
   * and starts no further attempt for them, because this node leaves.
   *
   * Targets' nodes are asked to give back what waits there; they reply soon. A
   * message may be lost, so this may be repeated. Calls of the local target
   * wait on, as their failure would waste the request that makes them.
   */
  void Withdraw();

  /*! @brief Calls without a reply yet. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->jobs.size();
  }

 private:
  struct Job {
    CallEnvelope envelope;
    std::string body;
    CallBounds bounds; /*!< `targets` counts those still allowed. */
    Time root_started{};
    Time soft_deadline{};
    Time sent{};
    RetryAllowance allowance;
    int slice{};
    int redirects_left{};
    bool waiting{}; /*!< No attempt runs; another will start. */
    bool may_have_run{};
    /*! @brief Failure response of a target, while another is tried. */
    std::optional<CallReply> target_failure;
    std::string target_failure_body;
    std::vector<NodeId> tried;
    NodeId node{};
    /*! @brief Encoding of the request sent. */
    WireVersion request_version{kNewestWire};
    std::uint64_t attempt{};
    std::uint64_t call{};
    Done done;
  };

  void Attempt(std::uint64_t id);
  [[nodiscard]] std::optional<NodeId> ChooseNode(const Job &job,
                                                 Standing standing);
  void AttemptLater(std::uint64_t id, Job &job);
  [[nodiscard]] bool IsWithdrawn(const Job &job) const noexcept;
  void FinishNotRun(std::uint64_t id, Reason reason);
  void ChargeAgain(std::uint64_t id, Job &job);
  void Send(std::uint64_t id, Job &job);
  void HandleLinkReply(std::uint64_t id, std::uint64_t attempt,
                       LinkClient::Reply reply);
  [[nodiscard]] bool HandleVersionMismatch(Job &job, const CallReply &reply,
                                           WireVersion version);
  void HandleReply(std::uint64_t id, std::uint64_t attempt, CallReply reply,
                   std::string body);
  void FailAttempt(std::uint64_t id, std::uint64_t attempt, Outcome outcome,
                   Reason reason);
  void LogEjectionChanges();
  /*! @brief Records what a reply says about retries of its service, and
   * completes its reports. */
  void RecordForRetries(const Job &job, CallReply &reply);
  [[nodiscard]] bool ShouldRetry(Job &job, const CallReply &reply);
  [[nodiscard]] bool SpendRetry(Job &job);
  void Finish(std::uint64_t id, CallReply reply, std::string body);

  NodeId self;
  Loop &loop;
  LinkClient &link;
  PeerWire &wire;
  Router &router;
  TargetExecutor &executor;
  Quarantine &quarantine;
  RetryBudget &budget;
  DispatchOptions options;
  Random &random;
  Metrics &metrics;
  std::unordered_map<std::uint64_t, Job> jobs;
  bool withdrawn{}; /*!< Callers' calls start no attempt any more. */
  std::uint64_t last_id{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_DISPATCHER_H_
