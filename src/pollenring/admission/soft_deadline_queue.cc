#include "pollenring/admission/soft_deadline_queue.h"

#include <algorithm>

namespace pollenring {

SoftDeadlineQueue::WorthKey SoftDeadlineQueue::WorthOf(
    const AdmissionRequest &ticket) noexcept {
  return {ticket.Invested(), ticket.importance, -ticket.soft_deadline,
          ticket.id};
}

Importance SoftDeadlineQueue::Lowest() const noexcept {
  if (this->by_worth.empty()) return Importance::kCritical;
  const auto &[invested, importance, soft_deadline, id] =
      *this->by_worth.begin();
  // Any root may be turned away without loss.
  return invested ? Importance::kCritical
                  : std::min(importance, Importance::kHigh);
}

void SoftDeadlineQueue::Push(const AdmissionRequest &ticket) {
  this->by_id.emplace(ticket.id, ticket);
  this->by_aim.emplace(ticket.soft_deadline, ticket.id);
  this->by_deadline.emplace(ticket.deadline, ticket.id);
  this->by_worth.insert(WorthOf(ticket));
}

std::optional<AdmissionRequest> SoftDeadlineQueue::Pop() {
  if (this->by_aim.empty()) return std::nullopt;
  AdmissionRequest ticket = this->by_id.at(this->by_aim.begin()->second);
  this->Remove(ticket.id);
  return ticket;
}

std::optional<AdmissionRequest> SoftDeadlineQueue::PopWorst() {
  if (this->by_worth.empty()) return std::nullopt;
  AdmissionRequest ticket =
      this->by_id.at(std::get<3>(*this->by_worth.begin()));
  this->Remove(ticket.id);
  return ticket;
}

bool SoftDeadlineQueue::Remove(std::uint64_t id) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) return false;
  const AdmissionRequest &ticket = found->second;
  this->by_aim.erase({ticket.soft_deadline, id});
  this->by_deadline.erase({ticket.deadline, id});
  this->by_worth.erase(WorthOf(ticket));
  this->by_id.erase(found);
  return true;
}

std::vector<AdmissionRequest> SoftDeadlineQueue::RemoveExpired(Time before) {
  std::vector<AdmissionRequest> expired;
  while (!this->by_deadline.empty()) {
    const auto [deadline, id] = *this->by_deadline.begin();
    if (deadline >= before) break;
    expired.push_back(this->by_id.at(id));
    this->Remove(id);
  }
  return expired;
}

}  // namespace pollenring
