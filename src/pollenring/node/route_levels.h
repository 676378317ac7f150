#ifndef POLLENRING_NODE_ROUTE_LEVELS_H_
#define POLLENRING_NODE_ROUTE_LEVELS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/**
 * @brief Remembers, per workspace and route, the levels of all services on the
 * way.
 *
 * Levels come back with answers. A root below the highest of them would be
 * shed by some service on its way, after work was done for it elsewhere.
 */
class RouteLevels {
 public:
  /**
   * @brief Starts without levels.
   * @param lifetime Time for which a level holds that no answer confirms.
   * @param clock Clock.
   */
  RouteLevels(Span lifetime, const Clock &clock)
      : lifetime{lifetime}, clock{clock}, swept{clock.Now()} {}

  /*! @brief Routes that are remembered, by workspace. @return The count. */
  [[nodiscard]] std::size_t Count() const noexcept {
    return this->routes.size();
  }

  /**
   * @brief Takes in the levels that an answer brought.
   * @param route The route.
   * @param levels Levels of services that shed; an absent one sheds nothing.
   */
  void Learn(const std::string &route, const std::vector<ServiceLevel> &levels);

  /**
   * @brief Reads the levels of all services on a route's way.
   * @param route The route.
   * @return Levels that are not out of date.
   */
  [[nodiscard]] std::vector<ServiceLevel> LevelsOn(
      const std::string &route) const;

  /**
   * @brief Finds the priority below which roots would be shed.
   * @param route The route.
   * @return The highest level that is not out of date, 0 for none.
   */
  [[nodiscard]] double LevelOf(const std::string &route) const;

 private:
  struct Known {
    double level{};
    Time seen{};
  };

  using Services = std::unordered_map<std::string, Known>;

  [[nodiscard]] bool Stale(const Known &known) const noexcept;
  void Forget();

  Span lifetime;
  const Clock &clock;
  Time swept{};
  std::unordered_map<std::string, Services> routes;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_ROUTE_LEVELS_H_
