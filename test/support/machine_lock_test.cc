#include "support/machine_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>

TEST_CASE("machine lock: a second test process has to wait") {
  // Guards against: "can't bind" in the tests of two checkouts on one machine.
  // `main` holds the lock; a lock belongs to the opening of its file.
  const int fd = open(support::MachineLock::Path().c_str(), O_RDWR | O_CLOEXEC);
  REQUIRE(fd >= 0);
  CHECK(flock(fd, LOCK_EX | LOCK_NB) != 0);
  CHECK(errno == EWOULDBLOCK);
  close(fd);
}
