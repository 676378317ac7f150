#include "pollenring/contract/host_policy.h"

#include <algorithm>
#include <utility>

namespace pollenring {
namespace {

[[nodiscard]] Importance ImportanceOf(int rank) noexcept {
  if (rank <= 0) return Importance::kHigh;
  return rank == 1 ? Importance::kNormal : Importance::kLow;
}

}  // namespace

HostTable::HostTable(HostPolicy given) : policy{std::move(given)} {
  const auto &routes = this->policy.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    this->by_host[routes[i].host].push_back(i);
  }
  for (auto &[host, indices] : this->by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [&routes](std::size_t left, std::size_t right) {
                       return routes[left].path_prefix.size() >
                              routes[right].path_prefix.size();
                     });
  }
  const auto &workspaces = this->policy.workspaces;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    this->by_name.emplace(workspaces[i].share.name, i);
    for (const auto &key : workspaces[i].keys) this->by_key.emplace(key, i);
    if (workspaces[i].rank != workspaces[0].rank) {
      this->workspaces_ranked = true;
    }
  }
}

const HostRoute *HostTable::Find(const std::string &host,
                                 std::string_view path) const {
  const auto found = this->by_host.find(host);
  if (found == this->by_host.end()) return nullptr;
  for (const std::size_t index : found->second) {
    const HostRoute &route = this->policy.routes[index];
    const auto start = path.substr(0, route.path_prefix.size());
    if (start == route.path_prefix) return &route;
  }
  return nullptr;
}

const KeyedWorkspace *HostTable::WorkspaceOf(const std::string &key) const {
  const auto found = this->by_key.find(key);
  if (found == this->by_key.end()) return nullptr;
  return &this->policy.workspaces[found->second];
}

Standing HostTable::StandingOf(const HostRoute &route,
                               const KeyedWorkspace *workspace,
                               double lot) const noexcept {
  const Importance by_route = ImportanceOf(route.rank);
  if (!this->workspaces_ranked || workspace == nullptr) return {by_route, lot};
  constexpr int kRouteLevels = static_cast<int>(Importance::kHigh) + 1;
  return {ImportanceOf(workspace->rank.value_or(route.rank)),
          (static_cast<int>(by_route) + lot) / kRouteLevels};
}

const ColdStart *HostTable::ColdStartOf(const std::string &service) const {
  const auto &starts = this->policy.cold_starts;
  const auto found = std::find_if(
      starts.begin(), starts.end(),
      [&service](const ColdStart &entry) { return entry.service == service; });
  return found == starts.end() ? nullptr : &*found;
}

const WorkspaceShare *HostTable::ShareOf(const std::string &workspace) const {
  const auto found = this->by_name.find(workspace);
  if (found == this->by_name.end()) return nullptr;
  const WorkspaceShare &share = this->policy.workspaces[found->second].share;
  return share.rate > 0 ? &share : nullptr;
}

}  // namespace pollenring
