#include "pollenring/node/describe_members.h"

namespace pollenring {

nlohmann::json DescribeMembers(const Membership &membership,
                               const PeerVersions &versions) {
  using Json = nlohmann::json;
  Json members = Json::array();
  const auto add = [&](const Member &member,
                       std::optional<WireVersion> version) {
    Json targets = Json::array();
    for (const auto &target : member.targets) {
      targets.push_back({{"service", target.service},
                         {"slots", target.slots},
                         {"state", kTargetStateNames.Name(target.state)}});
    }
    members.push_back(
        {{"node", AddressOf(member.id).Format()},
         {"zone", member.zone},
         {"region", member.region},
         {"state", kMemberStateNames.Name(member.state)},
         {"messages", version ? kWireVersionNames.Name(*version) : "unknown"},
         {"slots_held", member.slots.size()},
         {"targets", std::move(targets)}});
  };
  add(membership.Self(), kNewestWire);
  for (const auto &[id, member] : membership.Members()) {
    add(member, versions.Of(id));
  }
  return members;
}

}  // namespace pollenring
