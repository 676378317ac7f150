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

/*! @brief The rules that a fleet is judged by. */
enum class FleetRule {
  kLost,    /*!< A request was read, and its connection brought no answer. */
  kTwice,   /*!< An unsafe request ran more than once. */
  kRefused, /*!< An unsafe request was refused and runs. */
  kQuota,   /*!< A workspace got more than its rate. */
  kEvac,    /*!< A request reached a withdrawn zone's target. */
  kConfig,  /*!< An older configuration is in force. */
  kMixed,   /*!< An answer belongs to another request. */
  kUnasked, /*!< A target was told of another caller, workspace or deadline. */
  kMember,  /*!< A living member is missing. */
  kCall,    /*!< In a calm fleet a call was not served. */
  kEnd      /*!< A process ended by itself, or didn't start or end in time. */
};

/*! @brief Names of the rules. */
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

/*! @brief One broken rule. */
struct Breach {
  FleetRule rule{};
  pollenring::Time at{};
  std::string what;
};

/*! @brief Why a node is not in touch. */
enum class Trouble { kStart, kStop, kKill, kPause };

/*! @brief What a request of the load expects. */
enum class Expected { kServed, kMayBeRefused, kRouteThere, kRouteGone };

/*! @brief One request of a caller and what became of it. */
struct FleetCall {
  int entry{};                /*!< Number of the node that it was sent to. */
  std::string build;          /*!< Of that node. */
  std::string caller_service; /*!< Beside that node. */
  std::string service;
  std::string workspace;
  bool unsafe{};
  Expected expected{Expected::kServed};
  pollenring::Time sent{};
  pollenring::Time ended{}; /*!< 0 while it waits. */
  int status{};             /*!< 0 without an answer. */
  std::optional<pollenring::CallError> error;
  std::string body;
};

/*! @brief One request that a target began to work on. */
struct FleetRun {
  std::string id;
  int node{};        /*!< Number of the node beside the target. */
  std::string build; /*!< Of that node. */
  pollenring::Time at{};
  std::string workspace;
  std::string caller_service;
  std::int64_t deadline_ms{};
};

/*! @brief A workspace's limit. */
struct FleetQuota {
  std::string workspace;
  double rate_per_s{};
  double burst{};
};

/*! @brief What callers, targets and the operator saw, and who was disturbed. */
class FleetJournal {
 public:
  static constexpr pollenring::Duration kContact = std::chrono::seconds{3};
  static constexpr pollenring::Duration kConfigApply = std::chrono::seconds{2};
  static constexpr pollenring::Duration kEvacuation = std::chrono::seconds{5};
  /*! @brief What each caller states as its time. */
  static constexpr pollenring::Duration kDeadline =
      std::chrono::milliseconds{1400};

  /*! @brief Begins with nothing seen. @param quota The limit that is watched.
   * @param blind_builds Builds that know nothing of withdrawn zones. */
  FleetJournal(FleetQuota quota, std::set<std::string> blind_builds);

  /*! @brief Tells that a node is disturbed from now until `Settled`. */
  void Disturbed(int node, Trouble why, pollenring::Time at);
  /*! @brief Tells that what disturbed a node is over. */
  void Settled(int node, pollenring::Time at);
  /*! @brief Tells that the operator changed something. */
  void Changed(pollenring::Time at) { this->changes.push_back(at); }
  /*! @brief Tells that a zone's nodes are withdrawn, or given back. */
  void Withdrawn(const std::set<int> &nodes, bool withdrawn,
                 pollenring::Time at);

  void Begin(const std::string &id, FleetCall call);
  /*! @brief The call of an id. @return It; it must have begun. */
  [[nodiscard]] FleetCall &CallOf(const std::string &id) {
    return this->calls.at(id);
  }
  void Ran(FleetRun run) { this->runs.push_back(std::move(run)); }
  void Broke(FleetRule rule, pollenring::Time at, std::string what);

  /*! @brief Whether a node was undisturbed all the while. @return So. */
  [[nodiscard]] bool Calm(int node, pollenring::Time from,
                          pollenring::Time to) const;
  /*! @brief Whether all nodes were, with no zone withdrawn. @return So. */
  [[nodiscard]] bool AllCalm(pollenring::Time from, pollenring::Time to) const;

  /*! @brief Applies the rules to all that was seen. @return What broke them. */
  [[nodiscard]] std::vector<Breach> Judge() const;

  /*! @brief Calls served in calm, from nodes of one build by targets beside
   * nodes of another. @return Their count for each pair. */
  [[nodiscard]] std::map<std::pair<std::string, std::string>, int> Crossings()
      const;

  /*! @brief Nodes whose callers were served in calm, and the nodes beside
   * whose targets they were. @param from Calls sent since then count. @return
   * Pairs of numbers. */
  [[nodiscard]] std::set<std::pair<int, int>> Reached(
      pollenring::Time from) const;

  [[nodiscard]] std::size_t Calls() const { return this->calls.size(); }

 private:
  struct Disturbance {
    int node{};
    Trouble why{};
    pollenring::Time from{};
    pollenring::Time to{};
  };
  struct Withdrawal {
    std::set<int> nodes;
    pollenring::Time from{};
    pollenring::Time to{};
  };
  using RunsById = std::map<std::string, std::vector<const FleetRun *>>;

  void JudgeAnswer(const std::string &id, const FleetCall &call,
                   const RunsById &by_id, std::vector<Breach> &found) const;
  void JudgeRoute(const std::string &id, const FleetCall &call,
                  std::vector<Breach> &found) const;
  void JudgeRun(const FleetRun &run, std::vector<Breach> &found) const;
  void JudgeQuota(std::vector<Breach> &found) const;
  /*! @brief The call of a run that was served in calm. @return It, or null. */
  [[nodiscard]] const FleetCall *ServedInCalm(const FleetRun &run) const;
  [[nodiscard]] bool Excused(const FleetCall &call) const;
  [[nodiscard]] bool KnowsZones(const std::string &build) const {
    return this->blind_builds.count(build) == 0;
  }

  FleetQuota quota;
  std::set<std::string> blind_builds;
  std::vector<Disturbance> disturbances;
  std::vector<Withdrawal> withdrawals;
  std::vector<pollenring::Time> changes;
  std::map<std::string, FleetCall> calls;
  std::vector<FleetRun> runs;
  std::vector<Breach> breaches;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_FLEET_JOURNAL_H_
