#ifndef POLLENRING_METRICS_METRICS_H_
#define POLLENRING_METRICS_METRICS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pollenring/core/clock.h"

namespace pollenring {

/*! @brief Count and sum of all samples; extremes and upper quantiles of the
 * last full window (10 s), or of the current one before that. */
class Summary {
 public:
  /**
   * @brief Creates an empty summary.
   * @param clock Clock for the windows.
   */
  explicit Summary(const Clock &clock);

  /**
   * @brief Adds a sample.
   * @param value The sample.
   */
  void Add(double value);

  /*! @brief Samples since the start. @return The count. */
  [[nodiscard]] std::uint64_t Count() const noexcept { return this->count; }

  /*! @brief Sum of all samples since the start. @return The sum. */
  [[nodiscard]] double Sum() const noexcept { return this->sum; }

  /**
   * @brief Estimates an upper quantile of the window.
   * @param quantile Such as 0.99.
   * @return The estimate; 0 without samples, or if the quantile is below the
   * retained tail.
   */
  [[nodiscard]] double Quantile(double quantile) const;

  /*! @brief Largest sample of the window. @return The sample, or 0 if none. */
  [[nodiscard]] double Max() const;

  /*! @brief Smallest sample of the window. @return The sample, or 0 if none. */
  [[nodiscard]] double Min() const;

 private:
  using Window = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::min,
          boost::accumulators::tag::max,
          boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

  [[nodiscard]] static Window NewWindow();
  [[nodiscard]] const Window &ReportedWindow() const;

  const Clock &clock;
  Window current;
  Window previous;
  Time window_start;
  std::uint64_t count{};
  double sum{};
};

/*! @brief Label of a series; empty for none. */
struct MetricLabel {
  std::string name;
  std::string value;
};

/*! @brief All metrics of a process, in the Prometheus text exposition format.
 */
class Metrics {
 public:
  /**
   * @brief Creates an empty registry.
   * @param clock Clock for the summaries.
   */
  explicit Metrics(const Clock &clock) : clock{clock} {}

  /**
   * @brief Adds to a counter.
   * @param name Name, ending in `_total`.
   * @param label Label of the series.
   * @param increment Amount to add.
   */
  void Count(const std::string &name, const MetricLabel &label = {},
             std::uint64_t increment = 1);

  /**
   * @brief Adds a sample to a summary.
   * @param name Name, with its unit.
   * @param value The sample.
   */
  void Observe(const std::string &name, double value);

  /**
   * @brief Registers a gauge that is read on exposition.
   * @param name Name, with its unit.
   * @param read Returns the current value.
   * @param label Label of the series.
   */
  void Gauge(const std::string &name, std::function<double()> read,
             const MetricLabel &label = {});

  /**
   * @brief Reads a counter, summed over all labels.
   * @param name Its name.
   * @return Its value.
   */
  [[nodiscard]] std::uint64_t Read(const std::string &name) const;

  /**
   * @brief Reads all counters.
   * @return Values by name, with labels in braces.
   */
  [[nodiscard]] std::map<std::string, std::uint64_t> Counters() const;

  /*! @brief Formats everything. @return Lines of the exposition format. */
  [[nodiscard]] std::string Expose() const;

 private:
  const Clock &clock;
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  std::map<std::string, Summary> summaries;
  std::map<std::string, std::map<std::string, std::function<double()>>> gauges;
};

}  // namespace pollenring

#endif  // POLLENRING_METRICS_METRICS_H_
