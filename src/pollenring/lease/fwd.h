#ifndef POLLENRING_LEASE_FWD_H_
#define POLLENRING_LEASE_FWD_H_

namespace pollenring {

class SlotDirectory;
class SlotKeeper;
class SlotDelegate;
class Witness;
struct KnownRow;
struct LeaseOptions;
struct RowInForce;
struct SlotRow;
struct WitnessReply;
struct WitnessQuery;
struct ProcessRef;

}  // namespace pollenring

#endif  // POLLENRING_LEASE_FWD_H_
