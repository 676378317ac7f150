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

/*! @brief One stream of like requests of one workspace. */
struct Caller {
  std::string workspace;
  std::string key;
  double rate{};   /*!< The workspace's contract: requests a second. */
  double burst{};  /*!< The workspace's contract: requests at once. */
  double demand{}; /*!< Requests a second that it wants answered. */
  double surge{1}; /*!< Factor on its demand while the trigger lasts. */
  std::string method{"GET"};
  std::string path;
  std::string body;
};

/*! @brief A target that slows down while the trigger lasts. */
struct SlowTarget {
  pollenring::Address address;
  double latency_ms{};
  double normal_ms{};
};

/*! @brief One experiment. */
struct Scenario {
  std::vector<pollenring::Address> nodes;
  pollenring::Duration length{std::chrono::seconds{10}};
  pollenring::Duration trigger_from{};
  pollenring::Duration trigger_to{};
  pollenring::Duration timeout{std::chrono::seconds{2}};
  pollenring::Duration retry_pause{std::chrono::milliseconds{50}};
  int retries{3};
  std::uint64_t seed{1};
  double
      capacity{}; /*!< Whole requests a second that targets can do; 0: any. */
  std::vector<Caller> callers;
  std::vector<SlowTarget> slow;
};

/**
 * @brief Reads a scenario.
 * @param file The file.
 * @param diagnostics Receives all faults.
 * @return The scenario; use it only when there are no findings.
 */
[[nodiscard]] Scenario ReadScenario(const pollenring::SourceFile &file,
                                    pollenring::Diagnostics &diagnostics);

}  // namespace load

#endif  // POLLENRING_TOOLS_LOAD_SCENARIO_H_
