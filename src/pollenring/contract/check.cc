#include "pollenring/contract/check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace pollenring {
namespace {

using ByService = std::map<std::string, const Contract *>;

[[nodiscard]] ByService CheckNames(const ContractSet &set,
                                   Diagnostics &diagnostics) {
  ByService services;
  for (const auto &contract : set.contracts) {
    const auto [existing, added] =
        services.emplace(contract.service, &contract);
    if (added) continue;
    diagnostics.push_back(
        {contract.location, "service '" + contract.service +
                                "' is declared already in " +
                                existing->second->location.file});
  }
  std::set<std::string> workspaces;
  for (const auto &workspace : set.workspaces) {
    if (workspaces.insert(workspace.name).second) continue;
    diagnostics.push_back({workspace.location, "workspace '" + workspace.name +
                                                   "' is declared twice"});
  }
  return services;
}

void CheckCallers(const ContractSet &set, const ByService &services,
                  Diagnostics &diagnostics) {
  for (const auto &contract : set.contracts) {
    for (const auto &caller : contract.callers) {
      if (caller == kPublicCaller || services.count(caller) > 0) continue;
      diagnostics.push_back({contract.location,
                             "caller '" + caller + "' is no declared service"});
    }
  }
}

/*! @brief Finds cycles among callers by depth-first search. */
class CycleSearch {
 public:
  CycleSearch(const ByService &services, Diagnostics &diagnostics)
      : services{services}, diagnostics{diagnostics} {}

  void Visit(const Contract &contract) {
    if (this->visited.count(contract.service) > 0) return;
    if (!this->on_path.insert(contract.service).second) {
      this->diagnostics.push_back(
          {contract.location,
           "service '" + contract.service + "' calls itself through others"});
      return;
    }
    for (const auto &caller : contract.callers) {
      const auto found = this->services.find(caller);
      if (found == this->services.end()) continue;
      this->Visit(*found->second);
    }
    this->on_path.erase(contract.service);
    this->visited.insert(contract.service);
  }

 private:
  const ByService &services;
  Diagnostics &diagnostics;
  std::set<std::string> on_path;
  std::set<std::string> visited;
};

void CheckRoutes(const ContractSet &set, Diagnostics &diagnostics) {
  for (const auto &contract : set.contracts) {
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &route : contract.routes) {
      const bool added = seen.emplace(route.method, route.path_prefix).second;
      if (added) continue;
      diagnostics.push_back({contract.location, "route '" + route.method + " " +
                                                    route.path_prefix +
                                                    "' is declared twice"});
    }
  }
}

void CheckRateLimits(const ContractSet &set, Diagnostics &diagnostics) {
  const double seconds =
      std::chrono::duration<double>{kMinBurstDuration}.count();
  for (const auto &workspace : set.workspaces) {
    if (workspace.rate <= 0) {
      diagnostics.push_back({workspace.location, "'rate' must be above 0"});
      continue;
    }
    if (workspace.burst < kMinBurst) {
      diagnostics.push_back({workspace.location, "'burst' must be 6 or more"});
      continue;
    }
    if (workspace.burst >= workspace.rate * seconds) continue;
    diagnostics.push_back({workspace.location,
                           "'burst' must cover at least 250 ms at the rate of "
                           "workspace '" +
                               workspace.name + "'"});
  }
}

}  // namespace

void CheckContracts(const ContractSet &set, Diagnostics &diagnostics) {
  const ByService services = CheckNames(set, diagnostics);
  CheckCallers(set, services, diagnostics);
  CheckRoutes(set, diagnostics);
  CheckRateLimits(set, diagnostics);
  CycleSearch search{services, diagnostics};
  for (const auto &[name, contract] : services) search.Visit(*contract);
}

ContractSet ReadContracts(const std::vector<SourceFile> &files,
                          Diagnostics &diagnostics) {
  ContractSet set;
  for (const auto &file : files) ParseContractFile(file, set, diagnostics);
  CheckContracts(set, diagnostics);
  std::stable_sort(diagnostics.begin(), diagnostics.end(),
                   [](const auto &left, const auto &right) {
                     return std::tie(left.location.file, left.location.line,
                                     left.location.column) <
                            std::tie(right.location.file, right.location.line,
                                     right.location.column);
                   });
  return set;
}

}  // namespace pollenring
