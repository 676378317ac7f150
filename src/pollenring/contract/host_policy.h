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

/*! @brief A service that receives a part of a route's requests. */
struct RoutePart {
  std::string service;
  double weight{1};
};

/*! @brief A kind of request, identified by host and path prefix. */
struct HostRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<RoutePart> parts;
  int rank{};                       /*!< 0 is the highest. */
  int attempts{1};                  /*!< Maximum targets per request. */
  Duration timeout{};               /*!< Maximum wait of the caller. */
  Duration target_latency{};        /*!< Soft deadline of the response. */
  std::vector<std::string> regions; /*!< Where it may run; empty: anywhere. */
  bool idempotent{};                /*!< Whether it may run more than once. */
  bool keyless{};                   /*!< Whether it needs no key. */
};

/*! @brief A workspace with its keys. */
struct KeyedWorkspace {
  WorkspaceRateLimit rate_limit;
  std::optional<int> rank; /*!< Precedes the route's; 0 is the highest. */
  std::vector<std::string> keys;
  std::vector<std::string> regions; /*!< Where its requests may run; empty:
                                       anywhere. */
};

/*! @brief Priority of a request, see `PriorityOf`. */
struct RequestPriority {
  Importance importance{Importance::kNormal};
  double sub_priority{}; /*!< In [0, 1). */
};

/*! @brief Cold-start period and limit of a service's targets. */
struct ColdStart {
  std::string service;
  Duration cold_period{};
  double per_second{}; /*!< 0: a cold target has no limit of its own. */
};

/*! @brief All declarations of one version of an operator's document. */
struct HostPolicy {
  std::uint64_t version{};
  std::vector<HostRoute> routes;
  std::vector<KeyedWorkspace> workspaces;
  std::vector<ColdStart> cold_starts;
};

/*! @brief A host policy indexed for look-ups by request. */
class HostTable {
 public:
  /*! @brief Creates an empty table without routes or workspaces. */
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
   * @brief Finds the route with the longest matching prefix.
   * @param host The request's host.
   * @param path The request's path.
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
   * @return The rate limit, or null if there is none or its rate is 0.
   */
  [[nodiscard]] const WorkspaceRateLimit *RateLimitOf(
      const std::string &workspace) const;

  /**
   * @brief Computes a request's priority from ranks.
   *
   * The workspace's rank takes precedence. Ranks above the lowest one are
   * critical, ordered by workspace rank, then route rank, then sub-priority.
   * All other requests, usually nearly all, have their route's priority.
   * @param route The request's route.
   * @param workspace Its workspace, or null.
   * @param sub_priority The request's sub-priority, in [0, 1).
   * @return The priority.
   */
  [[nodiscard]] RequestPriority RequestPriorityOf(
      const HostRoute &route, const KeyedWorkspace *workspace,
      double sub_priority) const noexcept;

  /**
   * @brief Finds the cold-start limit of a service's targets.
   * @param service Its name.
   * @return The limit, or null if none is declared.
   */
  [[nodiscard]] const ColdStart *ColdStartOf(const std::string &service) const;

  /*! @brief Compares ranks of workspaces. @return True if they differ. */
  [[nodiscard]] bool WorkspacesRanked() const noexcept {
    return !this->upper_ranks.empty();
  }

  /*! @brief Checks whether requests need keys. @return True if they do. */
  [[nodiscard]] bool NeedsKeys() const noexcept {
    return !this->policy.workspaces.empty();
  }

 private:
  void RankWorkspaces();

  HostPolicy policy;
  /*! @brief Workspace ranks above the lowest, in ascending priority. */
  std::vector<int> upper_ranks;
  /*! @brief Indices of a host's routes, longest prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_key;
  std::unordered_map<std::string, std::size_t> by_name;
};

}  // namespace pollenring

#endif  // POLLENRING_CONTRACT_HOST_POLICY_H_
