#ifndef POLLENRING_NET_NET_H_
#define POLLENRING_NET_NET_H_

#include "pollenring/net/address.h"
#include "pollenring/net/connection_table.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_message.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "pollenring/net/udp_socket.h"

#endif  // POLLENRING_NET_NET_H_
