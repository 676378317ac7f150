#ifndef POLLENRING_MESH_COLD_POLICY_H_
#define POLLENRING_MESH_COLD_POLICY_H_

#include <string>

#include "pollenring/mesh/policy_follower.h"
#include "pollenring/node/serving.h"

namespace pollenring {

/*! @brief Cold-start limits from the active configuration. */
class ColdPolicy final : public ColdBounds {
 public:
  /**
   * @brief Creates the limits.
   * @param policy Source of the active configuration.
   * @param margin How far the configured rate may be exceeded.
   */
  ColdPolicy(const PolicyFollower &policy, const ColdMargin &margin)
      : policy{policy}, margin{margin} {}

  [[nodiscard]] ColdTolerance ToleranceOf(
      const std::string &service) const override;
  [[nodiscard]] Span ColdAfterStart(const std::string &service) const override;

 private:
  const PolicyFollower &policy;
  ColdMargin margin;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_COLD_POLICY_H_
