#ifndef POLLENRING_TEST_SUPPORT_FLEET_JOURNAL_H_
#define POLLENRING_TEST_SUPPORT_FLEET_JOURNAL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_client.h"

namespace support {

/*! @brief Rules that a fleet must not violate. */
enum class FleetRule {
  kLost,    /*!< A request was read but got no response. */
  kTwice,   /*!< A non-idempotent request ran more than once. */
  kRefused, /*!< A non-idempotent request ran though it was rejected. */
  kQuota,   /*!< A workspace exceeded its rate limit. */
  kEvac,    /*!< A request reached a target in a withdrawn zone. */
  kConfig,  /*!< An outdated configuration is active. */
  kMixed,   /*!< A response belongs to another request. */
  kUnasked, /*!< A target got a wrong caller, workspace or deadline. */
  kMember,  /*!< A live member is missing from a member list. */
  kCall,    /*!< A call was not served while nothing was disturbed. */
  kEnd /*!< A process ended unexpectedly, or didn't start or stop in time. */
};

inline constexpr pollenring::EnumTable<FleetRule, 11> kFleetRuleNames{{{
    {FleetRule::kLost, "LOST"},
    {FleetRule::kTwice, "TWICE"},
    {FleetRule::kRefused, "REFUSED"},
    {FleetRule::kQuota, "QUOTA"},
    {FleetRule::kEvac, "EVAC"},
    {FleetRule::kConfig, "CONFIG"},
    {FleetRule::kMixed, "MIXED"},
    {FleetRule::kUnasked, "UNASKED"},
    {FleetRule::kMember, "MEMBER"},
    {FleetRule::kCall, "CALL"},
    {FleetRule::kEnd, "END"},
}}};

/*! @brief One violation of a rule. */
struct Violation {
  FleetRule rule{};
  pollenring::Time at{};
  std::string what;
};

/*! @brief Why a node is disturbed. */
enum class DisturbanceCause { kStart, kStop, kKill, kPause };

/*! @brief Expected outcome of a request. */
enum class Expected { kServed, kMayBeRefused, kRoutePresent, kRouteAbsent };

/*! @brief One request of a caller and its outcome. */
struct FleetCall {
  int entry{};                /*!< Node that it was sent to, from 1. */
  std::string build;          /*!< Build of that node. */
  std::string caller_service; /*!< Service local to that node. */
  std::string service;
  std::string workspace;
  bool unsafe{};
  Expected expected{Expected::kServed};
  pollenring::Time sent{};
  pollenring::Time ended{}; /*!< 0 while pending. */
  int status{};             /*!< 0 without a response. */
  std::optional<pollenring::CallError> error;
  std::string body;
};

/*! @brief One request that a target started to execute. */
struct FleetRun {
  std::string id;
  int node{};        /*!< Node local to the target, from 1. */
  std::string build; /*!< Build of that node. */
  pollenring::Time at{};
  std::string workspace;
  std::string caller_service;
  std::int64_t deadline_ms{};
};

/*! @brief Rate limit of a workspace. */
struct FleetQuota {
  std::string workspace;
  double rate_per_s{};
  double burst{};
};

/*! @brief Records calls, executions, disturbances and operator changes, and
 * checks them against the rules. */
class FleetJournal {
 public:
  static constexpr pollenring::Duration kContact = std::chrono::seconds{3};
  static constexpr pollenring::Duration kConfigApply = std::chrono::seconds{2};
  static constexpr pollenring::Duration kEvacuation = std::chrono::seconds{5};
  /*! @brief Deadline that each caller sends. */
  static constexpr pollenring::Duration kDeadline =
      std::chrono::milliseconds{1400};

  /*! @param quota Rate limit to check.
   * @param builds_without_withdrawal Builds without support for withdrawn
   * zones. */
  FleetJournal(FleetQuota quota,
               std::set<std::string> builds_without_withdrawal);

  /*! @brief Records that a node is disturbed until `EndDisturbances`. */
  void BeginDisturbance(int node, DisturbanceCause cause, pollenring::Time at);
  /*! @brief Records that a node's disturbances have ended. */
  void EndDisturbances(int node, pollenring::Time at);
  /*! @brief Records a change by the operator. */
  void RecordChange(pollenring::Time at) { this->changes.push_back(at); }
  /*! @brief Records that a zone's nodes are withdrawn or restored. */
  void RecordWithdrawal(const std::set<int> &nodes, bool withdrawn,
                        pollenring::Time at);

  void RecordCall(const std::string &id, FleetCall call);
  /*! @brief Finds a call. @return The call of an id; it must have begun. */
  [[nodiscard]] FleetCall &CallOf(const std::string &id) {
    return this->calls.at(id);
  }
  void RecordRun(FleetRun run) { this->runs.push_back(std::move(run)); }
  void RecordViolation(FleetRule rule, pollenring::Time at, std::string what);

  /*! @return True if a node was undisturbed for the complete interval. */
  [[nodiscard]] bool Undisturbed(int node, pollenring::Time from,
                                 pollenring::Time to) const;
  /*! @return True if no node was disturbed, no zone withdrawn and nothing
   * changed in the interval. */
  [[nodiscard]] bool AllUndisturbed(pollenring::Time from,
                                    pollenring::Time to) const;

  /*! @brief Checks all records against the rules. @return Violations by time.
   */
  [[nodiscard]] std::vector<Violation> FindViolations() const;

  /*! @brief Counts undisturbed served calls by build of the entry node and
   * build of the node local to the target. @return Count for each pair of
   * builds. */
  [[nodiscard]] std::map<std::pair<std::string, std::string>, int> Crossings()
      const;

  /*! @brief Finds which nodes' callers reached which nodes' targets
   * undisturbed.
   * @param from Executions before it are ignored. @return Pairs of node
   * numbers.
   */
  [[nodiscard]] std::set<std::pair<int, int>> Reached(
      pollenring::Time from) const;

  [[nodiscard]] std::size_t Calls() const { return this->calls.size(); }

 private:
  struct Disturbance {
    int node{};
    DisturbanceCause cause{};
    pollenring::Time from{};
    pollenring::Time to{};
  };
  struct Withdrawal {
    std::set<int> nodes;
    pollenring::Time from{};
    pollenring::Time to{};
  };
  using RunsById = std::map<std::string, std::vector<const FleetRun *>>;

  void CheckResponse(const std::string &id, const FleetCall &call,
                     const RunsById &by_id,
                     std::vector<Violation> &found) const;
  void CheckRoute(const std::string &id, const FleetCall &call,
                  std::vector<Violation> &found) const;
  void CheckRun(const FleetRun &run, std::vector<Violation> &found) const;
  void CheckQuota(std::vector<Violation> &found) const;
  /*! @return The call of a run if served undisturbed, otherwise null. */
  [[nodiscard]] const FleetCall *ServedUndisturbed(const FleetRun &run) const;
  [[nodiscard]] bool Excused(const FleetCall &call) const;
  [[nodiscard]] bool SupportsWithdrawal(const std::string &build) const {
    return this->builds_without_withdrawal.count(build) == 0;
  }

  FleetQuota quota;
  std::set<std::string> builds_without_withdrawal;
  std::vector<Disturbance> disturbances;
  std::vector<Withdrawal> withdrawals;
  std::vector<pollenring::Time> changes;
  std::map<std::string, FleetCall> calls;
  std::vector<FleetRun> runs;
  std::vector<Violation> violations;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_FLEET_JOURNAL_H_
