#ifndef POLLENRING_TEST_SUPPORT_MIXED_FLEET_H_
#define POLLENRING_TEST_SUPPORT_MIXED_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_server.h"
#include "pollenring/net/loop.h"
#include "support/fleet_journal.h"
#include "support/mesh_world.h"

namespace support {

/*! @brief One build of the daemon. */
struct Build {
  std::string name;    /*!< A commit, or "new". */
  std::string program; /*!< Path of its pollenringd. */
};

/*! @return The build of the sources under test. */
[[nodiscard]] Build NewBuild();

/*! @brief A landed build, made by scripts/build_version.sh. @param commit
 * Commit, seven digits. @return The build; its program may be missing. */
[[nodiscard]] Build LandedBuild(const std::string &commit);

/*! @brief Daemons of several builds under load; store, targets and callers run
 * in the test's process. Daemons are signalled by process id. */
class MixedFleet {
 public:
  /*! @brief One node for each pair of two services and three zones. */
  static constexpr int kNodes = 6;
  static constexpr int kZones = 3;

  /*! @brief Starts the store and the targets. @param net Third octet of the
   * addresses. @param builds_without_withdrawal Builds without support for
   * withdrawn zones. */
  MixedFleet(int net, std::uint64_t seed,
             std::set<std::string> builds_without_withdrawal);
  MixedFleet(const MixedFleet &) = delete;
  MixedFleet &operator=(const MixedFleet &) = delete;
  ~MixedFleet();

  /*! @brief Starts a node. @param first True if the complete fleet starts. */
  void Start(int node, const Build &build, bool first);
  /*! @brief Waits until a node is ready; records a violation if it isn't in
   * time. */
  void AwaitReady(int node);
  /*! @brief Drains a node with SIGTERM and waits for its exit. */
  void Stop(int node);
  void Kill(int node);
  void Pause(int node);
  void Resume(int node);
  /*! @brief Starts a new instance of the target local to a node. */
  void RestartTarget(int node);
  /*! @brief For each zone in turn, drains the targets of all other zones, so
   * that all calls must reach those left, then restarts the drained ones. */
  void LeaveOneZoneInTurn();

  void BeginLoad();
  /*! @brief Sends twice as many slow calls at once as the targets of a node's
   * service have slots; at least a third enter at the node itself. */
  void Burst(int node);
  void Run(pollenring::Duration length);

  /*! @brief Writes the next configuration, waits until it must be active and
   * sends calls to its changed routes at all nodes. */
  void ChangeConfig();
  /*! @brief Withdraws or restores a zone. @param zone From 0. */
  void Withdraw(int zone, bool withdrawn);

  /*! @brief Checks that each node's callers reached each target undisturbed, as
   * landed builds don't report their members. @param from Start of the check.
   */
  void CheckReached(pollenring::Time from);

  [[nodiscard]] pollenring::Time Now() const { return this->clock.Now(); }
  [[nodiscard]] FleetJournal &Journal() { return this->journal; }
  [[nodiscard]] pollenring::Random &GetRandom() { return this->random; }
  /*! @return Milliseconds since the fleet was created. */
  [[nodiscard]] std::int64_t MillisecondsSinceCreation(
      pollenring::Time at) const;
  [[nodiscard]] static const char *ServiceOf(int node);

 private:
  struct FleetNode {
    int number{};
    std::string zone;
    std::string build;
    pid_t pid{};     /*!< 0 while no process runs. */
    bool starting{}; /*!< Until it is first ready. */
    bool stopping{};
    bool in_rotation{};  /*!< True while callers send to it. */
    int failed_checks{}; /*!< Consecutive failed readiness checks. */
    std::unique_ptr<pollenring::HttpServer> target;
    int incarnation{1};
    bool draining{};                /*!< State that its target reports. */
    pollenring::Time ready_since{}; /*!< Of its target, unless draining. */
    int sequence{};
  };

  /*! @brief One kind of request in the callers' load. */
  struct Load {
    std::string method;
    std::string path;
    std::string service;
    std::string workspace; /*!< Empty for calls without a key. */
    double per_s;          /*!< Rate at each node. */
    Expected expected;
  };

  [[nodiscard]] FleetNode &At(int node) {
    return this->nodes.at(static_cast<std::size_t>(node - 1));
  }
  [[nodiscard]] pollenring::Address AddressOf(int node, int port) const;
  [[nodiscard]] static std::string InstanceOf(const FleetNode &node);
  /*! @brief Clears the state of a node whose process has ended. */
  static void ClearProcess(FleetNode &node);
  [[nodiscard]] std::string WriteSettings(const FleetNode &node, bool first);
  [[nodiscard]] std::string NextConfig();

  void Serve(FleetNode &node, const pollenring::HttpRequest &request,
             const std::shared_ptr<pollenring::Responder> &responder);
  void SendHeartbeat(FleetNode &node);
  void CheckReadiness(FleetNode &node);
  void CheckStatus(FleetNode &node);
  void CheckMembers(int node, const std::string &body, pollenring::Time asked);
  void WatchProcesses();
  void SendLoad();
  void Send(const Load &load, int node);
  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit);

  int net;
  std::string folder;
  int config_version{};
  bool load_enabled{};
  pollenring::SystemClock clock;
  pollenring::Time created_at{clock.Now()};
  pollenring::Loop loop{clock};
  pollenring::SeededRandom random;
  pollenring::HttpClient callers{loop, {std::size_t{1} << 20U}};
  pollenring::HttpClient platform{loop, {std::size_t{1} << 20U}};
  FleetJournal journal;
  FakeStore store;
  std::vector<FleetNode> nodes;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MIXED_FLEET_H_
