#ifndef POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_
#define POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_

#include <set>
#include <tuple>
#include <unordered_map>

#include "pollenring/admission/request_queue.h"

namespace pollenring {

/**
 * @brief Waiting requests, the one whose aim is nearest first.
 *
 * A short request with a near aim passes long ones that have time, and costs
 * them little. Shed first is the least important root; calls on behalf of a
 * request that was let in above go last.
 */
class SoftDeadlineQueue final : public RequestQueue {
 public:
  [[nodiscard]] std::size_t Size() const noexcept override {
    return this->by_id.size();
  }
  [[nodiscard]] Importance Lowest() const noexcept override;
  void Push(const AdmissionRequest &ticket) override;
  [[nodiscard]] std::optional<AdmissionRequest> Pop() override;
  [[nodiscard]] std::optional<AdmissionRequest> PopWorst() override;
  bool Remove(std::uint64_t id) override;
  [[nodiscard]] std::vector<AdmissionRequest> RemoveExpired(
      Time before) override;

 private:
  using AimKey = std::pair<Time, std::uint64_t>;
  /*! @brief Invested work, importance, then the latest aim first. */
  using WorthKey = std::tuple<bool, Importance, Time, std::uint64_t>;

  [[nodiscard]] static WorthKey WorthOf(
      const AdmissionRequest &ticket) noexcept;

  std::unordered_map<std::uint64_t, AdmissionRequest> by_id;
  std::set<AimKey> by_aim;
  std::set<AimKey> by_deadline;
  std::set<WorthKey> by_worth;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_
