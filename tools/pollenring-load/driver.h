#ifndef POLLENRING_TOOLS_LOAD_DRIVER_H_
#define POLLENRING_TOOLS_LOAD_DRIVER_H_

#include <memory>
#include <string>

#include "measures.h"
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

  [[nodiscard]] const Measures &Get() const noexcept { return this->measures; }

  /*! @brief Request ids of responses with outcome "not-run". */
  [[nodiscard]] const std::vector<std::string> &SaidNotRun() const noexcept {
    return this->said_not_run;
  }

  /*! @brief Schedules the first requests and the trigger. */
  void Start();

 private:
  struct Wish {
    std::size_t caller{};
    std::string id;
    pollenring::Time wanted{};
    int tries_left{};
  };
  using WishPtr = std::shared_ptr<Wish>;

  void Next(std::size_t caller, pollenring::Time now);
  void Try(const WishPtr &wish);
  void Ended(const WishPtr &wish, pollenring::Time left, bool within,
             pollenring::HttpClient::Reply reply);
  void SetLatencies(bool slow);
  [[nodiscard]] pollenring::Time Elapsed() const;

  const Scenario &scenario;
  pollenring::Loop &loop;
  pollenring::HttpClient &client;
  pollenring::SeededRandom random;
  Measures measures;
  pollenring::Time started{};
  std::vector<std::string> said_not_run;
};

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_DRIVER_H_
