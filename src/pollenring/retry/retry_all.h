#ifndef POLLENRING_RETRY_RETRY_ALL_H_
#define POLLENRING_RETRY_RETRY_ALL_H_

#include "pollenring/retry/allowance.h"
#include "pollenring/retry/backoff.h"
#include "pollenring/retry/budget.h"
#include "pollenring/retry/ceiling.h"

#endif  // POLLENRING_RETRY_RETRY_ALL_H_
