#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "support/machine_lock.h"

int main(int argc, char **argv) {
  const support::MachineLock lock;
  return Catch::Session().run(argc, argv);
}
