#ifndef POLLENRING_NODE_READINESS_H_
#define POLLENRING_NODE_READINESS_H_

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief What a node needs to take callers. */
enum class ReadinessCondition {
  kConfiguration,  /*!< A configuration is in force. */
  kMembership,     /*!< The node has joined its peers, or found none. */
  kCallerListener, /*!< Callers can connect. */
  kDescriptors,    /*!< Connections of callers are accepted. */
  kNotDraining     /*!< The node does not drain. */
};

inline constexpr std::size_t kReadinessConditions = 5;

/*! @brief Names of the conditions, for logs and readiness responses. */
inline constexpr EnumTable<ReadinessCondition, kReadinessConditions>
    kReadinessConditionNames{{{
        {ReadinessCondition::kConfiguration, "configuration"},
        {ReadinessCondition::kMembership, "membership"},
        {ReadinessCondition::kCallerListener, "caller listener"},
        {ReadinessCondition::kDescriptors, "descriptors"},
        {ReadinessCondition::kNotDraining, "not draining"},
    }}};

/*! @brief Tracks which conditions a node waits for, and since when. */
class Readiness {
 public:
  /**
   * @brief Creates a record in which no condition is met.
   * @param clock Clock.
   */
  explicit Readiness(const Clock &clock);

  /**
   * @brief Records whether a condition is met.
   * @param condition The condition.
   * @param met Whether it is.
   */
  void Set(ReadinessCondition condition, bool met);

  /*! @brief Whether all conditions are met. @return True if they are. */
  [[nodiscard]] bool Ready() const noexcept;

  /*! @brief The conditions that aren't met. @return A list of names with ages
   * in milliseconds. */
  [[nodiscard]] nlohmann::json Unmet() const;

 private:
  struct State {
    bool met{};
    Time since{}; /*!< When it was last met, or the start. */
  };

  const Clock &clock;
  std::array<State, kReadinessConditions> states;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_READINESS_H_
