#ifndef POLLENRING_ROUTING_ROUTER_H_
#define POLLENRING_ROUTING_ROUTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/member.h"
#include "pollenring/routing/kind_times.h"
#include "pollenring/routing/load_report.h"

namespace pollenring {

/*! @brief Outcome of a call to a target's node, as routing sees it. */
enum class CallVerdict {
  kAnswered,
  kShed,   /*!< Shed by its node; the target is full. */
  kFaulty, /*!< The target responds with an error or a rejection. */
  kFailed  /*!< No usable response. */
};

/*! @brief Which target is chosen while several have capacity. */
enum class LoadBalancingPolicy {
  kZoneAware,   /*!< In the nearest availability zone. */
  kLeastLatency /*!< With the lowest expected latency. */
};

/*! @brief A target that was ejected or restored. */
struct EjectionChange {
  std::string service;
  NodeId node{};
  bool ejected{};
  int failures{};      /*!< Consecutive failures. */
  Duration retry_in{}; /*!< Until the next trial; 0 if restored. */
};

/*! @brief Settings of routing. */
struct RouterOptions {
  Duration initial_ejection{std::chrono::milliseconds{500}};
  Duration max_ejection{std::chrono::seconds{8}};
  int failures_to_eject{3};
  Duration ramp{std::chrono::seconds{3}}; /*!< After a restore. */
  double ramp_floor{0.1};                 /*!< Its start; also if cold. */
  std::size_t choices{2};                 /*!< Random targets compared. */
  LoadBalancingPolicy order{LoadBalancingPolicy::kZoneAware};
  /*! @brief Latency advantage that justifies the traffic to another zone. */
  Duration zone_cost{std::chrono::milliseconds{3}};
};

/*! @brief What is known of a target that reports times of kinds. */
struct PlacementView {
  std::string service;
  NodeId node{};
  double relative_time{1}; /*!< Usual time of work, relative to others. */
  double slowness{1};      /*!< Time of work by its last report. */
  double utilization{};
  double limit{};
  Duration age{}; /*!< Of the last report. */
};

/*! @brief Properties of a call that its target depends on. */
struct CallTraits {
  std::string_view kind;    /*!< Its route; empty if unknown. */
  Duration objective{};     /*!< Time until its response is late. */
  std::size_t body_bytes{}; /*!< Sent with it. */
};

/**
 * @brief Chooses the target of a call.
 *
 * The nearest availability zone is preferred while a target there has capacity;
 * of a few random targets the least loaded is chosen. A failing target is
 * ejected, probed by one call at a time, and ramped up once it responds.
 *
 * Where targets report the times of kinds, `kLeastLatency` chooses the target
 * at which a call is expected to end soonest; see docs/design/placement.md.
 */
class Router {
 public:
  /**
   * @brief Creates a router without targets.
   * @param zone Own availability zone.
   * @param region Own region.
   * @param options Settings.
   * @param clock Clock.
   * @param random Source of randomness.
   */
  Router(std::string zone, std::string region, const RouterOptions &options,
         const Clock &clock, Random &random);

  /**
   * @brief Records a member's state and targets.
   * @param member The member.
   */
  void Update(const Member &member);

  /**
   * @brief Sets the withdrawn zones, whose targets get no calls; update all
   * members afterwards.
   * @param given The zones.
   * @return True if the zones changed.
   */
  bool SetWithdrawnZones(std::vector<std::string> given);

  /**
   * @brief Chooses a target; call `Started` when it is used.
   * @param service The service.
   * @param avoid Nodes that the request has already tried.
   * @param regions Regions where it may run; empty for any.
   * @param call Properties of the call.
   * @return The target's node, or nothing if none is left.
   */
  [[nodiscard]] std::optional<NodeId> Choose(
      const std::string &service, const std::vector<NodeId> &avoid,
      const std::vector<std::string> &regions = {},
      const CallTraits &call = {});

  /**
   * @brief Chooses the target that all nodes choose for a key, by rendezvous
   * hashing, as far as they know of the same targets.
   * @param service The service.
   * @param key The key.
   * @param avoid Nodes that the request has already tried.
   * @param regions Regions where it may run; empty for any.
   * @return The target's node, or nothing if none is left.
   */
  [[nodiscard]] std::optional<NodeId> ChooseByKey(
      const std::string &service, std::uint64_t key,
      const std::vector<NodeId> &avoid,
      const std::vector<std::string> &regions = {}) const;

  /**
   * @brief Checks if a service has a warm target.
   * @param service The service.
   * @return True if it has; ejected targets don't count.
   */
  [[nodiscard]] bool HasWarmTarget(const std::string &service) const;

  /**
   * @brief Counts a call as in progress.
   * @param service The service.
   * @param node The node.
   */
  void Started(const std::string &service, NodeId node);

  /**
   * @brief Records the end of a call.
   * @param service The service.
   * @param node The node.
   * @param verdict Its outcome.
   * @param report Load reported with the reply, if any.
   * @param response_time Response time of the target; 0 without a response.
   * @param kind Kind of the call; empty if unknown.
   */
  void Finished(const std::string &service, NodeId node, CallVerdict verdict,
                const std::optional<LoadReport> &report,
                Duration response_time = Duration{0},
                std::string_view kind = {});

  /*! @brief Takes the changes since the last call. @return The changes. */
  [[nodiscard]] std::vector<EjectionChange> TakeChanges() {
    return std::exchange(this->changes, {});
  }

