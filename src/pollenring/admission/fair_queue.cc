#include "pollenring/admission/fair_queue.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Workspaces per class from which idle ones are dropped. */
constexpr std::size_t kDropIdleThreshold = 8192;
/*! @brief Credit, in requests, of a workspace that becomes active again;
 * requests of a small one arrive one at a time, at random moments. */
constexpr double kMaxCreditRequests = 4;

}  // namespace

FairQueue::ClassKey FairQueue::ClassKeyOf(
    const AdmissionRequest &request) noexcept {
  return static_cast<int>(request.importance) * 2 +
         (request.Invested() ? 1 : 0);
}

Importance FairQueue::LowestImportance() const noexcept {
  for (const auto &[key, group] : this->classes) {
    if (!group.shed_order.empty()) return static_cast<Importance>(key / 2);
  }
  return Importance::kCritical;
}

void FairQueue::Push(const AdmissionRequest &request) {
  Class &group = this->classes[ClassKeyOf(request)];
  Workspace &workspace = group.workspaces[request.workspace];
  Unrank(group, workspace);
  workspace.weight = request.weight;
  if (workspace.waiting.empty()) {
    // An idle workspace keeps limited credit, not that of its whole idle time.
    const double credit = kMaxCreditRequests / workspace.weight;
    workspace.served = std::max(workspace.served, group.served_floor - credit);
  }
  workspace.waiting.insert(request);
  Rank(group, request.workspace, workspace);
  this->by_id.emplace(request.id, request);
  this->by_deadline.emplace(request.deadline, request.id);
}

std::optional<AdmissionRequest> FairQueue::Pop() {
  for (auto it = this->classes.rbegin(); it != this->classes.rend(); ++it) {
    Class &group = it->second;
    if (group.run_order.empty()) continue;
    Workspace &workspace = group.workspaces.at(group.run_order.begin()->second);
    AdmissionRequest request = *workspace.waiting.begin();
    group.served_floor = std::max(group.served_floor, workspace.served);
    this->Erase(group, request);
    Unrank(group, workspace);
    workspace.served += 1 / workspace.weight;
    Rank(group, request.workspace, workspace);
    DropIdle(group);
    return request;
  }
  return std::nullopt;
}

std::optional<AdmissionRequest> FairQueue::PopWorst() {
  for (auto &[key, group] : this->classes) {
    if (group.shed_order.empty()) continue;
    const Workspace &workspace =
        group.workspaces.at(group.shed_order.rbegin()->second);
    AdmissionRequest request = *workspace.waiting.rbegin();
    this->Erase(group, request);
    return request;
  }
  return std::nullopt;
}

bool FairQueue::Remove(std::uint64_t id) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) return false;
  const AdmissionRequest request = found->second;
  this->Erase(this->classes.at(ClassKeyOf(request)), request);
  return true;
}

std::vector<AdmissionRequest> FairQueue::RemoveExpired(Time before) {
  std::vector<AdmissionRequest> expired;
  while (!this->by_deadline.empty()) {
    const auto [deadline, id] = *this->by_deadline.begin();
    if (deadline >= before) break;
    expired.push_back(this->by_id.at(id));
    this->Remove(id);
  }
  return expired;
}

void FairQueue::Erase(Class &group, const AdmissionRequest &request) {
  Workspace &workspace = group.workspaces.at(request.workspace);
  Unrank(group, workspace);
  workspace.waiting.erase(request);
  Rank(group, request.workspace, workspace);
  this->by_deadline.erase({request.deadline, request.id});
  this->by_id.erase(request.id);
}

void FairQueue::Unrank(Class &group, const Workspace &workspace) {
  group.run_order.erase(workspace.run_key);
  group.shed_order.erase(workspace.shed_key);
}

void FairQueue::Rank(Class &group, const std::string &name,
                     Workspace &workspace) {
  if (workspace.waiting.empty()) return;
  const double backlog =
      static_cast<double>(workspace.waiting.size()) / workspace.weight;
  workspace.run_key = {workspace.served, name};
  workspace.shed_key = {workspace.served + backlog, name};
  group.run_order.insert(workspace.run_key);
  group.shed_order.insert(workspace.shed_key);
}

void FairQueue::DropIdle(Class &group) {
  if (group.workspaces.size() < kDropIdleThreshold) return;
  for (auto it = group.workspaces.begin(); it != group.workspaces.end();) {
    it =
        it->second.waiting.empty() ? group.workspaces.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
