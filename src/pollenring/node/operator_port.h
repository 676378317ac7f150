#ifndef POLLENRING_NODE_OPERATOR_PORT_H_
#define POLLENRING_NODE_OPERATOR_PORT_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "pollenring/metrics/metrics.h"
#include "pollenring/net/http_server.h"
#include "pollenring/node/config_service.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Handles requests of operators, publishing steps and scrapers. */
class OperatorPort {
 public:
  /*! @brief Functions of the node that the port calls. */
  struct Hooks {
    std::function<nlohmann::json()> status;
    std::function<void()> drain;
  };

  /**
   * @brief Creates the port.
   * @param secret Secret that requests carry as a bearer token.
   * @param config Configuration.
   * @param table The platform's table, for the audit trail.
   * @param metrics Metrics.
   * @param hooks Functions of the node.
   */
  OperatorPort(std::string secret, ConfigService &config, Table &table,
               const Metrics &metrics, Hooks hooks);

  /**
   * @brief Handles one request.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  using ResponderPtr = std::shared_ptr<Responder>;

  void Publish(const HttpRequest &request, const ResponderPtr &responder);
  void ChangeKey(const HttpRequest &request, const ResponderPtr &responder);
  void Commit(ConfigChange change, const ResponderPtr &responder);
  void Audit(const ResponderPtr &responder);
  void Documents(const ResponderPtr &responder) const;

  std::string secret;
  ConfigService &config;
  Table &table;
  const Metrics &metrics;
  Hooks hooks;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_OPERATOR_PORT_H_
