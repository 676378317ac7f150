#ifndef POLLENRING_MEMBERSHIP_FWD_H_
#define POLLENRING_MEMBERSHIP_FWD_H_

namespace pollenring {

class Membership;
class MembershipDelegate;
class StoreWatcherRole;
struct Member;
struct Target;
struct Gossip;
enum class MemberState;
enum class TargetState;

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_FWD_H_
