#ifndef POLLENRING_TEST_SUPPORT_CLUSTER_H_
#define POLLENRING_TEST_SUPPORT_CLUSTER_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"

namespace support {

/*! @brief How a target of a test cluster behaves. */
struct TargetSpec {
  std::string service;
  int slots{16};
  double latency_ms{2};
  std::string calls;
};

/*! @brief Real processes on loopback addresses, owned by a test. */
class Cluster {
 public:
  /**
   * @brief Starts the platform.
   * @param net Third octet of the addresses, unique per test.
   */
  explicit Cluster(int net);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  ~Cluster();

  /*! @brief Starts a node. @param index From 1. @param zone Availability zone.
   */
  void StartNode(int index, const std::string &zone);

  /*! @brief Starts the target local to a node. */
  void StartTarget(int index, const TargetSpec &spec);

  void StartPlatform();
  void Signal(const std::string &process, int signal);
  /*! @brief Waits for a process to end. @return Its exit code, or nothing after
   * the limit. */
  [[nodiscard]] std::optional<int> AwaitEnd(const std::string &process,
                                            std::chrono::seconds limit);

  /*! @brief Waits until all nodes list all targets, all slots have holders and
   * witnesses, and all nodes have the same configuration version. */
  [[nodiscard]] bool AwaitReady(const std::vector<int> &nodes, int targets);

  /*! @brief Runs the loop until a condition holds. @return False after the
   * limit. */
  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           std::chrono::milliseconds limit);
  void Run(std::chrono::milliseconds length);

  /*! @brief Sends a request and waits for the response. */
  [[nodiscard]] std::optional<pollenring::HttpResponse> Call(
      const pollenring::Address &to, const pollenring::HttpRequest &request,
      std::chrono::milliseconds timeout = std::chrono::seconds{8});

  [[nodiscard]] std::optional<pollenring::HttpResponse> Get(
      int node, const std::string &path, const std::string &key);
  [[nodiscard]] std::optional<pollenring::HttpResponse> Post(
      int node, const std::string &path, const std::string &key,
      const std::string &id, const std::string &body = "{}");
  [[nodiscard]] std::optional<pollenring::HttpResponse> Operator(
      int node, const std::string &method, const std::string &path,
      const nlohmann::json &body = nullptr);
  [[nodiscard]] nlohmann::json Status(int node);
  [[nodiscard]] nlohmann::json Report(int target);
  void ControlPlatform(const nlohmann::json &body);
  void ControlTarget(int target, const nlohmann::json &body);

  /*! @brief Publishes documents through a node. @return HTTP status, or 0
   * without a response. */
  int Publish(int node, const std::map<std::string, std::string> &documents);
  /*! @brief Issues a key for a workspace. @return The key, empty on failure. */
  std::string IssueKey(int node, const std::string &workspace);
  int WithdrawKey(int node, const std::string &key);

  [[nodiscard]] pollenring::Address Callers(int node) const {
    return this->At(node, 7000);
  }
  [[nodiscard]] pollenring::Address At(int index, std::uint16_t port) const;

  pollenring::SystemClock clock;
  pollenring::Loop loop;
  pollenring::HttpClient client;
  pollenring::SeededRandom random;

 private:
  void Start(const std::string &name,
             const std::vector<std::string> &arguments);

  int net;
  std::string folder;
  std::map<std::string, pid_t> processes;
};

/*! @brief Contracts of the chain front, middle, back, and of orders. */
[[nodiscard]] std::map<std::string, std::string> GraphDocuments();

/*! @brief Starts six nodes with two targets each of front and middle, and one
 * each of back and orders. */
void StartGraph(Cluster &cluster);

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_CLUSTER_H_
