#ifndef POLLENRING_CONTRACT_FWD_H_
#define POLLENRING_CONTRACT_FWD_H_

namespace pollenring {

struct Route;
struct Contract;
struct WorkspaceRateLimit;
struct ContractSet;
struct SourceFile;
class Policy;

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_FWD_H_
