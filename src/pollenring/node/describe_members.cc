#include "pollenring/node/describe_members.h"

namespace pollenring {

nlohmann::json DescribeMembers(const Membership &membership) {
  using Json = nlohmann::json;
  Json members = Json::array();
  const auto add = [&members](const Member &member) {
    Json targets = Json::array();
    for (const auto &target : member.targets) {
      targets.push_back({{"service", target.service},
                         {"slots", target.slots},
                         {"state", kTargetStateNames.Name(target.state)}});
    }
    members.push_back({{"node", AddressOf(member.id).Format()},
                       {"zone", member.zone},
                       {"region", member.region},
                       {"state", kMemberStateNames.Name(member.state)},
                       {"slots_held", member.slots.size()},
                       {"targets", std::move(targets)}});
  };
  add(membership.Self());
  for (const auto &[id, member] : membership.Members()) add(member);
  return members;
}

}  // namespace pollenring
