#ifndef POLLENRING_NODE_DESCRIBE_MEMBERS_H_
#define POLLENRING_NODE_DESCRIBE_MEMBERS_H_

#include <nlohmann/json.hpp>

#include "pollenring/membership/membership.h"
#include "pollenring/wire/peer_versions.h"

namespace pollenring {

/**
 * @brief Lists all nodes that are known, for operators.
 * @param membership Who is there.
 * @param versions Which forms of messages they read.
 * @return One object a node: address, zone, region, state, newest
 * form of messages, targets.
 */
[[nodiscard]] nlohmann::json DescribeMembers(const Membership &membership,
                                             const PeerVersions &versions);

}  // namespace pollenring

#endif  // POLLENRING_NODE_DESCRIBE_MEMBERS_H_
