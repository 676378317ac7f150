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
 * @brief Finds the parent request of a call that a target makes without
 * passing on its context.
 *
 * Such a call inherits the deadline of its parent unless its own is shorter, so
 * an equal deadline identifies the parent. Otherwise a parent is drawn at
 * random among requests that are not waiting for a call, weighted by the
 * fraction of such calls that their kind makes. The draw is mostly wrong about
 * the individual request but right in aggregate: each kind gets as many calls
 * as it makes.
 */
class ParentFinder {
 public:
  /**
   * @brief Creates a finder without requests.
   * @param random Source of the draws.
   * @param now Time.
   */
  ParentFinder(Random &random, Time now) : random{random}, attribution{now} {}

  /**
   * @brief Adds a request sent to the target.
   * @param id The request.
   * @param kind Its kind; requests of one kind make similar calls.
   * @param deadline Deadline sent to the target.
   * @param now Time.
   */
  void Add(std::uint64_t id, const std::string &kind, Time deadline, Time now);

  /**
   * @brief Removes a request; unknown ones are ignored.
   * @param id The request.
   * @param now Time.
   */
  void Remove(std::uint64_t id, Time now);

  /*! @brief Records that a request waits for a call. @param id Request. @param
   * now Time. */
  void BeginCall(std::uint64_t id, Time now);

  /*! @brief Records the end of a call. @param id Its request. @param now Time.
   */
  void EndCall(std::uint64_t id, Time now);

  /**
   * @brief Finds the parent of a call.
   * @param deadline Deadline that the call states.
   * @param callee Called service.
   * @param now Time.
   * @return The request, or nothing if none can have made the call.
   */
  [[nodiscard]] std::optional<std::uint64_t> Find(Time deadline,
                                                  const std::string &callee,
                                                  Time now);

  /*! @brief Estimate of which kinds make calls. @return The estimate. */
  [[nodiscard]] const CallAttribution &Attribution() const noexcept {
    return this->attribution;
  }

 private:
  using OrderedByTime = std::set<std::pair<Time, std::uint64_t>>;

  struct Running {
    Time deadline{};
    Time since{}; /*!< When it last began to work or wait. */
    int calls{};
    std::string kind;
  };

  [[nodiscard]] std::optional<std::uint64_t> FindByDeadline(
      Time deadline) const;
  [[nodiscard]] std::optional<std::uint64_t> Draw(Time deadline,
                                                  const std::string &callee);
  [[nodiscard]] double WeightOf(const std::string &kind,
                                const std::string &callee) const;
  [[nodiscard]] OrderedByTime &SetOf(const Running &request);
  void RemoveFromSet(std::uint64_t id, const Running &request);

  Random &random;
  CallAttribution attribution;
  std::unordered_map<std::uint64_t, Running> running;
  OrderedByTime by_deadline;
  OrderedByTime working; /*!< Without a call, by `since`. */
  OrderedByTime waiting; /*!< For a call, by `since`. */
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_PARENT_FINDER_H_
