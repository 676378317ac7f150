#ifndef POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_
#define POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_

#include <set>
#include <tuple>
#include <unordered_map>

#include "pollenring/admission/request_queue.h"

namespace pollenring {

/**
 * @brief Waiting requests, earliest soft deadline first.
 *
 * A short request with an early soft deadline overtakes long ones that have
 * time left and delays them little. The least important root is shed first,
 * sub-calls of an already admitted root last.
 */
class SoftDeadlineQueue final : public RequestQueue {
 public:
  [[nodiscard]] std::size_t Size() const noexcept override {
    return this->by_id.size();
  }
  [[nodiscard]] Importance LowestImportance() const noexcept override;
  void Push(const AdmissionRequest &request) override;
  [[nodiscard]] std::optional<AdmissionRequest> Pop() override;
  [[nodiscard]] std::optional<AdmissionRequest> PopWorst() override;
  bool Remove(std::uint64_t id) override;
  [[nodiscard]] std::vector<AdmissionRequest> RemoveExpired(
      Time before) override;

 private:
  using DeadlineKey = std::pair<Time, std::uint64_t>;
  /*! @brief Invested work, importance, then latest soft deadline first. */
  using WorthKey = std::tuple<bool, Importance, Time, std::uint64_t>;

  [[nodiscard]] static WorthKey WorthOf(
      const AdmissionRequest &request) noexcept;

  std::unordered_map<std::uint64_t, AdmissionRequest> by_id;
  std::set<DeadlineKey> by_soft_deadline;
  std::set<DeadlineKey> by_deadline;
  std::set<WorthKey> by_worth;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_SOFT_DEADLINE_QUEUE_H_
