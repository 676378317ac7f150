#ifndef REVIEW_STANDIN_SERVERS_H_
#define REVIEW_STANDIN_SERVERS_H_

#include <string>

#include "http.h"

namespace review {

/*! @brief Serves the platform's store; does not return. Its table `op` holds
 * the configuration. @param config Text of the configuration. */
[[noreturn]] void ServeStore(const Endpoint &at, const std::string &config);

/*! @brief What an endpoint is and does. */
struct ServerOptions {
  Endpoint at;
  Endpoint control;
  std::string service;
  std::string id;
  std::string zone;
  int slots{};
  int work_ms{};
};

/*! @brief Serves as an endpoint, with heartbeats; does not return. The query
 * `bytes` of a request sets the size of the body. */
[[noreturn]] void ServeEndpoint(const ServerOptions &options,
                                const Record &record);

}  // namespace review

#endif  // REVIEW_STANDIN_SERVERS_H_
