#ifndef POLLENRING_NODE_DOWNSTREAM_LEVELS_H_
#define POLLENRING_NODE_DOWNSTREAM_LEVELS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/admission/completion_chance.h"
#include "pollenring/core/clock.h"
#include "pollenring/membership/member.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/*! @brief How long and at which granularity levels are kept. */
struct DownstreamLevelOptions {
  /*! @brief Time after which a level that is not confirmed expires. */
  Duration lifetime{std::chrono::milliseconds{1500}};
  /*! @brief Whether each workspace has its own levels. */
  bool per_workspace{};
  /*! @brief Whether replies report services that fail. */
  bool reports_failures{true};
};

/*! @brief The service with the highest admission level on a call path. */
struct CallPathLevel {
  double level{};      /*!< 0 if none sheds. */
  std::string service; /*!< Empty if none sheds. */
  Duration age{};      /*!< Age of its newest level. */
};

/**
 * @brief Tracks the admission levels of services, and which services lie on the
 * call path of which route.
 *
 * Levels arrive with replies and are forwarded, with their age, in other
 * replies: any reply that reaches a node reports all services that shed. A root
 * request below the admission level of a service on its call path would be shed
 * there, after other services have spent work on it.
 */
class DownstreamLevels {
 public:
  /**
   * @brief Creates a tracker without levels.
   * @param options Lifetime and granularity of levels.
   * @param clock Clock.
   */
  DownstreamLevels(const DownstreamLevelOptions &options, const Clock &clock)
      : options{options},
        clock{clock},
        completion{clock, options.reports_failures},
        last_sweep{clock.Now()} {}

  /*! @brief What is known of services that fail. @return It. */
  [[nodiscard]] CompletionChance &Completion() noexcept {
    return this->completion;
  }

  /*! @brief Number of tracked routes. @return The count. */
  [[nodiscard]] std::size_t Count() const noexcept {
    return this->call_paths.size();
  }

  /**
   * @brief Records the reply to a request.
   * @param workspace Its workspace.
   * @param route Its route.
   * @param levels Admission levels in the reply.
   */
  void Learn(const std::string &workspace, const std::string &route,
             const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Records the reply to a call made on behalf of a request.
   * @param workspace The request's workspace.
   * @param route The request's route.
   * @param levels Admission levels in the reply.
   */
  void LearnFromSubCall(const std::string &workspace, const std::string &route,
                        const std::vector<AdmissionLevel> &levels);

  /**
   * @brief Counts a request that the local target has completed.
   * @param route Its route.
   */
  void RecordCompleted(const std::string &route);

  /**
   * @brief Lists the services that shed, for the reply to a request.
   * @param workspace Its workspace.
   * @param route Its route.
   * @param max_count Maximum number of levels; those on the call path come
   * first.
   * @return Levels with their age.
   */
  [[nodiscard]] std::vector<AdmissionLevel> Shedding(
      const std::string &workspace, const std::string &route,
      std::size_t max_count) const;

  /**
   * @brief Lists what this node has observed of call paths.
   * @param max_count Maximum number of reports.
   * @return For each route and shedding service, whether it is on the call
   * path.
   */
  [[nodiscard]] std::vector<CallPathReport> CallPathReports(
      std::size_t max_count) const;

  /**
   * @brief Records what another node has observed.
   *
   * Used for routes of which this node has seen few requests.
   * @param call_path_reports Reports of the other node.
   */
  void LearnCallPathReports(
      const std::vector<CallPathReport> &call_path_reports);

  /**
   * @brief Finds the highest admission level on a route's call path.
   * @param workspace Workspace of the root requests.
   * @param route Their route.
   * @return The level below which root requests would be shed.
   */
  [[nodiscard]] CallPathLevel HighestOnCallPath(const std::string &workspace,
                                                const std::string &route) const;

 private:
  struct NodeLevel {
    double level{};
    int per_second{};
    Time measured{};
  };
  /*! @brief Levels of one service, by the node local to each target. */
  using Service = std::unordered_map<NodeId, NodeLevel>;
  using Services = std::unordered_map<std::string, Service>;

  /*! @brief Reports of other nodes on one route and service. */
  struct PeerReports {
    double fraction{}; /*!< Weighted fraction that report a hit. */
    Time last_report{};
  };

  /*! @brief How many requests of a route reached each shedding service. */
  struct CallPath {
    double requests{};
    Time last_used{};
    std::unordered_map<std::string, double> hits;
    std::unordered_map<std::string, PeerReports> peer_reports;
  };

  [[nodiscard]] const std::string &ScopeOf(
      const std::string &workspace) const noexcept;
  [[nodiscard]] bool Stale(const NodeLevel &known) const noexcept;
  [[nodiscard]] bool Sheds(const Service &service) const noexcept;
  [[nodiscard]] CallPathLevel MeanOf(const Service &service) const noexcept;
  [[nodiscard]] static bool Observed(const CallPath &call_path,
                                     const std::string &service);
  [[nodiscard]] bool IsOnCallPath(const CallPath &call_path,
                                  const std::string &service) const;
  void RecordCallPath(const std::string &route,
                      const std::vector<AdmissionLevel> &levels);
  void RecordLevels(const std::string &workspace,
                    const std::vector<AdmissionLevel> &levels);
  void RemoveUnused();

  DownstreamLevelOptions options;
  const Clock &clock;
  CompletionChance completion;
  Time last_sweep{};
  std::unordered_map<std::string, Services> scopes;
  std::unordered_map<std::string, CallPath> call_paths;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_DOWNSTREAM_LEVELS_H_
