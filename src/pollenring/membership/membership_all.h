#ifndef POLLENRING_MEMBERSHIP_MEMBERSHIP_ALL_H_
#define POLLENRING_MEMBERSHIP_MEMBERSHIP_ALL_H_

#include "pollenring/membership/member.h"
#include "pollenring/membership/membership.h"
#include "pollenring/membership/store_watcher_role.h"

#endif  // POLLENRING_MEMBERSHIP_MEMBERSHIP_ALL_H_