  /*! @brief Describes the targets that report times of kinds.
   * @return One entry each. */
  [[nodiscard]] std::vector<PlacementView> Placements() const;

  /**
   * @brief Counts the targets of a service that accept new work.
   * @param service The service.
   * @return The count, including ejected targets.
   */
  [[nodiscard]] std::size_t TargetCount(const std::string &service) const;

 private:
  enum class Locality { kSameZone = 0, kSameRegion = 1, kOther = 2 };
  static constexpr std::size_t kLocalityLevels = 3;

  struct Endpoint {
    NodeId node{};
    Locality locality{Locality::kOther};
    double limit{1};
    double reported{}; /*!< In progress by its last report. */
    int in_progress{};
    int in_progress_at_report{};
    int failures{};
    Duration ejection{};
    Time ejected_until{};
    bool ejected{};
    Time cold_until{};
    std::string region;
    Time ramp_from{};
    double response_time_us{}; /*!< Smoothed response time; 0 while unknown. */
    double fault_rate{};       /*!< Smoothed fraction of its calls that fail. */
    Time fault_updated_at{};   /*!< When fault_rate last changed. */
    std::size_t index{};       /*!< In its list of `usable`. */
    TargetSpeed speed;         /*!< By its reports of kind times. */
    double slowness{1};        /*!< Time of work by its last report. */
    double others{};           /*!< Smoothed calls of others in progress. */
    Time reported_at{};        /*!< Of the last report of a kind time. */
  };

  /*! @brief Which targets a request may use. */
  struct Constraints {
    const std::vector<NodeId> &avoid;
    const std::vector<std::string> &regions;

    [[nodiscard]] bool Allows(const Endpoint &endpoint) const;
  };

  struct Service {
    std::unordered_map<NodeId, std::unique_ptr<Endpoint>> endpoints;
    std::array<std::vector<Endpoint *>, kLocalityLevels> usable;
    std::multimap<Time, NodeId> ejected; /*!< By time of the next trial. */
    KindTimes times;                     /*!< Empty if none are reported. */
  };

  /*! @brief A target that is compared for one call. */
  struct Candidate {
    const Endpoint *endpoint{};
    double fresh{};    /*!< Weight of its last report. */
    double recent{};   /*!< Weight of the load in it. */
    double load{};     /*!< Utilization by its last report. */
    double us{};       /*!< Expected time with a free slot. */
    double capacity{}; /*!< Calls that it serves per microsecond. */
    double zone_us{};  /*!< Cost of its zone. */
    double share{};    /*!< Of the calls, by capacity. */
  };

  [[nodiscard]] Locality LocalityOf(const Member &member) const noexcept;
  [[nodiscard]] double Utilization(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] double FaultRate(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] double Cost(const Endpoint &endpoint,
                            double unknown_us) const noexcept;
  [[nodiscard]] const Endpoint *LowestCost(const Service &service,
                                           const Constraints &constraints,
                                           const CallTraits &call);
  void RecordReport(Service &service, Endpoint &endpoint,
                    const LoadReport &report, std::string_view kind);
  /*! @brief Weight of a target's last report by its age. */
  [[nodiscard]] double ReportWeight(const Endpoint &endpoint) const noexcept;
  void AddCandidates(const std::vector<Endpoint *> &level,
                     const Constraints &constraints, std::size_t count,
                     std::vector<Candidate> &candidates);
  void CollectCandidates(const Service &service, const Constraints &constraints,
                         const CallTraits &call, double typical_us);
  /*! @brief The candidate of least cost by its present load. */
  [[nodiscard]] const Endpoint *LeastCost();
  /*! @brief Draws a candidate so that the nodes together load all as is best
   * for a mean utilization. */
  [[nodiscard]] const Endpoint *DrawByCapacity(double load);
  [[nodiscard]] double ZoneCost(const Candidate &candidate, double load) const;
  /*! @brief The target at which the call is expected to end soonest. */
  [[nodiscard]] const Endpoint *SoonestEnd(const Service &service,
                                           const Constraints &constraints,
                                           const CallTraits &call,
                                           double typical_us);
  [[nodiscard]] double RampFraction(const Endpoint &endpoint) const noexcept;
  [[nodiscard]] Endpoint *Sample(const std::vector<Endpoint *> &from,
                                 const Constraints &constraints);
  /*! @brief If all targets are ejected, the one due for a trial next. */
  [[nodiscard]] static std::optional<NodeId> NextDueEjected(
      const Service &service, const Constraints &constraints);
  [[nodiscard]] Endpoint *DueTrial(Service &service,
                                   const Constraints &constraints);
  [[nodiscard]] bool IsCold(const Endpoint &endpoint) const noexcept;
  void Add(Service &service, const Member &member, const Target &target);
  void Remove(const std::string &name, NodeId node);
  void Eject(const std::string &name, Service &service, Endpoint &endpoint);
  void Restore(const std::string &name, Service &service, Endpoint &endpoint);
  static void Link(Service &service, Endpoint &endpoint);
  static void Unlink(Service &service, Endpoint &endpoint);
  static void RemoveEjection(Service &service, NodeId node);

  std::string zone;
  std::string region;
  RouterOptions options;
  const Clock &clock;
  Random &random;
  std::vector<std::string> withdrawn;
  std::unordered_map<std::string, Service> services;
  std::unordered_map<NodeId, std::vector<std::string>> services_by_node;
  std::vector<EjectionChange> changes;
  std::vector<Candidate> candidates; /*!< Kept for its memory. */
};

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_ROUTER_H_
