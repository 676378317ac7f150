#include "pollenring/routing/kind_times.h"

#include <algorithm>
#include <cmath>

namespace pollenring {
namespace {

constexpr std::size_t kMaxKinds = 64;
/*! @brief Weight of a report in the time of its kind, which all targets of a
 * service report. */
constexpr double kKindWeight = 0.02;
/*! @brief Weight of a report in the factor of its target; reports are means
 * already. */
constexpr double kTargetWeight = 0.2;
/*! @brief Samples from which a report has its full weight. */
constexpr double kFullSamples = 30;

}  // namespace

KindTimes::Kind *KindTimes::Find(std::string_view kind) noexcept {
  const auto found =
      std::find_if(this->kinds.begin(), this->kinds.end(),
                   [kind](const Kind &each) { return each.name == kind; });
  return found == this->kinds.end() ? nullptr : &*found;
}

void KindTimes::Learn(std::string_view kind, double us, double samples,
                      TargetSpeed &target) {
  if (!(us > 0) || samples <= 0) return;
  const double log_us = std::log(us);
  const double confidence = std::min(1.0, samples / kFullSamples);
  Kind *known = this->Find(kind);
  if (known == nullptr) {
    if (this->kinds.size() >= kMaxKinds) return;
    this->kinds.push_back({std::string{kind}, log_us - target.log_factor, 0});
    known = &this->kinds.back();
  }
  const double error = log_us - known->log_us - target.log_factor;
  target.log_factor +=
      target.known ? kTargetWeight * confidence * error : error;
  target.known = true;
  target.factor = std::exp(target.log_factor);
  known->log_us +=
      kKindWeight * confidence * (log_us - known->log_us - target.log_factor);
  known->us = std::exp(known->log_us);
}

double KindTimes::Of(std::string_view kind) const noexcept {
  double sum = 0;
  for (const Kind &each : this->kinds) {
    if (each.name == kind) return each.us;
    sum += each.us;
  }
  return this->kinds.empty() ? 0
                             : sum / static_cast<double>(this->kinds.size());
}

}  // namespace pollenring
