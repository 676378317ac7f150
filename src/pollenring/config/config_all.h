#ifndef POLLENRING_CONFIG_CONFIG_ALL_H_
#define POLLENRING_CONFIG_CONFIG_ALL_H_

#include "pollenring/config/change.h"
#include "pollenring/config/ledger.h"
#include "pollenring/config/publisher.h"
#include "pollenring/config/store_reader.h"

#endif  // POLLENRING_CONFIG_CONFIG_ALL_H_
