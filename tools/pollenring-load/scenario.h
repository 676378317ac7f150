#ifndef POLLENRING_TOOLS_LOAD_SCENARIO_H_
#define POLLENRING_TOOLS_LOAD_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pollenring/contract/parse.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/diagnostic.h"
#include "pollenring/net/address.h"

namespace load {

/*! @brief Stream of identical requests of one workspace. */
struct Caller {
  std::string workspace;
  std::string key;
  double rate{};   /*!< Rate of the workspace in requests/s. */
  double burst{};  /*!< Burst of the workspace in requests. */
  double demand{}; /*!< Offered requests/s, without retries. */
  double surge{1}; /*!< Demand multiplier during the trigger. */
  std::string method{"GET"};
  std::string path;
  std::string body;
};

/*! @brief Target that is slowed down during the trigger. */
struct SlowTarget {
  pollenring::Address address;
  double latency_ms{};
  double normal_ms{};
};

/*! @brief Parameters of one experiment. */
struct Scenario {
  std::vector<pollenring::Address> nodes;
  pollenring::Duration length{std::chrono::seconds{10}};
  pollenring::Duration trigger_from{};
  pollenring::Duration trigger_to{};
  pollenring::Duration timeout{std::chrono::seconds{2}};
  pollenring::Duration retry_pause{std::chrono::milliseconds{50}};
  int retries{3};
  std::uint64_t seed{1};
  double capacity{}; /*!< Requests/s the targets can complete; 0: unlimited. */
  std::vector<Caller> callers;
  std::vector<SlowTarget> slow;
};

/**
 * @brief Reads a scenario.
 * @param file The file.
 * @param diagnostics Receives all errors.
 * @return The scenario; valid only if no diagnostics were added.
 */
[[nodiscard]] Scenario ReadScenario(const pollenring::SourceFile &file,
                                    pollenring::Diagnostics &diagnostics);

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_SCENARIO_H_
