#include "support/machine_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

namespace support {

MachineLock::MachineLock()
    : fd{open(Path().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666)} {
  if (this->fd < 0) return;
  if (flock(this->fd, LOCK_EX | LOCK_NB) == 0) return;
  std::cerr << "waiting for another test process to end\n";
  flock(this->fd, LOCK_EX);
}

std::string MachineLock::Path() {
  return std::filesystem::temp_directory_path() / "pollenring-test.lock";
}

MachineLock::~MachineLock() {
  if (this->fd >= 0) close(this->fd);
}

}  // namespace support
