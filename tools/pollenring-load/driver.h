#ifndef POLLENRING_TOOLS_LOAD_DRIVER_H_
#define POLLENRING_TOOLS_LOAD_DRIVER_H_

#include <memory>
#include <string>

#include "metrics.h"
#include "pollenring/core/random.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"
#include "scenario.h"

namespace load {

/*! @brief Generates the open-loop load of a scenario, with retries. */
class Driver {
 public:
  /**
   * @brief Constructs a driver.
   * @param scenario The experiment; must outlive the driver.
   * @param loop Event loop; stopped at the end of the experiment.
   * @param client Client for requests and control of slow targets.
   */
  Driver(const Scenario &scenario, pollenring::Loop &loop,
         pollenring::HttpClient &client);

  [[nodiscard]] const Metrics &GetMetrics() const noexcept {
    return this->metrics;
  }

  /*! @brief Request ids of responses with outcome "not-run". */
  [[nodiscard]] const std::vector<std::string> &NotExecutedIds()
      const noexcept {
    return this->not_executed_ids;
  }

  /*! @brief Schedules the first requests and the trigger. */
  void Start();

 private:
  struct PendingRequest {
    std::size_t caller{};
    std::string id;
    pollenring::Time requested_at{};
    int retries_left{};
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void ScheduleNext(std::size_t caller, pollenring::Time now);
  void SendAttempt(const PendingRequestPtr &pending);
  void AttemptEnded(const PendingRequestPtr &pending, pollenring::Time sent_at,
                    bool within_rate, pollenring::HttpClient::Reply reply);
  void SetTargetLatencies(bool slow);
  [[nodiscard]] pollenring::Time Elapsed() const;

  const Scenario &scenario;
  pollenring::Loop &loop;
  pollenring::HttpClient &client;
  pollenring::SeededRandom random;
  Metrics metrics;
  pollenring::Time start_time{};
  std::vector<std::string> not_executed_ids;
};

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_DRIVER_H_
