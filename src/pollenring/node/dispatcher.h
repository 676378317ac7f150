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
#include "pollenring/node/serving.h"
#include "pollenring/node/wire.h"
#include "pollenring/retry/allowance.h"
#include "pollenring/retry/budget.h"
#include "pollenring/routing/router.h"

namespace pollenring {

/*! @brief What may be tried again. */
struct DispatchOptions {
  bool retries_failures{}; /*!< Also after a target's own 5xx answer. */
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
   * @param router Chooses targets.
   * @param serving Runs calls for the target beside this node.
   * @param budget Bounds retries.
   * @param options What may be tried again.
   * @param random Randomness.
   * @param metrics Figures.
   */
  Dispatcher(NodeId self, Loop &loop, LinkClient &link, Router &router,
             Serving &serving, RetryBudget &budget,
             const DispatchOptions &options, Random &random, Metrics &metrics);

  /**
   * @brief Performs a call.
   * @param envelope The call; its retries are the allowance of this call.
   * @param body Its body.
   * @param deadline When the caller needs the answer.
   * @param done Called exactly once unless cancelled; never from in here.
   * @param targets Most targets that the call may reach.
   * @return Handle for `Cancel`.
   */
  std::uint64_t Call(CallEnvelope envelope, std::string body, Time deadline,
                     Done done, int targets = kMostTargets);

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
  /*! @brief Bounds a call that names no bound; its allowance ends it sooner. */
  static constexpr int kMostTargets = 16;

  struct Job {
    CallEnvelope envelope;
    std::string body;
    Time deadline{};
    Time root_started{};
    Time aim{};
    Time sent{};
    RetryAllowance allowance;
    int slice{};
    int redirects_left{};
    int targets_left{}; /*!< Targets that the call may still reach. */
    bool waiting{};     /*!< No node is trying; one will be chosen again. */
    bool may_have_run{};
    std::optional<CallReply>
        failure; /*!< A target's, while another is tried. */
    std::string failure_body;
    std::vector<NodeId> tried;
    NodeId node{};
    std::uint64_t attempt{};
    std::uint64_t call{};
    Done done;
  };

  void Attempt(std::uint64_t id);
  void AttemptLater(std::uint64_t id, Job &job);
  void Send(std::uint64_t id, Job &job);
  void Received(std::uint64_t id, std::uint64_t attempt,
                LinkClient::Reply reply);
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
  Router &router;
  Serving &serving;
  RetryBudget &budget;
  DispatchOptions options;
  Random &random;
  Metrics &metrics;
  std::unordered_map<std::uint64_t, Job> jobs;
  std::uint64_t last_id{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_DISPATCHER_H_
