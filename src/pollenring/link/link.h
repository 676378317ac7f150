#ifndef POLLENRING_LINK_LINK_H_
#define POLLENRING_LINK_LINK_H_

#include "pollenring/link/link_client.h"
#include "pollenring/link/link_error.h"
#include "pollenring/link/link_server.h"
#include "pollenring/link/session.h"

#endif  // POLLENRING_LINK_LINK_H_
