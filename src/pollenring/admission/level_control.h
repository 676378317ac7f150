#ifndef POLLENRING_ADMISSION_LEVEL_CONTROL_H_
#define POLLENRING_ADMISSION_LEVEL_CONTROL_H_

#include <string>

#include "pollenring/admission/admission_request.h"
#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief The queue beside a target, as it is now. */
struct QueueState {
  Duration delay{};  /*!< Until all that wait now will have been started. */
  double capacity{}; /*!< Requests a second; 0 while it is not known. */
};

/*! @brief Decides below which priority a service's roots are refused early. */
class LevelControl {
 public:
  LevelControl() = default;
  LevelControl(const LevelControl &) = delete;
  LevelControl &operator=(const LevelControl &) = delete;
  virtual ~LevelControl() = default;

  /**
   * @brief Priority below which a workspace's roots are to be refused.
   * @param workspace The workspace.
   * @return Its level, 0 to admit everything.
   */
  [[nodiscard]] virtual double AdmissionLevelOf(
      const std::string &workspace) const = 0;

  /*! @brief Counts a request that was offered. @param ticket The request. */
  virtual void Offered(const AdmissionRequest &ticket) = 0;

  /*! @brief Counts a request that was shed. */
  virtual void Shed() = 0;

  /**
   * @brief Closes a window when it is over.
   * @param queue The queue.
   */
  virtual void Tick(const QueueState &queue) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_LEVEL_CONTROL_H_
