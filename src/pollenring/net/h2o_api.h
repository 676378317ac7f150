#ifndef POLLENRING_NET_H2O_API_H_
#define POLLENRING_NET_H2O_API_H_

// h2o's C headers require the event loop to be selected before inclusion.
#ifndef H2O_USE_LIBUV
#define H2O_USE_LIBUV 0
#endif

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
}
#pragma GCC diagnostic pop

#endif  // POLLENRING_NET_H2O_API_H_
