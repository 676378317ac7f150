#ifndef POLLENRING_NODE_INGRESS_H_
#define POLLENRING_NODE_INGRESS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "pollenring/config/ledger.h"
#include "pollenring/core/random.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/gates.h"

namespace pollenring {

/*! @brief Whether a node's configuration is recent enough to rely on. */
class Freshness {
 public:
  Freshness() = default;
  Freshness(const Freshness &) = delete;
  Freshness &operator=(const Freshness &) = delete;
  virtual ~Freshness() = default;

  /*! @brief Whether peers or the platform were reached recently. @return True
   * if the configuration is fresh. */
  [[nodiscard]] virtual bool Fresh() const = 0;
};

/*! @brief Dependencies of the ingress. */
struct IngressParts {
  const ConfigLedger &config;
  const Freshness &freshness;
  ShareGate &shares;
  OnceGate &once;
  Dispatcher &dispatcher;
  DownstreamLevels &levels;
  Random &random;
  Metrics &metrics;
  BufferBudget *budget{}; /*!< Of bodies and buffers; null for no limit. */
};

/**
 * @brief Handles requests of external callers.
 *
 * Checks key, route, early refusal, rate limit and request identifier in this
 * order, cheapest first; only then sends the request to a target.
 */
class Ingress {
 public:
  /**
   * @brief Creates an ingress.
   * @param loop The loop.
   * @param parts Dependencies.
   */
  Ingress(Loop &loop, const IngressParts &parts);

  /**
   * @brief Handles one request.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  struct Root;
  using RootPtr = std::shared_ptr<Root>;

  [[nodiscard]] Reason Admit(const HttpRequest &request, Root &root) const;
  [[nodiscard]] Reason Identify(const HttpRequest &request, Root &root) const;
  [[nodiscard]] bool ShedsEarly(const Root &root) const;
  void Advance(const RootPtr &root);
  void Charge(const RootPtr &root);
  void Begin(const RootPtr &root);
  void Send(const RootPtr &root);
  void Respond(const RootPtr &root, CallReply reply, std::string body);
  void Refuse(const RootPtr &root, Outcome outcome, Reason reason);
  void RespondToRepeat(const RootPtr &root, OnceReply result);

  Loop &loop;
  IngressParts parts;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_INGRESS_H_
