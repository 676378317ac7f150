#ifndef POLLENRING_MEMBERSHIP_STORE_WATCHER_ROLE_H_
#define POLLENRING_MEMBERSHIP_STORE_WATCHER_ROLE_H_

#include <cstddef>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/membership.h"
#include "pollenring/wire/peer_versions.h"

namespace pollenring {

/*! @brief Who asks the store on behalf of all nodes. */
struct StoreWatcherOptions {
  std::size_t per_zone{2}; /*!< So that one lost node leaves another. */
  std::size_t fewest{6};   /*!< In all zones; a third may be cut off at once. */
  /*! @brief Age of the newest word from the store at which others step in;
   * with nodes on duty at work it reaches 300 nodes sooner. */
  Duration stale_after{std::chrono::milliseconds{2500}};
  /*! @brief Time between two nodes of a zone that step in. */
  Duration step_in{std::chrono::milliseconds{40}};
  /*! @brief Longest wait of one watch. A change must be in force within 2 s on
   * a node that was undisturbed for 3 s; a connection may fall silent
   * unnoticed.
   */
  Duration longest_watch{std::chrono::milliseconds{2200}};
};

/**
 * @brief Decides whether this node asks the store, or hears of it from others.
 *
 * A few nodes of each availability zone are on duty, drawn by hashing among
 * those that live, so their number does not grow with the nodes. The age of the
 * newest word from the store travels with gossip; where it grows old, further
 * nodes step in, one after the other.
 */
class StoreWatcherRole {
 public:
  /**
   * @brief Creates the decision.
   * @param membership Who is there, and how old the word of the store is.
   * @param versions What the builds of other nodes can tell.
   * @param options Limits.
   * @param clock Clock.
   */
  StoreWatcherRole(const Membership &membership, const PeerVersions &versions,
                   const StoreWatcherOptions &options, const Clock &clock)
      : membership{membership},
        versions{versions},
        options{options},
        clock{clock} {}

  /*! @brief Whether this node is one of those of its zone. @return So. */
  [[nodiscard]] bool IsDesignated() const {
    return this->Rank() < this->Needed();
  }

  /*! @brief Whether this node is to ask the store now. @return So. */
  [[nodiscard]] bool ShouldWatch() const;

  /**
   * @brief Draws how long the store may hold the next watch.
   *
   * A change answers all watches at once; equal waits would leave the fleet
   * without word of the store in between.
   * @param random Randomness.
   * @return From half of the longest wait to all of it.
   */
  [[nodiscard]] Duration NextWatch(Random &random) const;

 private:
  /*! @brief Nodes of the own zone that go before this one, and tell all that
   * the store says. */
  [[nodiscard]] std::size_t Rank() const;
  /*! @brief Nodes on duty in each zone. */
  [[nodiscard]] std::size_t Needed() const;

  const Membership &membership;
  const PeerVersions &versions;
  StoreWatcherOptions options;
  const Clock &clock;
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_STORE_WATCHER_ROLE_H_
