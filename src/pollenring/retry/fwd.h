#ifndef POLLENRING_RETRY_FWD_H_
#define POLLENRING_RETRY_FWD_H_

namespace pollenring {

class NodeRetryBudget;
class RetryAllowance;
class RetryBudget;
class RetryCeiling;
class TrafficRetryBudget;

}  // namespace pollenring

#endif  // POLLENRING_RETRY_FWD_H_
