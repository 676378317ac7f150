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
#include "pollenring/retry/allowance.h"
#include "pollenring/retry/budget.h"
#include "pollenring/routing/router.h"
#include "pollenring/wire/peer_wire.h"

namespace pollenring {

/*! @brief What may be tried again. */
struct DispatchOptions {
  bool retries_failures{}; /*!< Also after a target's own 5xx answer. */
};

/**
 * @brief Charges a call once more.
 *
 * Rates hold at the targets, and a charge counts for the moment when it is
 * made: what is sent to a second target a second later adds to what is due by
 * then.
 */
using RenewCharge = std::function<void(ShareGate::Done)>;

/*! @brief Targets that a call may reach which names no bound; its allowance
 * ends it sooner. */
inline constexpr int kMostTargets = 16;

/*! @brief Bounds of one call. */
struct CallBounds {
  Time deadline{};           /*!< When the caller needs the answer. */
  int targets{kMostTargets}; /*!< Most that it may reach. */
  Time charged{};            /*!< When its workspace was charged for it. */
  RenewCharge renew;         /*!< Empty when nothing is charged for it. */
};

/**
 * @brief Sends a call to a chosen target and tries again where that is safe.
 */
class Dispatcher {
 public:
  using Done = std::function<void(CallReply, std::string body)>;

  /**
   * @brief Creates a dispatcher.
   * @param self This node.
   * @param loop The loop.
   * @param link Client towards other nodes.
   * @param wire What is known of the messages of other nodes.
   * @param router Chooses targets.
   * @param serving Runs calls for the target beside this node.
   * @param budget Bounds retries.
   * @param options What may be tried again.
   * @param random Randomness.
   * @param metrics Figures.
   */
  Dispatcher(NodeId self, Loop &loop, LinkClient &link, PeerWire &wire,
             Router &router, TargetExecutor &serving, RetryBudget &budget,
             const DispatchOptions &options, Random &random, Metrics &metrics);

  /**
   * @brief Performs a call.
   * @param envelope The call; its retries are the allowance of this call.
   * @param body Its body.
   * @param bounds Its bounds.
   * @param done Called exactly once unless cancelled; never from in here.
   * @return Handle for `Cancel`.
   */
  std::uint64_t Call(CallEnvelope envelope, std::string body, CallBounds bounds,
                     Done done);

  /**
   * @brief Drops a call whose caller has gone.
   * @param id The call's handle; one that has ended is ignored.
   */
  void Cancel(std::uint64_t id);

  /*! @brief Calls without an answer yet. @return The count. */
  [[nodiscard]] std::size_t InProgress() const noexcept {
    return this->jobs.size();
  }

 private:
  struct Job {
    CallEnvelope envelope;
    std::string body;
    CallBounds bounds; /*!< Its targets are those that it may still reach. */
    Time root_started{};
    Time soft_deadline{};
    Time sent{};
    RetryAllowance allowance;
    int slice{};
    int redirects_left{};
    bool waiting{}; /*!< No node is trying; one will be chosen again. */
    bool may_have_run{};
    std::optional<CallReply>
        failure; /*!< A target's, while another is tried. */
    std::string failure_body;
    std::vector<NodeId> tried;
    NodeId node{};
    WireVersion form{kNewestWire}; /*!< In which the node was asked. */
    std::uint64_t attempt{};
    std::uint64_t call{};
    Done done;
  };

  void Attempt(std::uint64_t id);
  void AttemptLater(std::uint64_t id, Job &job);
  void ChargeAgain(std::uint64_t id, Job &job);
  void Send(std::uint64_t id, Job &job);
  void Received(std::uint64_t id, std::uint64_t attempt,
                LinkClient::Reply reply);
  [[nodiscard]] bool Misread(Job &job, const CallReply &reply,
                             WireVersion version);
  void Answered(std::uint64_t id, std::uint64_t attempt, CallReply reply,
                std::string body);
  void Failed(std::uint64_t id, std::uint64_t attempt, Outcome outcome,
              Reason reason);
  void LogRouting();
  [[nodiscard]] bool MayTryAgain(Job &job, const CallReply &reply);
  [[nodiscard]] bool PaysForRetry(Job &job);
  void Finish(std::uint64_t id, CallReply reply, std::string body);

  NodeId self;
  Loop &loop;
  LinkClient &link;
  PeerWire &wire;
  Router &router;
  TargetExecutor &serving;
  RetryBudget &budget;
  DispatchOptions options;
  Random &random;
  Metrics &metrics;
  std::unordered_map<std::uint64_t, Job> jobs;
  std::uint64_t last_id{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_DISPATCHER_H_
