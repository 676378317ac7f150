#ifndef POLLENRING_MESH_HEARTBEAT_FILTER_H_
#define POLLENRING_MESH_HEARTBEAT_FILTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/membership/departures.h"
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
 * @brief Checks whether a target says that it leaves.
 * @param heartbeat A heartbeat of the target.
 * @return True if it drains or deregisters.
 */
[[nodiscard]] inline bool Leaves(const Heartbeat &heartbeat) noexcept {
  return heartbeat.deregisters ||
         heartbeat.announcement.target.state == TargetState::kDraining;
}

/**
 * @brief Rejects heartbeats that arrive late or out of order, and those of
 * instances that have left.
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
   * instance. An instance that has said that it leaves does so, whatever
   * arrives later.
   * @return Whether it is accepted.
   */
  [[nodiscard]] HeartbeatVerdict Check(const Heartbeat &heartbeat);

  /*! @brief Start time of an instance. @param instance Its identifier.
   * @return Unix ms, or an upper bound; 0 if unknown. */
  [[nodiscard]] std::uint64_t StartTimeOf(const std::string &instance) const;

  /**
   * @brief Records a departure that was not received as a heartbeat here.
   * @param instance Identifier of the instance.
   * @param started_at_ms Start time of the instance in Unix ms; 0 if unknown.
   * @return True if a heartbeat of that instance was accepted before.
   */
  bool RecordDeregistration(const std::string &instance,
                            std::uint64_t started_at_ms);

  /*! @brief All known departures. @return The latest ones. */
  [[nodiscard]] const Departures &Departed() const noexcept {
    return this->departures;
  }

 private:
  struct InstanceState {
    std::uint64_t started_at_ms{};
    std::uint64_t sequence{};
    bool deregistered{};
  };

  /*! @brief Start time of a heartbeat's instance. @return Unix ms; an upper
   * bound if it is not stated or known. */
  [[nodiscard]] std::uint64_t StartTimeOf(const Heartbeat &heartbeat) const;
  /*! @brief Makes room for one more instance. */
  void ForgetOldest();

  const Clock &clock;
  Departures departures;
  std::map<std::string, InstanceState> instances;
  std::string latest; /*!< Instance with the latest start time. */
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_HEARTBEAT_FILTER_H_
