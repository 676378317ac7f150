#ifndef POLLENRING_SHARE_SHARE_ALL_H_
#define POLLENRING_SHARE_SHARE_ALL_H_

#include "pollenring/share/borrow.h"
#include "pollenring/share/borrower.h"
#include "pollenring/share/lender.h"
#include "pollenring/share/slots_of.h"

#endif  // POLLENRING_SHARE_SHARE_ALL_H_
