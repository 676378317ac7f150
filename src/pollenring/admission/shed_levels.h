#ifndef POLLENRING_ADMISSION_SHED_LEVELS_H_
#define POLLENRING_ADMISSION_SHED_LEVELS_H_

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/admission_request.h"
#include "pollenring/admission/level_control.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief Priority of a request: importance first, then its sub-priority.
 * @param importance Importance.
 * @param sub_priority Sub-priority of the root, in [0, 1).
 * @return A value from 0 to below 4; lower values are shed first. */
[[nodiscard]] inline double PriorityOf(Importance importance,
                                       double sub_priority) noexcept {
  return static_cast<double>(importance) + sub_priority;
}

/**
 * @brief Per-workspace priority below which a service would shed requests, so
 * that callers can refuse early.
 *
 * When a service sheds, its capacity goes to the most important requests first
 * and, within one importance, to workspaces by weight; what one does not use
 * goes to the others. All calls of a root have the same sub-priority, so that
 * services agree on which roots to refuse.
 */
class ShedLevels final : public LevelControl {
 public:
  /**
   * @brief Starts by admitting everything.
   * @param window Interval between updates of the levels.
   * @param clock Clock.
   */
  ShedLevels(Duration window, const Clock &clock);

  [[nodiscard]] double AdmissionLevelOf(
      const std::string &workspace) const override;
  void Offered(const AdmissionRequest &request) override;
  void Shed() override;
  void Tick(const QueueState &queue) override;

 private:
  struct Workspace {
    std::array<double, kImportanceLevels> offered{};
    double weight{1};
    double level{};
  };
  /*! @brief Requests of one workspace at one importance. */
  struct Claim {
    Workspace *workspace;
    double offered;
    double allotted;
  };

  void Raise(double kept_part);
  static void Adjust(const Claim &claim, int importance);
  static void Allot(std::vector<Claim> &claims, double capacity);
  void Release();
  void Decay();

  Duration window;
  const Clock &clock;
  Time window_start;
  std::unordered_map<std::string, Workspace> workspaces;
  double total{};
  double shed{};
  double shed_in_window{};
  double release_step{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_SHED_LEVELS_H_
