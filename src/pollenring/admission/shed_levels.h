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

/*! @brief Places a request on one scale: importance first, then its lot.
 * @param importance Importance.
 * @param sub_priority The root's lot, in [0, 1).
 * @return A value from 0 to below 4; lower values are shed first. */
[[nodiscard]] inline double PriorityOf(Importance importance,
                                       double sub_priority) noexcept {
  return static_cast<double>(importance) + sub_priority;
}

/**
 * @brief Below which priority a service would shed each workspace's requests,
 * for callers to know early.
 *
 * When a service sheds, what it can serve is given to the most important
 * requests first and, within one importance, to workspaces by their weights;
 * what one does not use goes to the others. All parts of a root share its lot,
 * so that services agree on which roots to refuse.
 */
class ShedLevels final : public LevelControl {
 public:
  /**
   * @brief Starts by admitting everything.
   * @param window Time between changes of the levels.
   * @param clock Clock.
   */
  ShedLevels(Duration window, const Clock &clock);

  [[nodiscard]] double AdmissionLevelOf(
      const std::string &workspace) const override;
  void Offered(const AdmissionRequest &ticket) override;
  void Shed() override;
  void Tick(const QueueState &queue) override;

 private:
  struct Workspace {
    std::array<double, kImportanceLevels> offered{};
    double weight{1};
    double level{};
  };
  struct Claim {
    Workspace *workspace;
    double offered;
    double due;
  };

  void Cut(double kept_part);
  static void Steer(const Claim &claim, int importance);
  static void Divide(std::vector<Claim> &claims, double capacity);
  void Release();
  void Decay();

  Duration window;
  const Clock &clock;
  Time window_start;
  std::unordered_map<std::string, Workspace> workspaces;
  double total{};
  double shed{};
  double shed_now{};
  double release{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_SHED_LEVELS_H_
