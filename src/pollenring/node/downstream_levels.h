#ifndef POLLENRING_NODE_DOWNSTREAM_LEVELS_H_
#define POLLENRING_NODE_DOWNSTREAM_LEVELS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/membership/member.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/*! @brief How levels are kept. */
struct DownstreamLevelOptions {
  /*! @brief Time for which a level holds that nothing confirms. */
  Duration lifetime{std::chrono::milliseconds{1500}};
  /*! @brief Whether a service has a level for each workspace. */
  bool per_workspace{};
};

/*! @brief The service on a route's way that sheds most. */
struct CallPathLevel {
  double level{};      /*!< 0 when none sheds. */
  std::string service; /*!< Empty when none sheds. */
  Duration age{};      /*!< Of its newest level. */
};

/**
 * @brief Remembers the levels of services, and which services lie on the way of
 * which route.
 *
 * Levels come back with answers and are passed on with others, with their age:
 * whatever answer reaches a node tells it of all services that shed. A root
 * below the level of any service on its way would be shed there, after work
 * was done for it elsewhere.
 */
class DownstreamLevels {
 public:
  /**
   * @brief Starts without levels.
   * @param options How levels are kept.
   * @param clock Clock.
   */
  DownstreamLevels(const DownstreamLevelOptions &options, const Clock &clock)
      : options{options}, clock{clock}, swept{clock.Now()} {}

  /*! @brief Routes that are remembered. @return The count. */
  [[nodiscard]] std::size_t Count() const noexcept { return this->ways.size(); }

  /**
   * @brief Takes in an answer to a request.
   * @param workspace Its workspace.
   * @param route Its route.
   * @param levels Levels that came with the answer.
   */
  void Learn(const std::string &workspace, const std::string &route,
             const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Takes in an answer to a call made on behalf of a request.
   * @param workspace The request's workspace.
   * @param route The request's route.
   * @param levels Levels that came with the answer.
   */
  void LearnBelow(const std::string &workspace, const std::string &route,
                  const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Counts a request that the local target has answered.
   * @param route Its route.
   */
  void Served(const std::string &route);

  /**
   * @brief Lists the services that shed, for an answer to a request.
   * @param workspace Its workspace.
   * @param route Its route.
   * @param most Most levels to list; those on the route's way come first.
   * @return Levels with their age.
   */
  [[nodiscard]] std::vector<AdmissionLevel> Shedding(
      const std::string &workspace, const std::string &route,
      std::size_t most) const;

  /**
   * @brief Lists what this node has seen of the ways of routes.
   * @param most Most marks to list.
   * @return Which routes meet a service that sheds, and which do not.
   */
  [[nodiscard]] std::vector<CallPathReport> CallPathReports(
      std::size_t most) const;

  /**
   * @brief Takes in what another node has seen.
   *
   * Its word counts for routes of which this node has seen few requests.
   * @param call_path_reports What it has seen.
   */
  void LearnCallPathReports(
      const std::vector<CallPathReport> &call_path_reports);

  /**
   * @brief Finds what sheds most on a route's way.
   * @param workspace Workspace of the roots.
   * @param route Their route.
   * @return Its level, below which roots would be shed.
   */
  [[nodiscard]] CallPathLevel HighestOnCallPath(const std::string &workspace,
                                                const std::string &route) const;

 private:
  struct Known {
    double level{};
    int per_second{};
    Time measured{};
  };
  /*! @brief Levels of one service, by the node beside each target. */
  using Service = std::unordered_map<NodeId, Known>;
  using Services = std::unordered_map<std::string, Service>;

  /*! @brief What other nodes say of a route and a service. */
  struct Told {
    double meets{}; /*!< Part of them that say so. */
    Time at{};
  };

  /*! @brief How many of a route's requests met each service that shed. */
  struct CallPath {
    double requests{};
    Time used{};
    std::unordered_map<std::string, double> met;
    std::unordered_map<std::string, Told> told;
  };

  [[nodiscard]] const std::string &ScopeOf(
      const std::string &workspace) const noexcept;
  [[nodiscard]] bool Stale(const Known &known) const noexcept;
  [[nodiscard]] bool Sheds(const Service &service) const noexcept;
  [[nodiscard]] CallPathLevel MeanOf(const Service &service) const noexcept;
  [[nodiscard]] static bool Met(const CallPath &way,
                                const std::string &service);
  [[nodiscard]] bool Meets(const CallPath &way,
                           const std::string &service) const;
  void Meet(const std::string &route,
            const std::vector<AdmissionLevel> &levels);
  void Take(const std::string &workspace,
            const std::vector<AdmissionLevel> &levels);
  void Forget();

  DownstreamLevelOptions options;
  const Clock &clock;
  Time swept{};
  std::unordered_map<std::string, Services> scopes;
  std::unordered_map<std::string, CallPath> ways;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_DOWNSTREAM_LEVELS_H_
