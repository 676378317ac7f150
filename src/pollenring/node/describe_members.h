#ifndef POLLENRING_NODE_DESCRIBE_MEMBERS_H_
#define POLLENRING_NODE_DESCRIBE_MEMBERS_H_

#include <nlohmann/json.hpp>

#include "pollenring/membership/membership.h"

namespace pollenring {

/**
 * @brief Lists all nodes that are known, for operators.
 * @param membership Who is there.
 * @return One object a node: address, zone, region, state, targets.
 */
[[nodiscard]] nlohmann::json DescribeMembers(const Membership &membership);

}  // namespace pollenring

#endif  // POLLENRING_NODE_DESCRIBE_MEMBERS_H_
