#ifndef POLLENRING_MESH_MESH_NODE_H_
#define POLLENRING_MESH_MESH_NODE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "pollenring/link/link_client.h"
#include "pollenring/link/link_server.h"
#include "pollenring/mesh/codecs.h"
#include "pollenring/mesh/cold_policy.h"
#include "pollenring/mesh/outbound.h"
#include "pollenring/mesh/policy_follower.h"
#include "pollenring/mesh/slot_ring.h"
#include "pollenring/mesh/target_departures.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/member_service.h"
#include "pollenring/node/readiness.h"
#include "pollenring/node/settings.h"
#include "pollenring/node/share_service.h"
#include "pollenring/node/target_codec.h"
#include "pollenring/node/target_executor.h"
#include "pollenring/quarantine/fingerprint.h"
#include "pollenring/quarantine/quarantine.h"
#include "pollenring/routing/router.h"
#include "pollenring/storage/store_timeout.h"
#include "pollenring/wire/peer_wire.h"

namespace pollenring {

/*! @brief Dependencies of a node whose routes are matched by host. */
struct MeshParts {
  Loop &loop;
  HttpClient &client;
  Table &table;
  PolicySource &source;
  const PolicyCodec &policies;
  const CallerCodec &callers;
  const TargetCodec &targets;
  const HeartbeatCodec &heartbeats;
  Random &random;
  BufferBudget *budget{}; /*!< Of bodies and buffers; null for no limit. */
  /*! @brief Told when a configuration is in force; null for none. */
  StoreTimeout *store_timeout{};
};

/**
 * @brief The node co-located with one target, for routes matched by host.
 *
 * Clients and the local target send requests to one port. Only this node calls
 * the target, so it alone enforces the target's slots, identity and drain.
 */
class MeshNode final {
 public:
  /**
   * @brief Binds all ports and joins the fleet.
   * @param settings Settings.
   * @param parts Dependencies.
   * @throws ListenError when a port can't be bound.
   */
  MeshNode(const Settings &settings, const MeshParts &parts);

  /*! @brief Starts to drain; stops the loop once nothing is in progress. */
  void Leave();

 private:
  [[nodiscard]] static Member MakeSelf(const Settings &settings,
                                       const MeshParts &parts);
  void Start();
  void RegisterMetrics();
  void ApplyPolicy();
  void StoreDeparturesAgain();
  void HandleLink(const std::string &path, std::string body,
                  const std::shared_ptr<LinkResponder> &responder);
  void HandleCall(std::string body,
                  const std::shared_ptr<LinkResponder> &responder);
  void HandleHeartbeat(const HttpRequest &request,
                       const std::shared_ptr<Responder> &responder);
  void HandleReady(const std::shared_ptr<Responder> &responder);
  void HandleOperator(const HttpRequest &request,
                      const std::shared_ptr<Responder> &responder);
  void HandleRelease(const HttpRequest &request,
                     const std::shared_ptr<Responder> &responder);
  [[nodiscard]] nlohmann::json Status();
  void CheckDrained();
  [[nodiscard]] bool IsMet(ReadinessCondition condition) const;
  /*! @brief Checks all conditions. @return True if the node takes callers. */
  [[nodiscard]] bool CheckReadiness();
  /*! @brief As `CheckReadiness`; logs a change. */
  [[nodiscard]] bool RecordReadiness();
  /*! @brief What the node waits for. @return Fields of a log line, or a
   * response. */
  [[nodiscard]] nlohmann::json DescribeWaiting() const;
  void LogWaiting();
  [[nodiscard]] Duration DrainElapsed() const;
  [[nodiscard]] std::size_t InProgress() const;

  Settings settings;
  MeshParts parts;
  Loop &loop;
  Metrics metrics;
  PeerWire wire;
  LinkClient link;
  Bus bus;
  Quarantine quarantine;
  MemberService members;
  PolicyFollower policy;
  SlotRing ring;
  ShareService shares;
  Router router;
  DownstreamLevels levels;
  ColdPolicy cold_policy;
  RequestFingerprinter fingerprints;
  TargetExecutor executor;
  TrafficRetryBudget retry_budget;
  Dispatcher dispatcher;
  Outbound outbound;
  TargetDepartures departures;
  Readiness readiness;
  LinkServer link_server;
  HttpServer caller_server;
  HttpServer heartbeat_server;
  HttpServer ready_server;
  HttpServer operator_server;
  Time drain_started_at{};
  bool draining{};
  bool was_ready{};
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_MESH_NODE_H_
