#ifndef POLLENRING_ONCE_ONCE_ALL_H_
#define POLLENRING_ONCE_ONCE_ALL_H_

#include "pollenring/once/ledger.h"
#include "pollenring/once/mirror.h"
#include "pollenring/once/record.h"

#endif  // POLLENRING_ONCE_ONCE_ALL_H_
