#ifndef POLLENRING_ADMISSION_LEVEL_CONTROL_H_
#define POLLENRING_ADMISSION_LEVEL_CONTROL_H_

#include <string>

#include "pollenring/admission/admission_request.h"
#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Current state of a target's queue. */
struct QueueState {
  Duration delay{};  /*!< Until all that wait now have started. */
  double capacity{}; /*!< Requests per second; 0 while unknown. */
};

/*! @brief Decides below which priority root requests are refused early. */
class LevelControl {
 public:
  LevelControl() = default;
  LevelControl(const LevelControl &) = delete;
  LevelControl &operator=(const LevelControl &) = delete;
  virtual ~LevelControl() = default;

  /**
   * @brief Priority below which a workspace's roots are to be refused.
   * @param workspace The workspace.
   * @return The admission level; 0 admits everything.
   */
  [[nodiscard]] virtual double AdmissionLevelOf(
      const std::string &workspace) const = 0;

  /*! @brief Counts an offered request. @param request The request. */
  virtual void Offered(const AdmissionRequest &request) = 0;

  /*! @brief Counts a shed request. */
  virtual void Shed() = 0;

  /**
   * @brief Updates the levels at the end of each window.
   * @param queue State of the queue.
   */
  virtual void Tick(const QueueState &queue) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_LEVEL_CONTROL_H_
