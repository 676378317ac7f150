#ifndef POLLENRING_ADMISSION_REQUEST_QUEUE_H_
#define POLLENRING_ADMISSION_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pollenring/admission/admission_request.h"
#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Requests that wait for a target, in the order of a policy. */
class RequestQueue {
 public:
  RequestQueue() = default;
  RequestQueue(const RequestQueue &) = delete;
  RequestQueue &operator=(const RequestQueue &) = delete;
  virtual ~RequestQueue() = default;

  [[nodiscard]] virtual std::size_t Size() const noexcept = 0;

  /*! @brief Importance of the first to be shed. @return It; highest if empty.
   */
  [[nodiscard]] virtual Importance Lowest() const noexcept = 0;

  /**
   * @brief Adds a request.
   * @param ticket The request.
   */
  virtual void Push(const AdmissionRequest &ticket) = 0;

  /*! @brief Takes the next request to run. @return It, or nothing. */
  [[nodiscard]] virtual std::optional<AdmissionRequest> Pop() = 0;

  /**
   * @brief Takes the first request to shed.
   * @return It, or nothing.
   */
  [[nodiscard]] virtual std::optional<AdmissionRequest> PopWorst() = 0;

  /**
   * @brief Takes out one request.
   * @param id The request.
   * @return Whether it was waiting.
   */
  virtual bool Remove(std::uint64_t id) = 0;

  /**
   * @brief Takes out all whose deadline is too near.
   * @param before Deadlines earlier than this are too near.
   * @return The requests taken out.
   */
  [[nodiscard]] virtual std::vector<AdmissionRequest> RemoveExpired(
      Time before) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_REQUEST_QUEUE_H_
