#include "pollenring/contract/json.h"

#include <nlohmann/json.hpp>

namespace pollenring {
namespace {

using Json = nlohmann::json;

[[nodiscard]] Json ToJson(const Route &route) {
  return {{"method", route.method},
          {"path", route.path_prefix},
          {"importance", kImportanceNames.Name(route.importance)},
          {"idempotent", route.idempotent},
          {"open", route.keyless},
          {"deadline_us", route.deadline.count()},
          {"retries", route.retries}};
}

[[nodiscard]] Route RouteFromJson(const Json &json) {
  Route route;
  route.method = json.at("method").get<std::string>();
  route.path_prefix = json.at("path").get<std::string>();
  route.importance =
      kImportanceNames.Parse(json.at("importance").get<std::string>())
          .value_or(Importance::kNormal);
  route.idempotent = json.at("idempotent").get<bool>();
  route.keyless = json.at("open").get<bool>();
  route.deadline = Duration{json.at("deadline_us").get<std::int64_t>()};
  route.retries = json.at("retries").get<int>();
  return route;
}

}  // namespace

Documents ToDocuments(const ContractSet &set) {
  Documents documents;
  for (const auto &contract : set.contracts) {
    Json routes = Json::array();
    for (const auto &route : contract.routes) routes.push_back(ToJson(route));
    const Json json{{"service", contract.service},
                    {"callers", contract.callers},
                    {"routes", std::move(routes)}};
    documents[kContractPrefix + contract.service] = json.dump();
  }
  for (const auto &workspace : set.workspaces) {
    const Json json{{"name", workspace.name},
                    {"rate", workspace.rate},
                    {"burst", workspace.burst}};
    documents[kWorkspacePrefix + workspace.name] = json.dump();
  }
  return documents;
}

Contract ContractFromJson(const std::string &text) {
  const Json json = Json::parse(text);
  Contract contract;
  contract.service = json.at("service").get<std::string>();
  contract.callers = json.at("callers").get<std::vector<std::string>>();
  for (const auto &route : json.at("routes")) {
    contract.routes.push_back(RouteFromJson(route));
  }
  return contract;
}

WorkspaceRateLimit WorkspaceFromJson(const std::string &text) {
  const Json json = Json::parse(text);
  WorkspaceRateLimit workspace;
  workspace.name = json.at("name").get<std::string>();
  workspace.rate = json.at("rate").get<double>();
  workspace.burst = json.at("burst").get<double>();
  return workspace;
}

}  // namespace pollenring
