#ifndef POLLENRING_TEST_SUPPORT_CRASHING_TARGET_H_
#define POLLENRING_TEST_SUPPORT_CRASHING_TARGET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pollenring/net/address.h"
#include "pollenring/net/h2o_api.h"
#include "pollenring/net/loop.h"

namespace support {

/*! @brief How a crashing target behaves. */
struct CrashingTargetOptions {
  pollenring::Duration run_time{std::chrono::milliseconds{60}};
  pollenring::Duration down_for{std::chrono::milliseconds{400}};
  std::set<std::string> crashing_paths;
};

/**
 * @brief A target that ends when it has begun to run certain requests.
 *
 * All connections end at once, further ones are refused, and after a while it
 * listens again.
 */
class CrashingTarget {
 public:
  CrashingTarget(pollenring::Loop &loop, const pollenring::Address &address,
                 CrashingTargetOptions options);
  CrashingTarget(const CrashingTarget &) = delete;
  CrashingTarget &operator=(const CrashingTarget &) = delete;
  ~CrashingTarget() { this->Close(); }

  /*! @brief Ends it as a crash does. */
  void Crash();

  [[nodiscard]] bool Listening() const noexcept {
    return this->listener != nullptr;
  }

  std::vector<pollenring::Time> crashes;
  std::map<std::string, int> started; /*!< Requests begun, by path. */
  /*! @brief When requests with crashing paths have begun. */
  std::vector<pollenring::Time> crashing_started;

 private:
  struct Connection {
    CrashingTarget *owner{};
    h2o_socket_t *sock{};
    std::string received;
    std::string output;
  };

  void Open();
  void Close();
  void Accept();
  void Read(Connection &connection, const char *error);
  void Begin(Connection &connection, const std::string &head);
  void Finish(h2o_socket_t *sock, const std::string &id);

  pollenring::Loop &loop;
  pollenring::Address address;
  CrashingTargetOptions options;
  h2o_socket_t *listener{};
  std::map<h2o_socket_t *, std::unique_ptr<Connection>> connections;
  std::shared_ptr<bool> life{std::make_shared<bool>(true)};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_CRASHING_TARGET_H_
