#ifndef POLLENRING_NODE_DESCRIBE_MEMBERS_H_
#define POLLENRING_NODE_DESCRIBE_MEMBERS_H_

#include <nlohmann/json.hpp>

#include "pollenring/membership/membership.h"
#include "pollenring/wire/peer_versions.h"

namespace pollenring {

/**
 * @brief Lists all known nodes for operators.
 * @param membership Known nodes.
 * @param versions Wire versions that they read.
 * @return One object per node: address, zone, region, state, newest wire
 * version, number of slots held, targets.
 */
[[nodiscard]] nlohmann::json DescribeMembers(const Membership &membership,
                                             const PeerVersions &versions);

}  // namespace pollenring

#endif  // POLLENRING_NODE_DESCRIBE_MEMBERS_H_
