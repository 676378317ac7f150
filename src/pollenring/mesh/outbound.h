#ifndef POLLENRING_MESH_OUTBOUND_H_
#define POLLENRING_MESH_OUTBOUND_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "pollenring/core/random.h"
#include "pollenring/mesh/codecs.h"
#include "pollenring/mesh/policy_follower.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/gates.h"
#include "pollenring/quarantine/fingerprint.h"

namespace pollenring {

/*! @brief Dependencies of the entry point. */
struct OutboundParts {
  const PolicyFollower &policy;
  const CallerCodec &codec;
  ShareGate &shares;
  Dispatcher &dispatcher;
  TargetExecutor &executor;
  DownstreamLevels &levels;
  const RequestFingerprinter &fingerprints;
  Random &random;
  Metrics &metrics;
  BufferBudget *budget{}; /*!< Of bodies and buffers; null for no limit. */
};

/**
 * @brief Entry point for requests of clients and of the local target.
 *
 * Host and path select the route. Route, key, early refusal and rate limit are
 * checked in this order, the cheapest first, before the request is sent.
 */
class Outbound {
 public:
  /**
   * @brief Creates the entry point.
   * @param loop The loop.
   * @param service Service of the local target.
   * @param parts Dependencies.
   */
  Outbound(Loop &loop, std::string service, const OutboundParts &parts);

  /**
   * @brief Handles one request.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

  /*! @brief Refuses all further requests, as the process is about to end. */
  void Close() noexcept { this->closed = true; }

  /**
   * @brief Responds to all requests in progress, as the process ends.
   *
   * Only those that were not sent are reported as not run.
   */
  void RespondToAll();

 private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;

  [[nodiscard]] Reason Admit(const HttpRequest &request, CallerRequest &caller,
                             Entry &entry);
  void InheritFromParent(const CallerRequest &caller, Entry &entry);
  [[nodiscard]] const std::string &ChooseService(const HostRoute &route);
  /*! @brief Refuses a root that would be shed or fail at a service on its call
   * path. @return When it may be repeated, or nothing if it is admitted. */
  [[nodiscard]] std::optional<Duration> RefusesEarly(Entry &entry);
  void LogChanceChanges();
  void Charge(const EntryPtr &entry);
  /*! @brief Sends a charged request. @param entry The request. @param renew
   * Charges it again; empty when its workspace has no rate limit. */
  void Send(const EntryPtr &entry, const RenewCharge &renew);
  void Refuse(const EntryPtr &entry, Reason reason, Duration backoff);
  /*! @brief Ensures that a request gets a response even if it is lost inside
   * this node. @param entry The request. @param until When to respond. */
  void ScheduleOverdue(const EntryPtr &entry, Time until);
  void FailOverdue(const EntryPtr &entry);
  void RespondLast(const EntryPtr &entry);
  void Respond(const EntryPtr &entry, CallReply reply, std::string body);
  void RecordResult(const Entry &entry, const CallReply &reply);
  void RecordDisconnect(const Entry &entry, CallerDisconnect disconnect,
                        bool forwarded);

  Loop &loop;
  std::string service;
  OutboundParts parts;
  std::unordered_map<std::string, double> splits; /*!< In [0, 1), by route. */
  std::unordered_set<EntryPtr> entries;           /*!< Without a response. */
  bool closed{};
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_OUTBOUND_H_
