#ifndef POLLENRING_CORE_CORE_H_
#define POLLENRING_CORE_CORE_H_

#include "pollenring/core/clock.h"
#include "pollenring/core/diagnostic.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/core/hash.h"
#include "pollenring/core/importance.h"
#include "pollenring/core/invariant.h"
#include "pollenring/core/outcome.h"
#include "pollenring/core/random.h"
#include "pollenring/core/request_id.h"
#include "pollenring/core/result.h"

#endif  // POLLENRING_CORE_CORE_H_
