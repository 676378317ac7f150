#ifndef POLLENRING_NODE_INGRESS_H_
#define POLLENRING_NODE_INGRESS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "pollenring/config/ledger.h"
#include "pollenring/core/random.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/gates.h"

namespace pollenring {

/*! @brief Whether a node's view of the configuration can be trusted. */
class Freshness {
 public:
  Freshness() = default;
  Freshness(const Freshness &) = delete;
  Freshness &operator=(const Freshness &) = delete;
  virtual ~Freshness() = default;

  /*! @brief Whether peers or the platform were heard lately. @return So. */
  [[nodiscard]] virtual bool Fresh() const = 0;
};

/*! @brief The parts that a request from outside passes through. */
struct IngressParts {
  const ConfigLedger &config;
  const Freshness &freshness;
  ShareGate &shares;
  OnceGate &once;
  Dispatcher &dispatcher;
  DownstreamLevels &levels;
  Random &random;
  Metrics &metrics;
};

/**
 * @brief Takes requests of callers from outside.
 *
 * Key, route, early refusal, share and identifier are checked in this order,
 * the cheapest first; only then is the request sent to a target.
 */
class Ingress {
 public:
  /**
   * @brief Creates an ingress.
   * @param loop The loop.
   * @param parts What requests pass through.
   */
  Ingress(Loop &loop, const IngressParts &parts);

  /**
   * @brief Takes one request.
   * @param request The request.
   * @param responder Receives its answer.
   */
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  struct Root;
  using RootPtr = std::shared_ptr<Root>;

  [[nodiscard]] Reason Admit(const HttpRequest &request, Root &root) const;
  [[nodiscard]] Reason Identify(const HttpRequest &request, Root &root) const;
  [[nodiscard]] bool ShedsEarly(const Root &root) const;
  void Next(const RootPtr &root);
  void Charge(const RootPtr &root);
  void Begin(const RootPtr &root);
  void Send(const RootPtr &root);
  void Answer(const RootPtr &root, CallReply reply, std::string body);
  void Refuse(const RootPtr &root, Outcome outcome, Reason reason);
  void AnswerRepeat(const RootPtr &root, OnceAnswer answer);

  Loop &loop;
  IngressParts parts;
  std::size_t body_bytes{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_INGRESS_H_
