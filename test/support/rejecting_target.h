#ifndef POLLENRING_TEST_SUPPORT_REJECTING_TARGET_H_
#define POLLENRING_TEST_SUPPORT_REJECTING_TARGET_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "pollenring/net/address.h"

namespace support {

/**
 * @brief A target that rejects some requests once, as not executed.
 *
 * A faulty one sends each rejection again, when the next request on the same
 * connection waits for its response. Runs on threads of its own.
 */
class RejectingTarget {
 public:
  /**
   * @brief Listens.
   * @param address Own address.
   * @param rejected Identifiers of the requests to reject once.
   * @param faulty Whether rejections are sent twice.
   */
  RejectingTarget(const pollenring::Address &address,
                  std::set<std::string> rejected, bool faulty);
  RejectingTarget(const RejectingTarget &) = delete;
  RejectingTarget &operator=(const RejectingTarget &) = delete;
  ~RejectingTarget();

  /*! @return How often each request has run. */
  [[nodiscard]] std::map<std::string, int> Runs();

  /*! @return Rejections sent so far, and those of them sent twice. */
  [[nodiscard]] int Rejected();
  [[nodiscard]] int Repeated();

 private:
  void Accept();
  void Serve(int fd);
  /*! @brief Decides on a request. @return True to reject it. */
  [[nodiscard]] bool Rejects(const std::string &id);

  std::mutex mutex;
  std::set<std::string> pending; /*!< To be rejected. */
  std::map<std::string, int> runs;
  int rejections{};
  int repeated{};
  bool faulty;
  int listener;
  std::vector<int> open;
  std::vector<std::thread> connections;
  std::thread acceptor;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_REJECTING_TARGET_H_
