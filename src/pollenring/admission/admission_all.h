#ifndef POLLENRING_ADMISSION_ADMISSION_ALL_H_
#define POLLENRING_ADMISSION_ADMISSION_ALL_H_

#include "pollenring/admission/admission.h"
#include "pollenring/admission/admission_request.h"
#include "pollenring/admission/concurrency_limit.h"
#include "pollenring/admission/fair_queue.h"
#include "pollenring/admission/shed_levels.h"
#include "pollenring/admission/target_capacity.h"
#include "pollenring/admission/target_load.h"

#endif  // POLLENRING_ADMISSION_ADMISSION_ALL_H_
