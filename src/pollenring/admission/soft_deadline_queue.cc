#include "pollenring/admission/soft_deadline_queue.h"

#include <algorithm>

namespace pollenring {

SoftDeadlineQueue::WorthKey SoftDeadlineQueue::WorthOf(
    const AdmissionRequest &request) noexcept {
  return {request.Invested(), request.importance, -request.soft_deadline,
          request.id};
}

Importance SoftDeadlineQueue::LowestImportance() const noexcept {
  if (this->by_worth.empty()) return Importance::kCritical;
  const auto &[invested, importance, soft_deadline, id] =
      *this->by_worth.begin();
  // Any root may be rejected: no work has been invested in it.
  return invested ? Importance::kCritical
                  : std::min(importance, Importance::kHigh);
}

void SoftDeadlineQueue::Push(const AdmissionRequest &request) {
  this->by_id.emplace(request.id, request);
  this->by_soft_deadline.emplace(request.soft_deadline, request.id);
  this->by_deadline.emplace(request.deadline, request.id);
  this->by_worth.insert(WorthOf(request));
}

std::optional<AdmissionRequest> SoftDeadlineQueue::Pop() {
  if (this->by_soft_deadline.empty()) return std::nullopt;
  AdmissionRequest request =
      this->by_id.at(this->by_soft_deadline.begin()->second);
  this->Remove(request.id);
  return request;
}

std::optional<AdmissionRequest> SoftDeadlineQueue::PopWorst() {
  if (this->by_worth.empty()) return std::nullopt;
  AdmissionRequest request =
      this->by_id.at(std::get<3>(*this->by_worth.begin()));
  this->Remove(request.id);
  return request;
}

bool SoftDeadlineQueue::Remove(std::uint64_t id) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) return false;
  const AdmissionRequest &request = found->second;
  this->by_soft_deadline.erase({request.soft_deadline, id});
  this->by_deadline.erase({request.deadline, id});
  this->by_worth.erase(WorthOf(request));
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
