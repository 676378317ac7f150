#include "pollenring/contract/host_policy.h"

#include <algorithm>
#include <functional>
#include <set>
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
    this->by_name.emplace(workspaces[i].rate_limit.name, i);
    for (const auto &key : workspaces[i].keys) this->by_key.emplace(key, i);
  }
  this->RankWorkspaces();
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

RequestPriority HostTable::RequestPriorityOf(
    const HostRoute &route, const KeyedWorkspace *workspace,
    double sub_priority) const noexcept {
  const int by_route = static_cast<int>(ImportanceOf(route.rank));
  const auto &upper = this->upper_ranks;
  const auto found =
      workspace == nullptr || !workspace->rank
          ? upper.end()
          : std::find(upper.begin(), upper.end(), *workspace->rank);
  if (found == upper.end())
    return {static_cast<Importance>(by_route), sub_priority};
  constexpr int kRoutePriorities = static_cast<int>(Importance::kHigh) + 1;
  const auto lower_ranks = static_cast<double>(found - upper.begin());
  const double position =
      lower_ranks + (by_route + sub_priority) / kRoutePriorities;
  return {Importance::kCritical, position / static_cast<double>(upper.size())};
}

void HostTable::RankWorkspaces() {
  bool unranked = false;
  std::set<int, std::greater<>> ranks;
  for (const auto &workspace : this->policy.workspaces) {
    if (workspace.rank) ranks.insert(*workspace.rank);
    unranked = unranked || !workspace.rank;
  }
  // Workspaces without a rank are below all ranked ones.
  if (!unranked && !ranks.empty()) ranks.erase(ranks.begin());
  this->upper_ranks.assign(ranks.begin(), ranks.end());
}

const ColdStart *HostTable::ColdStartOf(const std::string &service) const {
  const auto &starts = this->policy.cold_starts;
  const auto found = std::find_if(
      starts.begin(), starts.end(),
      [&service](const ColdStart &entry) { return entry.service == service; });
  return found == starts.end() ? nullptr : &*found;
}

const WorkspaceRateLimit *HostTable::RateLimitOf(
    const std::string &workspace) const {
  const auto found = this->by_name.find(workspace);
  if (found == this->by_name.end()) return nullptr;
  const WorkspaceRateLimit &rate_limit =
      this->policy.workspaces[found->second].rate_limit;
  return rate_limit.rate > 0 ? &rate_limit : nullptr;
}

}  // namespace pollenring
