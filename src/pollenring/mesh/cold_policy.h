#ifndef POLLENRING_MESH_COLD_POLICY_H_
#define POLLENRING_MESH_COLD_POLICY_H_

#include <string>

#include "pollenring/mesh/policy_follower.h"
#include "pollenring/node/target_executor.h"

namespace pollenring {

/*! @brief Bounds for cold targets, from the configuration in force. */
class ColdPolicy final : public ColdStartLimits {
 public:
  /**
   * @brief Creates the bounds.
   * @param policy The configuration.
   * @param margin What is tolerated.
   */
  ColdPolicy(const PolicyFollower &policy, const ColdStartHeadroom &margin)
      : policy{policy}, margin{margin} {}

  [[nodiscard]] ColdStartLimit LimitOf(
      const std::string &service) const override;
  [[nodiscard]] Duration ColdAfterStart(
      const std::string &service) const override;

 private:
  const PolicyFollower &policy;
  ColdStartHeadroom margin;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_COLD_POLICY_H_
