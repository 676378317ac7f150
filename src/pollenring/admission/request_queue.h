#ifndef POLLENRING_ADMISSION_REQUEST_QUEUE_H_
#define POLLENRING_ADMISSION_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pollenring/admission/admission_request.h"
#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Queue of requests that wait for a target, ordered by a policy. */
class RequestQueue {
 public:
  RequestQueue() = default;
  RequestQueue(const RequestQueue &) = delete;
  RequestQueue &operator=(const RequestQueue &) = delete;
  virtual ~RequestQueue() = default;

  [[nodiscard]] virtual std::size_t Size() const noexcept = 0;

  /*! @brief Importance of the request to shed first.
   * @return It; the highest if the queue is empty. */
  [[nodiscard]] virtual Importance LowestImportance() const noexcept = 0;

  /**
   * @brief Adds a request.
   * @param request The request.
   */
  virtual void Push(const AdmissionRequest &request) = 0;

  /*! @brief Removes the next request to run. @return It, or nothing. */
  [[nodiscard]] virtual std::optional<AdmissionRequest> Pop() = 0;

  /**
   * @brief Removes the first request to shed.
   * @return It, or nothing.
   */
  [[nodiscard]] virtual std::optional<AdmissionRequest> PopWorst() = 0;

  /**
   * @brief Removes a request.
   * @param id The request.
   * @return True if it was waiting.
   */
  virtual bool Remove(std::uint64_t id) = 0;

  /**
   * @brief Removes all requests that can't finish in time.
   * @param before Requests with an earlier deadline are removed.
   * @return The removed requests.
   */
  [[nodiscard]] virtual std::vector<AdmissionRequest> RemoveExpired(
      Time before) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_REQUEST_QUEUE_H_
