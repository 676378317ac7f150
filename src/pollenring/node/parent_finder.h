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

namespace pollenring {

/**
 * @brief Finds the request on whose behalf a target makes a call that carries
 * no context.
 *
 * Such a call ends when its parent does, unless its own time is shorter. So a
 * deadline that equals a request's points to it. Otherwise one is drawn among
 * those that work and wait for no call, by how often requests of their kind
 * make calls, as learnt from the calls seen so far. The draw is mostly wrong
 * about the request and right about shares: of all calls, each kind gets as
 * many as it makes.
 */
class ParentFinder {
 public:
  /**
   * @brief Starts without requests.
   * @param random Draws.
   */
  explicit ParentFinder(Random &random) : random{random} {}

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
   * @return The request, or nothing when none can have made the call.
   */
  [[nodiscard]] std::optional<std::uint64_t> Find(Time deadline);

 private:
  using Ordered = std::set<std::pair<Time, std::uint64_t>>;

  /*! @brief How often requests of one kind make calls. */
  struct Kind {
    double calls{1};      /*!< One, so that a kind not seen yet may be drawn. */
    double seconds{0.05}; /*!< Spent at work, waiting for no call. */

    [[nodiscard]] double Rate() const noexcept {
      return this->calls / this->seconds;
    }
  };

  struct Running {
    Time deadline{};
    Time since{}; /*!< Of its place among those that work or wait. */
    int calls{};
    Kind *kind{};
  };

  [[nodiscard]] std::optional<std::uint64_t> Nearest(Time deadline) const;
  [[nodiscard]] std::optional<std::uint64_t> Draw(Time deadline);
  [[nodiscard]] Ordered &PlaceOf(const Running &request);
  void Leave(std::uint64_t id, const Running &request, Time now);
  static void Worked(Kind &kind, Span time);

  Random &random;
  std::unordered_map<std::string, Kind> kinds;
  std::unordered_map<std::uint64_t, Running> running;
  Ordered by_deadline;
  Ordered working; /*!< Without a call, by the time since when. */
  Ordered waiting; /*!< For a call, by the time since when. */
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_PARENT_FINDER_H_
