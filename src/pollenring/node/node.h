#ifndef POLLENRING_NODE_NODE_H_
#define POLLENRING_NODE_NODE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "pollenring/link/link_client.h"
#include "pollenring/link/link_server.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/config_service.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/ingress.h"
#include "pollenring/node/member_service.h"
#include "pollenring/node/once_service.h"
#include "pollenring/node/operator_port.h"
#include "pollenring/node/readiness.h"
#include "pollenring/node/settings.h"
#include "pollenring/node/share_service.h"
#include "pollenring/node/slot_service.h"
#include "pollenring/node/target_codec.h"
#include "pollenring/node/target_executor.h"
#include "pollenring/node/target_port.h"
#include "pollenring/routing/router.h"
#include "pollenring/storage/http_storage.h"
#include "pollenring/wire/peer_wire.h"

namespace pollenring {

/*! @brief The process local to one target, with all its parts. */
class Node final : public SlotListener {
 public:
  /**
   * @brief Binds all ports and joins the other nodes.
   * @param settings Settings.
   * @param loop The loop.
   * @param random Randomness.
   * @throws ListenError when a port can't be bound.
   */
  Node(const Settings &settings, Loop &loop, Random &random);

  /*! @brief Drains and leaves the fleet; stops the loop once nothing is in
   * progress. */
  void Leave();

  void SlotGained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                  const SlotRow &before) override;
  void SlotWitnessesChanged(SlotId slot, const SlotRow &row) override;
  void SlotHandedOver(SlotId slot, const SlotRow &row,
                      const ProcessRef &successor) override;
  void SlotLost(SlotId slot) override;

 private:
  [[nodiscard]] static Member MakeSelf(const Settings &settings,
                                       const Clock &clock, Random &random);
  void Start();
  void OpenWhenReady();
  void LogWaiting() const;
  void HandleLink(const std::string &path, std::string body,
                  std::shared_ptr<LinkResponder> responder);
  void HandleCall(std::string body, std::shared_ptr<LinkResponder> responder);
  void HandleHandover(const std::string &body);
  void CheckDrained();
  [[nodiscard]] std::size_t InProgress() const;
  [[nodiscard]] nlohmann::json Status() const;

  Settings settings;
  Loop &loop;
  Random &random;
  Metrics metrics;
  BufferBudget budget;
  HttpClient client;
  PeerWire wire;
  LinkClient link;
  HttpTable table;
  HttpObjectStore objects;
  Bus bus;
  Quarantine quarantine;
  Readiness readiness;
  MemberService members;
  ConfigService config;
  SlotService slots;
  ShareService shares;
  OnceService once;
  Router router;
  ContextCodec codec;
  RequestFingerprinter fingerprints;
  DownstreamLevels levels;
  NoColdStartLimits cold_start_limits;
  TargetExecutor executor;
  NodeRetryBudget retry_budget;
  Dispatcher dispatcher;
  Ingress ingress;
  TargetPort target_port;
  OperatorPort operator_port;
  LinkServer link_server;
  HttpServer caller_server;
  HttpServer target_server;
  HttpServer operator_server;
  Time drain_started_at{};
  bool draining{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_NODE_H_
