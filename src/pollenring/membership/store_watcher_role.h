#ifndef POLLENRING_MEMBERSHIP_STORE_WATCHER_ROLE_H_
#define POLLENRING_MEMBERSHIP_STORE_WATCHER_ROLE_H_

#include <cstddef>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/membership.h"
#include "pollenring/wire/peer_versions.h"

namespace pollenring {

/*! @brief How many nodes watch the store on behalf of all. */
struct StoreWatcherOptions {
  std::size_t per_zone{2};  /*!< So that one node can fail. */
  std::size_t min_total{6}; /*!< In all zones; a third may be unreachable. */
  /*! @brief Age of the last store contact at which other nodes take over. With
   * the delays below it is less than the 2 s in which a change must be active,
   * also on a node that learns of none from its peers. */
  Duration stale_after{std::chrono::milliseconds{1500}};
  /*! @brief Delay from one node of a zone that takes over to the next. */
  Duration takeover_interval{std::chrono::milliseconds{15}};
  /*! @brief Delay of the last ones, however many nodes the zone has. */
  Duration max_takeover_delay{std::chrono::milliseconds{300}};
  /*! @brief Maximum wait of one watch; a connection may stop responding
   * unnoticed. */
  Duration max_watch{std::chrono::milliseconds{1800}};
};

/**
 * @brief Decides whether this node watches the store or relies on gossip.
 *
 * A few live nodes of each availability zone are designated watchers, chosen by
 * hashing, so their number does not grow with the fleet. Gossip carries the age
 * of the last store contact; where it is too old, further nodes take over, one
 * after the other.
 */
class StoreWatcherRole {
 public:
  /**
   * @brief Creates the role.
   * @param membership Live nodes, and the last store contact.
   * @param versions Wire versions of other nodes.
   * @param options Limits.
   * @param clock Clock.
   */
  StoreWatcherRole(const Membership &membership, const PeerVersions &versions,
                   const StoreWatcherOptions &options, const Clock &clock)
      : membership{membership},
        versions{versions},
        options{options},
        clock{clock} {}

  /*! @brief Whether this node is a designated watcher. @return True if so. */
  [[nodiscard]] bool IsDesignated() const {
    return this->Rank() < this->Needed();
  }

  /*! @brief Whether this node should watch the store. @return True if so. */
  [[nodiscard]] bool ShouldWatch() const;

  /**
   * @brief Draws how long the store may hold the next watch.
   *
   * A change completes all watches at once; with equal waits the fleet would
   * have no contact with the store in between.
   * @param random Source of randomness.
   * @return From half of the maximum wait to all of it.
   */
  [[nodiscard]] Duration NextWatch(Random &random) const;

 private:
  /*! @brief Nodes of this zone that precede this one and report withdrawn
   * zones. */
  [[nodiscard]] std::size_t Rank() const;
  /*! @brief Designated watchers in each zone. */
  [[nodiscard]] std::size_t Needed() const;

  const Membership &membership;
  const PeerVersions &versions;
  StoreWatcherOptions options;
  const Clock &clock;
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_STORE_DUTY_H_
