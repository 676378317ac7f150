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

/*! @brief The build of the sources under test. @return It. */
[[nodiscard]] Build NewBuild();

/*! @brief A landed build, made by scripts/build_version.sh. @param commit Its
 * commit, seven digits. @return It; the program may be missing. */
[[nodiscard]] Build LandedBuild(const std::string &commit);

/*! @brief Real nodes of several builds under load, with the store, the targets
 * and the callers in the test. Processes are ended by their ids. */
class MixedFleet {
 public:
  /*! @brief Two targets' services, three zones; one node for each pair. */
  static constexpr int kNodes = 6;
  static constexpr int kZones = 3;

  /*! @brief Starts the store and the targets. @param net Third number of the
   * addresses. @param blind_builds Builds that don't know of withdrawn zones.
   */
  MixedFleet(int net, std::uint64_t seed, std::set<std::string> blind_builds);
  MixedFleet(const MixedFleet &) = delete;
  MixedFleet &operator=(const MixedFleet &) = delete;
  ~MixedFleet();

  /*! @brief Starts a node. @param first Whether the whole system starts. */
  void Start(int node, const Build &build, bool first);
  /*! @brief Waits until a node says it is ready; a breach if it doesn't. */
  void AwaitReady(int node);
  /*! @brief Stops a node as planned and waits for its end. */
  void Stop(int node);
  void Kill(int node);
  void Pause(int node);
  void Resume(int node);
  /*! @brief Gives the target beside a node a new incarnation. */
  void RestartTarget(int node);
  /*! @brief Leaves each service one target in turn, so that all calls must
   * reach it; the others leave as planned and start again. */
  void LeaveOneInTurn();

  /*! @brief Begins the callers' load. */
  void BeginLoad();
  /*! @brief Sends more slow calls at once than the targets of a node's service
   * have slots, a third of them to the node itself. */
  void Burst(int node);
  void Run(pollenring::Duration length);

  /*! @brief Writes the next configuration, waits for it and asks all nodes. */
  void ChangeConfig();
  /*! @brief Withdraws a zone or gives it back. @param zone From 0. */
  void Withdraw(int zone, bool withdrawn);

  /*! @brief Checks that each node's callers reach each target in calm; landed
   * builds don't tell what members they see. @param from Since then. */
  void CheckReached(pollenring::Time from);

  [[nodiscard]] pollenring::Time Now() const { return this->clock.Now(); }
  [[nodiscard]] FleetJournal &Journal() { return this->journal; }
  [[nodiscard]] pollenring::Random &GetRandom() { return this->random; }
  /*! @brief Time since the fleet was made. @return It in milliseconds. */
  [[nodiscard]] std::int64_t SinceBegin(pollenring::Time at) const;
  [[nodiscard]] static const char *ServiceOf(int node);

 private:
  struct FleetNode {
    int number{};
    std::string zone;
    std::string build;
    pid_t pid{};     /*!< 0 while no process runs. */
    bool starting{}; /*!< Not ready for the first time. */
    bool stopping{};
    bool taken_in{}; /*!< Callers send to it. */
    int misses{};    /*!< Questions for readiness in a row without a 200. */
    std::unique_ptr<pollenring::HttpServer> target;
    int incarnation{1};
    bool draining{};                /*!< What its target says of itself. */
    pollenring::Time ready_since{}; /*!< Its target, if it isn't. */
    int sequence{};
  };

  /*! @brief A kind of request that callers send. */
  struct Load {
    std::string method;
    std::string path;
    std::string service;
    std::string workspace; /*!< Empty for a call without a key. */
    double per_s;          /*!< At each node. */
    Expected expected;
  };

  [[nodiscard]] FleetNode &At(int node) {
    return this->nodes.at(static_cast<std::size_t>(node - 1));
  }
  [[nodiscard]] pollenring::Address AddressOf(int node, int port) const;
  [[nodiscard]] static std::string InstanceOf(const FleetNode &node);
  /*! @brief Notes that a node's process has ended. */
  static void Forget(FleetNode &node);
  [[nodiscard]] std::string WriteSettings(const FleetNode &node, bool first);
  [[nodiscard]] std::string NextConfig();

  void Serve(FleetNode &node, const pollenring::HttpRequest &request,
             const std::shared_ptr<pollenring::Responder> &responder);
  void Beat(FleetNode &node);
  void AskReady(FleetNode &node);
  void AskStatus(FleetNode &node);
  void JudgeMembers(int node, const std::string &body, pollenring::Time asked);
  void WatchProcesses();
  void SendLoad();
  void Send(const Load &load, int node);
  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit);

  int net;
  std::string folder;
  int config_version{};
  bool loaded{};
  pollenring::SystemClock clock;
  pollenring::Time began{clock.Now()};
  pollenring::Loop loop{clock};
  pollenring::SeededRandom random;
  pollenring::HttpClient callers{loop, {std::size_t{1} << 20U}};
  pollenring::HttpClient platform{loop, {std::size_t{1} << 20U}};
  FleetJournal journal;
  StoreStandIn store;
  std::vector<FleetNode> nodes;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_MIXED_FLEET_H_
