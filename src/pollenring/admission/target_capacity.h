#ifndef POLLENRING_ADMISSION_TARGET_CAPACITY_H_
#define POLLENRING_ADMISSION_TARGET_CAPACITY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "pollenring/admission/target_load.h"
#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Usual own time of a kind's requests at one target. */
struct KindTime {
  double us{};             /*!< 0 while unknown. */
  std::uint32_t samples{}; /*!< Requests measured; at most a thousand. */
};

/**
 * @brief Learns from responses how much load a target handles well.
 *
 * Keeps the mean own time of each kind, normalized to the target's usual speed,
 * so that neither a change of mix nor temporary slowness changes it. Inactive,
 * with no effect, until the target reports its slowness.
 */
class TargetCapacity {
 public:
  /**
   * @brief Knows nothing but the announced slots.
   * @param slots Slots announced by the target.
   * @param clock Clock.
   */
  TargetCapacity(std::uint32_t slots, const Clock &clock);

  /**
   * @brief Records the load in a response.
   * @param load The load.
   */
  void RecordLoad(const TargetLoad &load);

  /**
   * @brief Records a request that the target has served; ignored while
   * inactive.
   * @param kind Route of the request.
   * @param own_time Time at the target, without sub-calls.
   * @param running Requests in progress when it started.
   */
  void RecordServed(std::string_view kind, Duration own_time, int running);

  /*! @brief Discards everything, as when the target is cold. */
  void Reset();

  /*! @brief Checks if the target reports its slowness. @return True if so. */
  [[nodiscard]] bool Active() const noexcept { return this->active; }

  /*! @brief Requests that may run at once. @return The limit. */
  [[nodiscard]] int Limit() const noexcept { return this->limit; }

  /*! @brief Time that work takes now. @return It, relative to the usual. */
  [[nodiscard]] double Slowness() const noexcept;

  /**
   * @brief Returns the usual own time of a kind's requests.
   * @param kind The kind.
   * @return The time.
   */
  [[nodiscard]] KindTime TimeOf(std::string_view kind) const;

  /*! @brief Slots that the target reports. @return The last count, or 0. */
  [[nodiscard]] std::uint32_t ReportedSlots() const noexcept {
    return this->reported_slots;
  }

  /*! @brief Time since the last served request. @return It. */
  [[nodiscard]] Duration Age() const noexcept {
    return this->clock.Now() - this->sampled_at;
  }

 private:
  static constexpr std::size_t kClasses = 10;

  struct Kind {
    double mean_us{};
    std::uint32_t samples{};
    Time updated_at{};
  };

  /*! @brief Relative times of requests started at one degree of utilization. */
  struct Class {
    double sum{};
    double count{};
  };

  void LearnSlowness(double relative, double reported);
  void LearnKnee(double relative, int running);
  void ChooseLimit();
  [[nodiscard]] bool ReportsAgree() const noexcept;
  [[nodiscard]] bool OverlapsSlowness(Duration own_time) const noexcept;
  [[nodiscard]] int LimitBelow(double edge) const noexcept;

  const Clock &clock;
  int announced;
  int limit;
  bool active{};
  std::uint32_t reported_slots{};
  double last_reported{1}; /*!< Slowness by the last report. */
  Time reported_slow_at{}; /*!< Last report of temporary slowness. */
  std::map<std::string, Kind, std::less<>> kinds;
  /*! @brief Exponentially decayed sums over recent requests. */
  double recent_measured{};
  double recent_reported{};
  double recent_weight{};
  Time sampled_at{};
  std::array<Class, kClasses> classes{};
  Time classes_decayed_at{};
  int until_choice{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_TARGET_CAPACITY_H_
