#include "pollenring/contract/policy.h"

#include <algorithm>

namespace pollenring {
namespace {

[[nodiscard]] bool StripPrefix(std::string_view prefix,
                               std::string_view &name) {
  if (name.substr(0, prefix.size()) != prefix) return false;
  name.remove_prefix(prefix.size());
  return true;
}

template <typename Map, typename Read>
void PutOrErase(Map &map, std::string_view name, const std::string &text,
                Read read) {
  const std::string key{name};
  if (text.empty()) {
    map.erase(key);
    return;
  }
  map[key] = read(text);
}

}  // namespace

void Policy::Apply(const std::string &name, const std::string &text) {
  std::string_view rest{name};
  if (StripPrefix(kContractPrefix, rest)) {
    PutOrErase(this->contracts, rest, text, ContractFromJson);
    return;
  }
  if (StripPrefix(kWorkspacePrefix, rest)) {
    PutOrErase(this->workspaces, rest, text, WorkspaceFromJson);
    return;
  }
  if (StripPrefix(kKeyPrefix, rest)) {
    PutOrErase(this->keys, rest, text,
               [](const std::string &value) { return value; });
  }
}

const Contract *Policy::Find(const std::string &service) const {
  const auto found = this->contracts.find(service);
  return found == this->contracts.end() ? nullptr : &found->second;
}

const Route *Policy::Match(const Contract &contract, std::string_view method,
                           std::string_view path) {
  const Route *best = nullptr;
  for (const auto &route : contract.routes) {
    if (route.method != method) continue;
    if (path.substr(0, route.path_prefix.size()) != route.path_prefix) continue;
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &route;
  }
  return best;
}

bool Policy::Allows(const Contract &contract, std::string_view caller) {
  return std::find(contract.callers.begin(), contract.callers.end(), caller) !=
         contract.callers.end();
}

std::string Policy::WorkspaceOf(const std::string &digest) const {
  const auto found = this->keys.find(digest);
  return found == this->keys.end() ? std::string{} : found->second;
}

const WorkspaceRateLimit *Policy::RateLimitOf(
    const std::string &workspace) const {
  const auto found = this->workspaces.find(workspace);
  return found == this->workspaces.end() ? nullptr : &found->second;
}

}  // namespace pollenring
