#ifndef POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_
#define POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_

#include <array>
#include <cstddef>
#include <string>

#include "pollenring/admission/level_control.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief Settings of the level derived from the offered load. */
struct OfferedLoadLevelOptions {
  Duration window{std::chrono::milliseconds{100}};
  /*! @brief Decay time of the offered load; about the time between the first
   * and the last call of a deep request to this service. */
  Duration decay_time{std::chrono::milliseconds{500}};
  /*! @brief Delay up to which a queue is a burst, not overload; a deep request
   * incurs it several times. */
  Duration tolerated_delay{std::chrono::milliseconds{6}};
  /*! @brief Delay at which all of `drain_reserve` is withheld. */
  Duration max_delay{std::chrono::milliseconds{100}};
  double target_load{0.95};   /*!< Fraction of the capacity that is allotted. */
  double drain_reserve{0.25}; /*!< Fraction withheld to drain a queue. */
  double rise_fraction{0.5};  /*!< Fraction of a rise applied per window. */
  /*! @brief Rise per second at `max_delay` though the offered load seems to
   * fit: callers not yet notified of the level send requests below it. */
  double backlog_rise{0.12};
  double min_fall{0.06}; /*!< Minimum fall per second while not overloaded. */
  double idle_fall{1.2}; /*!< Additional fall per second at no load. */
};

/**
 * @brief Computes the level above which the offered load fits the target.
 *
 * Calls carry their root's priority, so the level follows directly from the
 * distribution of priorities and the target's capacity. It does not depend on
 * when roots below it stop arriving, so a long call path to this service does
 * not make it oscillate.
 */
class OfferedLoadLevel final : public LevelControl {
 public:
  /**
   * @brief Starts by admitting everything.
   * @param options Settings.
   * @param clock Clock.
   */
  OfferedLoadLevel(const OfferedLoadLevelOptions &options, const Clock &clock);

  [[nodiscard]] double AdmissionLevelOf(
      const std::string &workspace) const override;
  void Offered(const AdmissionRequest &request) override;
  void Shed() override {}
  void Tick(const QueueState &queue) override;

 private:
  static constexpr std::size_t kBinsPerImportance = 32;
  static constexpr std::size_t kBins = kBinsPerImportance * kImportanceLevels;

  /*! @brief Level that admits `allowed` requests per second. */
  [[nodiscard]] double LevelFor(double allowed, double per_second) const;
  [[nodiscard]] double MaxLevel() const;

  OfferedLoadLevelOptions options;
  const Clock &clock;
  Time window_start;
  std::array<double, kBins> offered{}; /*!< Decayed counts by priority. */
  double level{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_
