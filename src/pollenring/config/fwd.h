#ifndef POLLENRING_CONFIG_FWD_H_
#define POLLENRING_CONFIG_FWD_H_

namespace pollenring {

class ConfigLedger;
class Publisher;
class WithdrawnZones;
struct ConfigChange;
struct ConfigSnapshot;
struct ZoneChange;
struct ZoneWithdrawals;

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_FWD_H_
