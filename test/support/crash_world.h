#ifndef POLLENRING_TEST_SUPPORT_CRASH_WORLD_H_
#define POLLENRING_TEST_SUPPORT_CRASH_WORLD_H_

#include <memory>
#include <string>
#include <vector>

#include "support/crashing_target.h"
#include "support/mesh_fleet.h"

namespace support {

/*! @brief One front, and deep targets that certain requests crash. */
class CrashWorld {
 public:
  CrashWorld(int net, int targets, const CrashingTargetOptions &options);

  /*! @brief Runs; targets that listen announce themselves, under another
   * instance after each crash. */
  void Run(pollenring::Duration length);

  /*! @brief Sends a request to the next node in turn, without waiting. */
  void Send(const std::string &path);

  [[nodiscard]] int Crashes() const;

  /*! @brief Requests with crashing paths that targets began to run later than
   * some time after the third crash. */
  [[nodiscard]] int StartedAfterThird(pollenring::Duration delay) const;

  MeshWorld world;
  std::vector<std::unique_ptr<CrashingTarget>> targets;
  std::map<std::string, std::map<int, int>> results; /*!< Statuses by path. */
  std::map<std::string, int> quarantined; /*!< Refused for it, by path. */

 private:
  void Announce(bool all);

  std::vector<std::size_t> announced_crashes;
  pollenring::SystemClock clock;
  pollenring::Time announced_at{};
  int sent{};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_CRASH_WORLD_H_
