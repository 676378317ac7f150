#ifndef POLLENRING_NODE_PARENT_FINDER_H_
#define POLLENRING_NODE_PARENT_FINDER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/node/call_attribution.h"

namespace pollenring {

/**
 * @brief Finds the request on whose behalf a target makes a call that carries
 * no context.
 *
 * Such a call ends when its parent does, unless its own time is shorter. So a
 * deadline that equals a request's points to it. Otherwise one is drawn among
 * those that work and wait for no call, by the part of such calls that requests
 * of its kind make. The draw is mostly wrong about the request and right about
 * shares: of all calls, each kind gets as many as it makes.
 */
class ParentFinder {
 public:
  /**
   * @brief Starts without requests.
   * @param random Draws.
   * @param now Time.
   */
  ParentFinder(Random &random, Time now) : random{random}, shares{now} {}

  /**
   * @brief Adds a request that the target has been given.
   * @param id The request.
   * @param kind Its kind; requests of one kind make calls alike.
   * @param deadline When the target was told that it ends.
   * @param now Time.
   */
  void Add(std::uint64_t id, const std::string &kind, Time deadline, Time now);

  /**
   * @brief Removes a request; an unknown one is ignored.
   * @param id The request.
   * @param now Time.
   */
  void Remove(std::uint64_t id, Time now);

  /*! @brief A request waits for a call. @param id Request. @param now Time. */
  void CallBegun(std::uint64_t id, Time now);

  /*! @brief A call has ended. @param id Its request. @param now Time. */
  void CallEnded(std::uint64_t id, Time now);

  /**
   * @brief Finds the parent of a call.
   * @param deadline When the call says that it ends.
   * @param callee What it calls.
   * @param now Time.
   * @return The request, or nothing when none can have made the call.
   */
  [[nodiscard]] std::optional<std::uint64_t> Find(Time deadline,
                                                  const std::string &callee,
                                                  Time now);

  /*! @brief Which kinds make the calls. @return The estimate. */
  [[nodiscard]] const CallAttribution &Shares() const noexcept {
    return this->shares;
  }

 private:
  using Ordered = std::set<std::pair<Time, std::uint64_t>>;

  struct Running {
    Time deadline{};
    Time since{}; /*!< Of its place among those that work or wait. */
    int calls{};
    std::string kind;
  };

  [[nodiscard]] std::optional<std::uint64_t> Nearest(Time deadline) const;
  [[nodiscard]] std::optional<std::uint64_t> Draw(Time deadline,
                                                  const std::string &callee);
  [[nodiscard]] double WeightOf(const std::string &kind,
                                const std::string &callee) const;
  [[nodiscard]] Ordered &PlaceOf(const Running &request);
  void Leave(std::uint64_t id, const Running &request);

  Random &random;
  CallAttribution shares;
  std::unordered_map<std::uint64_t, Running> running;
  Ordered by_deadline;
  Ordered working; /*!< Without a call, by the time since when. */
  Ordered waiting; /*!< For a call, by the time since when. */
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_PARENT_FINDER_H_
