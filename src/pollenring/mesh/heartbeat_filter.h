#ifndef POLLENRING_MESH_HEARTBEAT_FILTER_H_
#define POLLENRING_MESH_HEARTBEAT_FILTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/mesh/codecs.h"

namespace pollenring {

/*! @brief Whether a heartbeat is accepted. */
enum class HeartbeatVerdict {
  kAccepted,
  kStale, /*!< Older than an accepted one, or of a deregistered instance. */
};

/*! @brief Names of the verdicts. */
inline constexpr EnumTable<HeartbeatVerdict, 2> kHeartbeatVerdictNames{{{
    {HeartbeatVerdict::kAccepted, "taken"},
    {HeartbeatVerdict::kStale, "stale"},
}}};

/**
 * @brief Rejects heartbeats that arrive late or out of order.
 *
 * Instances are distinguished by start time, since a restarted target may
 * keep its identifier and restart its sequence.
 */
class HeartbeatFilter {
 public:
  /**
   * @brief Creates an empty filter.
   * @param clock Its wall clock bounds the start time of an instance whose
   * deregistration carries none.
   */
  explicit HeartbeatFilter(const Clock &clock) : clock{clock} {}

  /**
   * @brief Checks a heartbeat and records it when it is accepted.
   * @param heartbeat The heartbeat; a deregistration is accepted once per
   * instance.
   * @return Whether it is accepted.
   */
  [[nodiscard]] HeartbeatVerdict Check(const Heartbeat &heartbeat);

  /*! @brief Start time of an instance. @param instance Its identifier.
   * @return Unix ms, or an upper bound; 0 if unknown. */
  [[nodiscard]] std::uint64_t StartTimeOf(const std::string &instance) const;

  /**
   * @brief Records a deregistration that an earlier process received.
   * @param instance Identifier of the instance.
   * @param started_at_ms Start time of the instance in Unix ms; 0 if unknown.
   * @return True if a heartbeat of that instance was accepted before.
   */
  bool RecordDeregistration(const std::string &instance,
                            std::uint64_t started_at_ms);

 private:
  struct InstanceState {
    std::uint64_t started_at_ms{};
    std::uint64_t sequence{};
    bool deregistered{};
  };

  const Clock &clock;
  std::map<std::string, InstanceState> instances;
  std::string latest; /*!< Instance with the latest start time. */
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_HEARTBEAT_FILTER_H_
