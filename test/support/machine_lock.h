#ifndef POLLENRING_TEST_SUPPORT_MACHINE_LOCK_H_
#define POLLENRING_TEST_SUPPORT_MACHINE_LOCK_H_

#include <string>

namespace support {

/**
 * @brief Lets one test process of the machine run at a time.
 *
 * Tests use fixed loopback addresses, as placement follows from them; those of
 * another checkout use the same ones.
 */
class MachineLock {
 public:
  /*! @brief Waits for the lock; goes on without it if it can't be opened. */
  MachineLock();
  MachineLock(const MachineLock &) = delete;
  MachineLock &operator=(const MachineLock &) = delete;
  ~MachineLock();

  /*! @return Path of the locked file. */
  [[nodiscard]] static std::string Path();

 private:
  int fd;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MACHINE_LOCK_H_
