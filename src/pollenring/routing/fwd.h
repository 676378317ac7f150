#ifndef POLLENRING_ROUTING_FWD_H_
#define POLLENRING_ROUTING_FWD_H_

namespace pollenring {

class KindTimes;
class Router;
struct CallTraits;
struct LoadReport;
struct RouterOptions;
struct TargetSpeed;
enum class CallVerdict;

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_FWD_H_
