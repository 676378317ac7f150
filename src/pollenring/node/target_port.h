#ifndef POLLENRING_NODE_TARGET_PORT_H_
#define POLLENRING_NODE_TARGET_PORT_H_

#include <memory>
#include <string>

#include "pollenring/config/ledger.h"
#include "pollenring/core/random.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/dispatcher.h"
#include "pollenring/node/target_executor.h"

namespace pollenring {

/*! @brief Path at which a target announces itself. */
inline constexpr const char *kAnnouncePath = "/.pollenring/announce";

/*! @brief Handles announcements and sub-calls of the local target. */
class TargetPort {
 public:
  /**
   * @brief Creates the port.
   * @param loop The loop.
   * @param secret Secret that announcements carry.
   * @param config Active configuration.
   * @param executor Requests in progress.
   * @param dispatcher Sends sub-calls.
   * @param levels Receives the admission levels in sub-calls' replies.
   * @param random Randomness.
   */
  TargetPort(Loop &loop, std::string secret, const ConfigLedger &config,
             TargetExecutor &executor, Dispatcher &dispatcher,
             DownstreamLevels &levels, Random &random);

  /**
   * @brief Handles one request of the target.
   * @param request The request.
   * @param responder Receives the response.
   */
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);

 private:
  [[nodiscard]] HttpResponse Announce(const HttpRequest &request);
  void SubCall(HttpRequest request,
               const std::shared_ptr<Responder> &responder);
  [[nodiscard]] Reason Prepare(const HttpRequest &request,
                               const ServedCall &parent,
                               CallEnvelope &envelope) const;

  Loop &loop;
  std::string secret;
  const ConfigLedger &config;
  TargetExecutor &executor;
  Dispatcher &dispatcher;
  DownstreamLevels &levels;
  Random &random;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_PORT_H_
