#ifndef POLLENRING_CONTRACT_CONTRACT_ALL_H_
#define POLLENRING_CONTRACT_CONTRACT_ALL_H_

#include "pollenring/contract/check.h"
#include "pollenring/contract/contract.h"
#include "pollenring/contract/json.h"
#include "pollenring/contract/parse.h"
#include "pollenring/contract/policy.h"

#endif  // POLLENRING_CONTRACT_CONTRACT_ALL_H_
