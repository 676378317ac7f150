#ifndef POLLENRING_TOOLS_CLI_OPERATOR_CLIENT_H_
#define POLLENRING_TOOLS_CLI_OPERATOR_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "pollenring/net/address.h"

namespace cli {

/*! @brief Response of an operator port. */
struct OperatorResponse {
  int status{};
  nlohmann::json body;
};

/*! @brief Blocking client of the operator port of one node. */
class OperatorClient {
 public:
  /**
   * @brief Constructs a client for one node.
   * @param node Address of the operator port.
   * @param secret The operators' secret.
   */
  OperatorClient(const pollenring::Address &node, std::string secret)
      : node{node}, secret{std::move(secret)} {}

  /**
   * @brief Sends one request and waits for the response.
   * @param method HTTP method.
   * @param path Request path.
   * @param body JSON body; null for none.
   * @return The response; empty if the call failed.
   */
  [[nodiscard]] std::optional<OperatorResponse> Call(
      const std::string &method, const std::string &path,
      const nlohmann::json &body = nullptr) const;

 private:
  pollenring::Address node;
  std::string secret;
};

}  // namespace cli

#endif  // POLLENRING_TOOLS_CLI_OPERATOR_CLIENT_H_
