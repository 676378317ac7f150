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
 * The next to run comes from the highest class; within a class, from the
 * workspace served least relative to its weight; within that, from the oldest
 * root. The first to shed comes from the lowest class, from the workspace with
 * most service and backlog relative to its weight, and from the youngest root.
 */
class FairQueue final : public RequestQueue {
 public:
  [[nodiscard]] std::size_t Size() const noexcept override {
    return this->by_id.size();
  }
  [[nodiscard]] bool Empty() const noexcept { return this->by_id.empty(); }
  [[nodiscard]] Importance LowestImportance() const noexcept override;
  void Push(const AdmissionRequest &request) override;
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
  using RankKey = std::pair<double, std::string>;

  /*! @brief One workspace within a class. */
  struct Workspace {
    Waiting waiting;
    double weight{1};
    double served{};  /*!< Requests run, divided by the weight. */
    RankKey run_key;  /*!< Its rank among those to run. */
    RankKey shed_key; /*!< Its rank among those to shed. */
  };

  struct Class {
    std::unordered_map<std::string, Workspace> workspaces;
    std::set<RankKey> run_order;
    std::set<RankKey> shed_order;
    double served_floor{}; /*!< Highest `served` run so far. */
  };
  using ClassKey = int;

  [[nodiscard]] static ClassKey ClassKeyOf(
      const AdmissionRequest &request) noexcept;
  void Erase(Class &group, const AdmissionRequest &request);
  static void Unrank(Class &group, const Workspace &workspace);
  static void Rank(Class &group, const std::string &name, Workspace &workspace);
  static void DropIdle(Class &group);

  std::map<ClassKey, Class> classes;
  std::unordered_map<std::uint64_t, AdmissionRequest> by_id;
  std::set<std::pair<Time, std::uint64_t>> by_deadline;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_FAIR_QUEUE_H_
