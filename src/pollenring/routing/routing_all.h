#ifndef POLLENRING_ROUTING_ROUTING_ALL_H_
#define POLLENRING_ROUTING_ROUTING_ALL_H_

#include "pollenring/routing/kind_times.h"
#include "pollenring/routing/load_report.h"
#include "pollenring/routing/router.h"

#endif  // POLLENRING_ROUTING_ROUTING_ALL_H_
