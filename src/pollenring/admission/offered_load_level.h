#ifndef POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_
#define POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_

#include <array>
#include <cstddef>
#include <string>

#include "pollenring/admission/level_control.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/importance.h"

namespace pollenring {

/*! @brief Limits of the level that makes the offered load fit. */
struct OfferedLoadLevelOptions {
  Duration window{std::chrono::milliseconds{100}};
  /*! @brief Memory of what was offered; a deep request takes about as long from
   * its first call here to its last. */
  Duration memory{std::chrono::milliseconds{500}};
  /*! @brief Delay up to which a queue is a burst and no overload; a deep
   * request waits that long several times. */
  Duration tolerated{std::chrono::milliseconds{6}};
  /*! @brief Delay that takes all of the reserve below. */
  Duration longest{std::chrono::milliseconds{100}};
  double load{0.95};    /*!< Part of the capacity that is given away. */
  double reserve{0.25}; /*!< Part of it kept back while a queue is drained. */
  double rise{0.5};     /*!< Part of the way to a higher level, a window. */
  /*! @brief Rise a second while the longest delay stays though what is offered
   * seems to fit: callers that have not heard of the level send what is below
   * it. */
  double push{0.12};
  double fall{0.06};      /*!< Least fall a second while nothing waits. */
  double fall_spare{1.2}; /*!< Further fall a second if all were idle. */
};

/**
 * @brief Finds the level above which what is offered fits the target.
 *
 * Calls bring their root's priority, so the level follows from their
 * distribution and the target's speed at once. It does not depend on when the
 * roots below it cease to arrive, so a long way between them and this service
 * does not make it swing.
 */
class OfferedLoadLevel final : public LevelControl {
 public:
  /**
   * @brief Starts by admitting everything.
   * @param options Limits.
   * @param clock Clock.
   */
  OfferedLoadLevel(const OfferedLoadLevelOptions &options, const Clock &clock);

  [[nodiscard]] double AdmissionLevelOf(
      const std::string &workspace) const override;
  void Offered(const AdmissionRequest &ticket) override;
  void Shed() override {}
  void Tick(const QueueState &queue) override;

 private:
  static constexpr std::size_t kBinsPerImportance = 32;
  static constexpr std::size_t kBins = kBinsPerImportance * kImportanceLevels;

  [[nodiscard]] double Fit(double allowed, double per_second) const;
  [[nodiscard]] double HighestLevel() const;

  OfferedLoadLevelOptions options;
  const Clock &clock;
  Time window_start;
  std::array<double, kBins> offered{};
  double level{};
};

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_OFFERED_LOAD_LEVEL_H_
