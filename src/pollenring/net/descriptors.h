#ifndef POLLENRING_NET_DESCRIPTORS_H_
#define POLLENRING_NET_DESCRIPTORS_H_

#include <cstddef>

namespace pollenring {

/**
 * @brief Raises the soft limit of this process on open descriptors to the hard
 * one.
 * @return The limit, see `getrlimit(2)`.
 */
std::size_t RaiseDescriptorLimit();

/**
 * @brief Whether a system call failed for want of a resource that the end of
 * another connection may return.
 * @param error Number of the error, as in `errno`.
 * @return True for want of descriptors, buffers or memory.
 */
[[nodiscard]] bool IsExhaustion(int error) noexcept;

/**
 * @brief Makes the system probe idle connections, so that those whose peers
 * have vanished end.
 * @param fd A socket; those accepted from a listener inherit the setting.
 */
void KeepAlive(int fd) noexcept;

/**
 * @brief A descriptor kept for the moment in which there is no other left: a
 * waiting connection is then refused instead of left in the backlog.
 */
class ReserveDescriptor {
 public:
  ReserveDescriptor();
  ReserveDescriptor(const ReserveDescriptor &) = delete;
  ReserveDescriptor &operator=(const ReserveDescriptor &) = delete;
  ~ReserveDescriptor();

  /**
   * @brief Takes the first waiting connection and closes it.
   * @param listener Descriptor of the listener.
   * @return True if one was closed.
   */
  bool RefuseOne(int listener);

 private:
  int fd;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_DESCRIPTORS_H_
