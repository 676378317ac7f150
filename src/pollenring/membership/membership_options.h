#ifndef POLLENRING_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define POLLENRING_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Timing of failure detection. */
struct MembershipOptions {
  Duration probe_period{std::chrono::milliseconds{300}};
  Duration probe_timeout{std::chrono::milliseconds{200}};
  int probe_attempts{3};
  Duration suspicion_timeout{std::chrono::milliseconds{1500}};
  Duration tombstone_age{std::chrono::minutes{10}};
  /*! @brief Time for which an unreachable member may be behind a network
   * partition. Partitions last for seconds, and a member that has ended for
   * good never recovers. */
  Duration unreachable_window{std::chrono::minutes{1}};
  Duration quiet_before_exchange{std::chrono::seconds{2}};
  /*! @brief Time after its start in which a node fetches differing records
   * without waiting for changes to stop; while hundreds start together, they
   * never do. */
  Duration startup_period{std::chrono::seconds{6}};
  /*! @brief Pause between two such exchanges; one takes a few milliseconds. */
  Duration startup_exchange_pause{std::chrono::milliseconds{400}};
  std::size_t updates_per_gossip{8};
  /*! @brief Peers told at once that the store has responded; gossip alone takes
   * two seconds to tell a few hundred nodes. */
  std::size_t contact_fanout{8};
  /*! @brief Time between ticks beyond which the process was stopped or far
   * behind, so that what it reads then may be as old. */
  Duration max_tick_gap{std::chrono::milliseconds{500}};
  /*! @brief Time after such a gap in which it may read what arrived before. */
  Duration late_input_period{std::chrono::milliseconds{100}};
  std::size_t retransmit_factor{3}; /*!< Sends per update / log2(members). */
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
