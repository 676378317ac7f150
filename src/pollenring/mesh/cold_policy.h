#ifndef POLLENRING_MESH_COLD_POLICY_H_
#define POLLENRING_MESH_COLD_POLICY_H_

#include <string>

#include "pollenring/mesh/policy_follower.h"
#include "pollenring/node/target_executor.h"

namespace pollenring {

/*! @brief Cold-start limits from the active configuration. */
class ColdPolicy final : public ColdStartLimits {
 public:
  /**
   * @brief Creates the limits.
   * @param policy Source of the active configuration.
   * @param headroom How far the configured rate may be exceeded.
   */
  ColdPolicy(const PolicyFollower &policy, const ColdStartHeadroom &headroom)
      : policy{policy}, headroom{headroom} {}

  [[nodiscard]] ColdStartLimit LimitOf(
      const std::string &service) const override;
  [[nodiscard]] Duration ColdAfterStart(
      const std::string &service) const override;

 private:
  const PolicyFollower &policy;
  ColdStartHeadroom headroom;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_COLD_POLICY_H_
