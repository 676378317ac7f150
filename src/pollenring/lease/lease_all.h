#ifndef POLLENRING_LEASE_LEASE_ALL_H_
#define POLLENRING_LEASE_LEASE_ALL_H_

#include "pollenring/lease/choose_witnesses.h"
#include "pollenring/lease/options.h"
#include "pollenring/lease/promises.h"
#include "pollenring/lease/slot_keeper.h"
#include "pollenring/lease/slot_row.h"
#include "pollenring/lease/witness.h"
#include "pollenring/lease/witness_messages.h"

#endif  // POLLENRING_LEASE_LEASE_ALL_H_
