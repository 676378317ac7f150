#ifndef POLLENRING_MESH_HEARTBEAT_FILTER_H_
#define POLLENRING_MESH_HEARTBEAT_FILTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/mesh/codecs.h"

namespace pollenring {

/*! @brief What becomes of a heartbeat. */
enum class HeartbeatVerdict {
  kTaken,
  kStale, /*!< Older than one already taken, or of a target that has left. */
};

/*! @brief Names of the verdicts. */
inline constexpr EnumTable<HeartbeatVerdict, 2> kHeartbeatVerdictNames{{{
    {HeartbeatVerdict::kTaken, "taken"},
    {HeartbeatVerdict::kStale, "stale"},
}}};

/**
 * @brief Leaves out heartbeats that arrive late or out of order.
 *
 * A start is told by its time of birth, since a target may start again under
 * the identifier that it had and then counts anew.
 */
class HeartbeatFilter {
 public:
  /**
   * @brief Starts without any heartbeat.
   * @param clock Its wall clock tells what was born before a departure.
   */
  explicit HeartbeatFilter(const Clock &clock) : clock{clock} {}

  /**
   * @brief Judges a heartbeat and remembers it when it is taken.
   * @param heartbeat The heartbeat; a departure is taken once per start.
   * @return Whether it says something new.
   */
  [[nodiscard]] HeartbeatVerdict Judge(const Heartbeat &heartbeat);

  /*! @brief When a target's latest start was. @param instance The target.
   * @return Unix milliseconds, or an upper bound; 0 if unsaid. */
  [[nodiscard]] std::uint64_t BornOf(const std::string &instance) const;

  /**
   * @brief Takes in that a start has left, as an earlier process was told.
   * @param instance The target.
   * @param started_at_ms Unix milliseconds of that start; 0 if unsaid.
   * @return Whether a heartbeat of that start was taken before.
   */
  bool Forbid(const std::string &instance, std::uint64_t started_at_ms);

 private:
  struct Start {
    std::uint64_t started_at_ms{};
    std::uint64_t sequence{};
    bool departed{};
  };

  const Clock &clock;
  std::map<std::string, Start> starts;
  std::string current; /*!< Instance that was born last. */
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_HEARTBEAT_FILTER_H_
