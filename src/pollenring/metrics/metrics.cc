#include "pollenring/metrics/metrics.h"

#include <array>
#include <sstream>

namespace pollenring {
namespace {

namespace acc = boost::accumulators;

constexpr Duration kWindowLength = std::chrono::seconds{10};
constexpr std::size_t kTailSamples = 2048;
constexpr std::array<double, 3> kQuantiles{0.9, 0.99, 0.999};

/*! @brief Formats a label as in the exposition format. */
[[nodiscard]] std::string SeriesOf(const MetricLabel &label) {
  if (label.name.empty()) return {};
  return "{" + label.name + "=\"" + label.value + "\"}";
}

}  // namespace

Summary::Summary(const Clock &clock)
    : clock{clock},
      current{NewWindow()},
      previous{NewWindow()},
      window_start{clock.Now()} {}

Summary::Window Summary::NewWindow() {
  return Window{acc::tag::tail<acc::right>::cache_size = kTailSamples};
}

void Summary::Add(double value) {
  const Time now = this->clock.Now();
  if (now - this->window_start >= kWindowLength) {
    this->previous = this->current;
    this->current = NewWindow();
    this->window_start = now;
  }
  this->current(value);
  ++this->count;
  this->sum += value;
}

const Summary::Window &Summary::ReportedWindow() const {
  const bool has_previous = acc::count(this->previous) > 0;
  return has_previous ? this->previous : this->current;
}

double Summary::Quantile(double quantile) const {
  const Window &window = this->ReportedWindow();
  const auto samples = acc::count(window);
  if (samples == 0) return 0;
  const double samples_above = static_cast<double>(samples) * (1 - quantile);
  // Only the largest samples are retained; a lower quantile can't be estimated.
  if (samples_above >= static_cast<double>(kTailSamples)) return 0;
  if (samples_above < 1) return acc::max(window);
  return acc::quantile(window, acc::quantile_probability = quantile);
}

double Summary::Max() const {
  const Window &window = this->ReportedWindow();
  return acc::count(window) == 0 ? 0 : acc::max(window);
}

double Summary::Min() const {
  const Window &window = this->ReportedWindow();
  return acc::count(window) == 0 ? 0 : acc::min(window);
}

void Metrics::Count(const std::string &name, const MetricLabel &label,
                    std::uint64_t increment) {
  this->counters[name][SeriesOf(label)] += increment;
}

void Metrics::Observe(const std::string &name, double value) {
  const auto found = this->summaries.find(name);
  if (found != this->summaries.end()) {
    found->second.Add(value);
    return;
  }
  this->summaries.emplace(name, Summary{this->clock}).first->second.Add(value);
}

void Metrics::Gauge(const std::string &name, std::function<double()> read,
                    const MetricLabel &label) {
  this->gauges[name][SeriesOf(label)] = std::move(read);
}

std::uint64_t Metrics::Read(const std::string &name) const {
  const auto found = this->counters.find(name);
  if (found == this->counters.end()) return 0;
  std::uint64_t sum = 0;
  for (const auto &[series, value] : found->second) sum += value;
  return sum;
}

std::map<std::string, std::uint64_t> Metrics::Counters() const {
  std::map<std::string, std::uint64_t> values;
  for (const auto &[name, series] : this->counters) {
    for (const auto &[label, value] : series) values[name + label] = value;
  }
  return values;
}

std::string Metrics::Expose() const {
  std::ostringstream out;
  for (const auto &[name, series] : this->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto &[label, value] : series) {
      out << name << label << ' ' << value << '\n';
    }
  }
  for (const auto &[name, series] : this->gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto &[label, read] : series) {
      out << name << label << ' ' << read() << '\n';
    }
  }
  for (const auto &[name, summary] : this->summaries) {
    out << "# TYPE " << name << " summary\n";
    for (const double quantile : kQuantiles) {
      out << name << "{quantile=\"" << quantile << "\"} "
          << summary.Quantile(quantile) << '\n';
    }
    out << name << "_sum " << summary.Sum() << '\n';
    out << name << "_count " << summary.Count() << '\n';
    out << name << "_max " << summary.Max() << '\n';
    out << name << "_min " << summary.Min() << '\n';
  }
  return out.str();
}

}  // namespace pollenring
