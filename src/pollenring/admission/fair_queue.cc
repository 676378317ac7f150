#include "pollenring/admission/fair_queue.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Workspaces per class whose past is remembered. */
constexpr std::size_t kMostRemembered = 8192;
/*! @brief Requests that a workspace may be behind when it comes back; those
 * of a small one come one at a time, at random moments. */
constexpr double kCreditRequests = 4;

}  // namespace

FairQueue::ClassKey FairQueue::KeyOf(const AdmissionRequest &ticket) noexcept {
  return static_cast<int>(ticket.importance) * 2 + (ticket.Invested() ? 1 : 0);
}

Importance FairQueue::Lowest() const noexcept {
  for (const auto &[key, group] : this->classes) {
    if (!group.most_ahead.empty()) return static_cast<Importance>(key / 2);
  }
  return Importance::kCritical;
}

void FairQueue::Push(const AdmissionRequest &ticket) {
  Class &group = this->classes[KeyOf(ticket)];
  Workspace &workspace = group.workspaces[ticket.workspace];
  Unrank(group, workspace);
  workspace.weight = ticket.weight;
  if (workspace.waiting.empty()) {
    // One that was away keeps some credit, not all of its absence.
    const double credit = kCreditRequests / workspace.weight;
    workspace.served = std::max(workspace.served, group.floor - credit);
  }
  workspace.waiting.insert(ticket);
  Rank(group, ticket.workspace, workspace);
  this->by_id.emplace(ticket.id, ticket);
  this->by_deadline.emplace(ticket.deadline, ticket.id);
}

std::optional<AdmissionRequest> FairQueue::Pop() {
  for (auto it = this->classes.rbegin(); it != this->classes.rend(); ++it) {
    Class &group = it->second;
    if (group.least_served.empty()) continue;
    Workspace &workspace =
        group.workspaces.at(group.least_served.begin()->second);
    AdmissionRequest ticket = *workspace.waiting.begin();
    group.floor = std::max(group.floor, workspace.served);
    this->Erase(group, ticket);
    Unrank(group, workspace);
    workspace.served += 1 / workspace.weight;
    Rank(group, ticket.workspace, workspace);
    Trim(group);
    return ticket;
  }
  return std::nullopt;
}

std::optional<AdmissionRequest> FairQueue::PopWorst() {
  for (auto &[key, group] : this->classes) {
    if (group.most_ahead.empty()) continue;
    const Workspace &workspace =
        group.workspaces.at(group.most_ahead.rbegin()->second);
    AdmissionRequest ticket = *workspace.waiting.rbegin();
    this->Erase(group, ticket);
    return ticket;
  }
  return std::nullopt;
}

bool FairQueue::Remove(std::uint64_t id) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) return false;
  const AdmissionRequest ticket = found->second;
  this->Erase(this->classes.at(KeyOf(ticket)), ticket);
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

void FairQueue::Erase(Class &group, const AdmissionRequest &ticket) {
  Workspace &workspace = group.workspaces.at(ticket.workspace);
  Unrank(group, workspace);
  workspace.waiting.erase(ticket);
  Rank(group, ticket.workspace, workspace);
  this->by_deadline.erase({ticket.deadline, ticket.id});
  this->by_id.erase(ticket.id);
}

void FairQueue::Unrank(Class &group, const Workspace &workspace) {
  group.least_served.erase(workspace.next_key);
  group.most_ahead.erase(workspace.worst_key);
}

void FairQueue::Rank(Class &group, const std::string &name,
                     Workspace &workspace) {
  if (workspace.waiting.empty()) return;
  const double ahead =
      static_cast<double>(workspace.waiting.size()) / workspace.weight;
  workspace.next_key = {workspace.served, name};
  workspace.worst_key = {workspace.served + ahead, name};
  group.least_served.insert(workspace.next_key);
  group.most_ahead.insert(workspace.worst_key);
}

void FairQueue::Trim(Class &group) {
  if (group.workspaces.size() < kMostRemembered) return;
  for (auto it = group.workspaces.begin(); it != group.workspaces.end();) {
    it =
        it->second.waiting.empty() ? group.workspaces.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
