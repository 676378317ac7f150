#ifndef POLLENRING_MESH_TARGET_DEPARTURES_H_
#define POLLENRING_MESH_TARGET_DEPARTURES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/departures.h"
#include "pollenring/membership/member.h"
#include "pollenring/mesh/codecs.h"
#include "pollenring/mesh/departure_store.h"
#include "pollenring/mesh/heartbeat_filter.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/**
 * @brief Keeps an instance of the local target that has left out of use,
 * whatever heartbeats arrive late, also after a restart of the node.
 *
 * Owns all that is known of departures, which the platform's table and the
 * node's peers keep over a restart. Until either has told which departures an
 * earlier process acknowledged, a heartbeat may be from before one of them, and
 * the target must not be used. If neither can, a target that continues to send
 * heartbeats is used all the same.
 */
class TargetDepartures {
 public:
  using Event = std::function<void()>;
  using Departed = std::function<void(const std::string &instance)>;
  using Acknowledged = std::function<void(bool durable)>;

  /**
   * @brief Creates the owner.
   * @param self This node.
   * @param table Table that holds the departures.
   * @param replicas Copies at peers.
   * @param clock Clock.
   * @param random Source of jitter.
   */
  TargetDepartures(NodeId self, Table &table, DepartureReplicas &replicas,
                   const Clock &clock, Random &random);

  /**
   * @brief Starts to load what earlier processes acknowledged.
   * @param usable Called once, when the target may be used.
   * @param departed Called when an instance that was accepted turns out to have
   * left before.
   */
  void Start(Event usable, Departed departed);

  /*! @brief Advances retries and time limits; to be called frequently. */
  void Tick();

  /**
   * @brief Handles a heartbeat of the local target.
   * @param heartbeat The heartbeat.
   * @return Whether it is accepted.
   */
  [[nodiscard]] HeartbeatVerdict Receive(const Heartbeat &heartbeat);

  /**
   * @brief Waits until a departure outlives this process.
   *
   * It does once the table and a peer hold it. After a while one of them is
   * enough, as an outage of the store must not keep targets from leaving.
   * @param instance The instance; its heartbeat was received before.
   * @param done Called once: whether the departure may be acknowledged. False
   * if neither holds it within the time that targets wait.
   */
  void Acknowledge(const std::string &instance, Acknowledged done);

  /*! @brief Records that an instance leaves, as its response states. @param
   * instance The instance. */
  void RecordLeaving(const std::string &instance);

  /*! @brief Adds what peers know of this node's departures. @param record
   * Their record. */
  void Learn(DepartureRecord record);

  /*! @brief Stores the departures again after the table may have lost them. */
  void StoreAgain() { this->store.Refresh(); }

  /*! @brief Whether the target may be used. @return True once the departures
   * are known, or the target has continued to send heartbeats. */
  [[nodiscard]] bool Usable() const noexcept { return this->usable; }

 private:
  /*! @brief The first accepted heartbeat of an instance while the departures
   * are unknown. */
  struct FirstHeartbeat {
    std::string instance;
    Time at{};
  };

  /*! @brief Whether peers hold a copy. */
  enum class Replica { kPending, kHeld, kFailed };
  /*! @brief A departure whose acknowledgement waits. */
  struct Pending {
    Departure departure;
    Time since{};
    Replica replica{Replica::kPending};
    Acknowledged done;
  };

  /*! @brief Whether to acknowledge. @return Empty while it is open. */
  [[nodiscard]] std::optional<bool> Decide(const Pending &pending) const;
  /*! @brief Answers the pending acknowledgements that are decided. */
  void AnswerDecided();
  /*! @brief Records a heartbeat while the departures are unknown; the target is
   * used on a second one that comes later. */
  void RecordSignOfLife(const std::string &instance);
  void SetUsable();
  /*! @brief Stores and announces the known departures. @param instance The
   * latest one. */
  void Record(const std::string &instance);
  /*! @brief Passes all that is known to the peers. */
  void Announce();

  DepartureReplicas &replicas;
  const Clock &clock;
  HeartbeatFilter filter;
  DepartureStore store;
  Event on_usable;
  Departed on_departed;
  std::optional<FirstHeartbeat> first_heartbeat;
  Departures acknowledged; /*!< Known to outlive this process. */
  std::vector<std::shared_ptr<Pending>> pending;
  bool complete{}; /*!< Departures of earlier processes are known. */
  bool usable{};
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_TARGET_DEPARTURES_H_
