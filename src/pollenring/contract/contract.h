#ifndef POLLENRING_CONTRACT_CONTRACT_H_
#define POLLENRING_CONTRACT_CONTRACT_H_

#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/diagnostic.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief Name of external callers in a contract. */
inline constexpr const char *kPublicCaller = "public";

/*! @brief One kind of request that a service accepts. */
struct Route {
  std::string method;
  std::string path_prefix;
  Importance importance{Importance::kNormal};
  bool idempotent{true};
  bool keyless{false};
  Duration deadline{std::chrono::seconds{2}};
  int retries{2};
};

/*! @brief Routes of a service and the services that may call it. */
struct Contract {
  std::string service;
  std::vector<std::string> callers;
  std::vector<Route> routes;
  SourceLocation location;
};

/*! @brief Rate limit of a workspace over all VMs together. */
struct WorkspaceRateLimit {
  std::string name;
  double rate{};  /*!< Complete requests per second. */
  double burst{}; /*!< Complete requests at once. */
  SourceLocation location;
};

/*! @brief All declarations of one publication. */
struct ContractSet {
  std::vector<Contract> contracts;
  std::vector<WorkspaceRateLimit> workspaces;
};

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_CONTRACT_H_
