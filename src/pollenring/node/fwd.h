#ifndef POLLENRING_NODE_FWD_H_
#define POLLENRING_NODE_FWD_H_

namespace pollenring {

class ColdStartLimits;
class Dispatcher;
class Ingress;
class Node;
class OperatorPort;
class DownstreamLevels;
class TargetExecutor;
class TargetPort;
struct CallEnvelope;
struct CallReply;
struct Settings;

}  // namespace pollenring

#endif  // POLLENRING_NODE_FWD_H_
