#ifndef POLLENRING_CONTRACT_HOST_POLICY_H_
#define POLLENRING_CONTRACT_HOST_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenring/contract/contract.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief A service that takes part of a route's requests. */
struct RoutePart {
  std::string service;
  double weight{1};
};

/*! @brief A kind of request that is found by host and path prefix. */
struct HostRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<RoutePart> parts;
  int rank{};                /*!< 0 is served first. */
  int attempts{1};           /*!< Most targets that one request is sent to. */
  Duration timeout{};        /*!< Longest wait of its caller. */
  Duration target_latency{}; /*!< Time within which an answer is worth most. */
  std::vector<std::string> regions; /*!< Where it may run; empty: anywhere. */
  bool idempotent{};                /*!< Whether it may run more than once. */
  bool open{};                      /*!< Whether it needs no key. */
};

/*! @brief A workspace with its keys. */
struct KeyedWorkspace {
  WorkspaceRateLimit share;
  std::optional<int> rank; /*!< Goes before the route's; 0 is served first. */
  std::vector<std::string> keys;
  std::vector<std::string> regions; /*!< Where its requests may run; empty:
                                       anywhere. */
};

/*! @brief A request's place among all others, see `PriorityOf`. */
struct RequestPriority {
  Importance importance{Importance::kNormal};
  double sub_priority{}; /*!< In [0, 1). */
};

/*! @brief How long targets are cold after a start, and what they bear then. */
struct ColdStart {
  std::string service;
  Duration cold_for{};
  double
      per_second{}; /*!< 0 where a cold target bears as much as a warm one. */
};

/*! @brief All that one version of an operator's document declares. */
struct HostPolicy {
  std::uint64_t version{};
  std::vector<HostRoute> routes;
  std::vector<KeyedWorkspace> workspaces;
  std::vector<ColdStart> cold_starts;
};

/*! @brief A host policy made ready for look-ups on the path of a call. */
class HostTable {
 public:
  /*! @brief An empty table: no route, no workspace. */
  HostTable() = default;

  /**
   * @brief Indexes a policy.
   * @param policy The policy.
   */
  explicit HostTable(HostPolicy policy);

  [[nodiscard]] std::uint64_t Version() const noexcept {
    return this->policy.version;
  }

  /**
   * @brief Finds the route of a request, the longest prefix first.
   * @param host Its host.
   * @param path Its path.
   * @return The route, or null.
   */
  [[nodiscard]] const HostRoute *Find(const std::string &host,
                                      std::string_view path) const;

  /**
   * @brief Finds the workspace that holds a key.
   * @param key The key.
   * @return The workspace, or null.
   */
  [[nodiscard]] const KeyedWorkspace *WorkspaceOf(const std::string &key) const;

  /**
   * @brief Finds a workspace's rate and burst.
   * @param workspace Its name.
   * @return The share, or null when there is none or it has no limit.
   */
  [[nodiscard]] const WorkspaceRateLimit *ShareOf(
      const std::string &workspace) const;

  /**
   * @brief Places a request by ranks.
   *
   * A workspace's rank goes first: those above the lowest are critical, by
   * their order, and routes' ranks order what is alike. The others, mostly
   * nearly all of them, have their routes' ranks alone.
   * @param route The request's route.
   * @param workspace Its workspace, or null.
   * @param sub_priority The request's lot.
   * @return The place.
   */
  [[nodiscard]] RequestPriority RequestPriorityOf(
      const HostRoute &route, const KeyedWorkspace *workspace,
      double sub_priority) const noexcept;

  /**
   * @brief Finds how a service's targets start.
   * @param service Its name.
   * @return What is declared, or null.
   */
  [[nodiscard]] const ColdStart *ColdStartOf(const std::string &service) const;

  /*! @brief Whether workspaces differ in rank. @return So. */
  [[nodiscard]] bool WorkspacesRanked() const noexcept {
    return !this->upper_ranks.empty();
  }

  /*! @brief Whether requests need keys at all. @return So. */
  [[nodiscard]] bool NeedsKeys() const noexcept {
    return !this->policy.workspaces.empty();
  }

 private:
  void RankWorkspaces();

  HostPolicy policy;
  /*! @brief Ranks of workspaces but the lowest, the lower ones first. */
  std::vector<int> upper_ranks;
  /*! @brief Indices of a host's routes, the longest prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_key;
  std::unordered_map<std::string, std::size_t> by_name;
};

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_HOST_POLICY_H_
