#ifndef POLLENRING_ADMISSION_FAIR_QUEUE_H_
#define POLLENRING_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/request_queue.h"

namespace pollenring {

/**
 * @brief Waiting requests, by importance, invested work and workspace.
 *
 * The next to run is of the highest class; within a class, of the workspace
 * that was served least for its weight; within a workspace, of the oldest root.
 * The first to be shed is of the lowest class, of the workspace with most
 * waiting for its weight, and of the youngest root.
 */
class FairQueue final : public RequestQueue {
 public:
  [[nodiscard]] std::size_t Size() const noexcept override {
    return this->by_id.size();
  }
  [[nodiscard]] bool Empty() const noexcept { return this->by_id.empty(); }
  [[nodiscard]] Importance Lowest() const noexcept override;
  void Push(const AdmissionRequest &ticket) override;
  [[nodiscard]] std::optional<AdmissionRequest> Pop() override;
  [[nodiscard]] std::optional<AdmissionRequest> PopWorst() override;
  bool Remove(std::uint64_t id) override;
  [[nodiscard]] std::vector<AdmissionRequest> RemoveExpired(
      Time before) override;

 private:
  struct OlderRootFirst {
    bool operator()(const AdmissionRequest &left,
                    const AdmissionRequest &right) const noexcept {
      if (left.root_started != right.root_started) {
        return left.root_started < right.root_started;
      }
      return left.id < right.id;
    }
  };
  using Waiting = std::set<AdmissionRequest, OlderRootFirst>;
  using Ranked = std::pair<double, std::string>;

  /*! @brief One workspace within a class. */
  struct Workspace {
    Waiting waiting;
    double weight{1};
    double served{};  /*!< Requests run, for its weight. */
    Ranked next_key;  /*!< Its place among those to run. */
    Ranked worst_key; /*!< Its place among those to shed. */
  };

  struct Class {
    std::unordered_map<std::string, Workspace> workspaces;
    std::set<Ranked> least_served;
    std::set<Ranked> most_ahead;
    double floor{}; /*!< What the workspace run last had been served. */
  };
  using ClassKey = int;

  [[nodiscard]] static ClassKey KeyOf(const AdmissionRequest &ticket) noexcept;
  void Erase(Class &group, const AdmissionRequest &ticket);
  static void Unrank(Class &group, const Workspace &workspace);
  static void Rank(Class &group, const std::string &name, Workspace &workspace);
  static void Trim(Class &group);

  std::map<ClassKey, Class> classes;
  std::unordered_map<std::uint64_t, AdmissionRequest> by_id;
  std::set<std::pair<Time, std::uint64_t>> by_deadline;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_FAIR_QUEUE_H_
