#include <algorithm>
#include <cmath>

#include "pollenring/routing/router.h"

namespace pollenring {
namespace {

/*! @brief Time in which an unconfirmed fault rate decays to a third, so that a
 * recovered target is tried again. */
constexpr Duration kFaultDecayTime = std::chrono::seconds{3};
/*! @brief Cost of a failed call in call durations; a request makes about ten
 * calls, and one failure wastes them all. */
constexpr double kFaultCost = 12;
/*! @brief Maximum number of targets to compare; of more, this many are drawn
 * at random. */
constexpr std::size_t kMaxCompared = 8;
/*! @brief Of these, at most so many of other zones while there are some in the
 * own zone. */
constexpr std::size_t kMaxComparedFar = 3;
/*! @brief Smoothing of the reported load, against herding on one report. */
constexpr Duration kLoadSmoothing = std::chrono::milliseconds{100};
/*! @brief Age at which a report counts half, and not at all. */
constexpr Duration kHalfReportAge = std::chrono::seconds{1};
constexpr Duration kMaxReportAge = std::chrono::seconds{3};
/*! @brief A load of this age counts a twelfth; of a fifteenth of it, in full.
 */
constexpr Duration kLoadLifetime = std::chrono::seconds{1};
constexpr double kRecentGain = 1.3;
/*! @brief Utilization from which a target costs more. */
constexpr double kBusy = 0.8;
/*! @brief Utilization at which it costs 1 + kBusyCost times as much. */
constexpr double kNearlyFull = 0.95;
constexpr double kBusyCost = 2.5;
/*! @brief Cost of utilization above `kNearlyFull`, in typical times; high, so
 * that it equalizes the utilization of full targets. */
constexpr double kFullCost = 60;
/*! @brief Utilization from which the own zone loses its preference, and by
 * which it has none. */
constexpr double kZoneBusy = 0.75;
/*! @brief Fraction of the time to the objective that callers don't notice. */
constexpr double kUnnoticedFraction = 0.03;
/*! @brief Cost of a kilobyte sent to another zone, in microseconds. The traffic
 * is paid for by volume: an upload of 60 kB costs as much there as sixty calls
 * without a body, and 60 ms are a twentieth of the objective that uploads have.
 */
constexpr double kZoneUsPerKilobyte = 1000;
/*! @brief Cost of full utilization where its reports are old; higher, as there
 * is no telling which target has become slower since. */
constexpr double kDrawCost = 20;
/*! @brief Steps that find the level of load within 1 %. */
constexpr int kBisections = 10;
/*! @brief Noise in the costs, as many nodes choose at once. */
constexpr double kNoise = 0.2;

[[nodiscard]] double Micros(Duration time) noexcept {
  return static_cast<double>(time.count());
}

}  // namespace

double Router::RampFraction(const Endpoint &endpoint) const noexcept {
  if (this->IsCold(endpoint)) return this->options.ramp_floor;
  if (endpoint.ramp_from == Time{}) return 1.0;
  const double age =
      static_cast<double>((this->clock.Now() - endpoint.ramp_from).count()) /
      static_cast<double>(this->options.ramp.count());
  return std::clamp(age, this->options.ramp_floor, 1.0);
}

double Router::Utilization(const Endpoint &endpoint) const noexcept {
  const int since_report =
      endpoint.in_progress - endpoint.in_progress_at_report;
  const double load =
      std::max<double>(endpoint.in_progress, endpoint.reported + since_report);
  const double room =
      std::max(1.0, endpoint.limit * this->RampFraction(endpoint));
  return load / room;
}

double Router::FaultRate(const Endpoint &endpoint) const noexcept {
  const auto age = static_cast<double>(
      (this->clock.Now() - endpoint.fault_updated_at).count());
  return endpoint.fault_rate *
         std::exp(-age / static_cast<double>(kFaultDecayTime.count()));
}

double Router::Cost(const Endpoint &endpoint,
                    double unknown_us) const noexcept {
  const double time =
      endpoint.response_time_us > 0 ? endpoint.response_time_us : unknown_us;
  const double beyond = std::max(0.0, this->Utilization(endpoint) - 1);
  const double far = endpoint.locality == Locality::kSameZone
                         ? 0
                         : static_cast<double>(this->options.zone_cost.count());
  // Own calls in progress are known at once, the reported load later.
  return time * (1 + endpoint.in_progress / std::max(1.0, endpoint.limit)) *
             (1 + 2 * beyond) * (1 + kFaultCost * this->FaultRate(endpoint)) /
             this->RampFraction(endpoint) +
         far;
}

const Router::Endpoint *Router::LowestCost(const Service &service,
                                           const Constraints &constraints,
                                           const CallTraits &call) {
  const double typical_us = service.times.Of(call.kind);
  if (typical_us > 0) {
    return this->SoonestEnd(service, constraints, call, typical_us);
  }
  std::vector<const Endpoint *> candidates;
  for (const auto &level : service.usable) {
    for (const Endpoint *endpoint : level) {
      if (constraints.Allows(*endpoint)) candidates.push_back(endpoint);
    }
  }
  while (candidates.size() > kMaxCompared) {
    candidates[this->random.Index(candidates.size())] = candidates.back();
    candidates.pop_back();
  }
  // A target without a measured time is assumed as fast as the fastest.
  double shortest = 0;
  for (const Endpoint *endpoint : candidates) {
    const double time = endpoint->response_time_us;
    if (time > 0 && (shortest == 0 || time < shortest)) shortest = time;
  }
  const Endpoint *best = nullptr;
  double least = 0;
  for (const Endpoint *endpoint : candidates) {
    // Many nodes choose at once; noise spreads them over near-equal targets.
    const double cost = this->Cost(*endpoint, shortest) *
                        (1 + kNoise * this->random.Fraction());
    if (best != nullptr && cost >= least) continue;
    best = endpoint;
    least = cost;
  }
  return best;
}

void Router::RecordReport(Service &service, Endpoint &endpoint,
                          const LoadReport &report, std::string_view kind) {
  const Time now = this->clock.Now();
  endpoint.limit = std::max<double>(1.0, report.limit);
  endpoint.reported = report.in_progress;
  endpoint.in_progress_at_report = endpoint.in_progress;
  const bool was_cold = this->IsCold(endpoint);
  endpoint.cold_until = now + std::chrono::milliseconds{report.cold_ms};
  // Response times of a cold target don't apply once it is warm.
  if (was_cold && report.cold_ms == 0) endpoint.response_time_us = 0;
  if (kind.empty() || report.service_us == 0) return;
  service.times.Learn(kind, report.service_us, report.kind_samples,
                      endpoint.speed);
  endpoint.slowness = std::max<double>(1, report.slowness) / 100;
  const double others = std::max(0.0, endpoint.reported - endpoint.in_progress);
  const double weight = 1 - std::exp(-Micros(now - endpoint.reported_at) /
                                     Micros(kLoadSmoothing));
  endpoint.others += weight * (others - endpoint.others);
  endpoint.reported_at = now;
}

double Router::ReportWeight(const Endpoint &endpoint) const noexcept {
  const double age = Micros(this->clock.Now() - endpoint.reported_at);
  const double half = Micros(kHalfReportAge);
  if (age <= half) return 1 - 0.5 * age / half;
  const double rest = Micros(kMaxReportAge) - age;
  return std::max(0.0, 0.5 * rest / Micros(kMaxReportAge - kHalfReportAge));
}

void Router::AddCandidates(const std::vector<Endpoint *> &level,
                           const Constraints &constraints, std::size_t count,
                           std::vector<Candidate> &candidates) {
  if (level.empty()) return;
  const std::size_t start = this->random.Index(level.size());
  for (std::size_t i = 0; i < level.size() && count > 0; ++i) {
    const Endpoint *endpoint = level[(start + i) % level.size()];
    if (!constraints.Allows(*endpoint)) continue;
    Candidate candidate;
    candidate.endpoint = endpoint;
    candidate.fresh = this->ReportWeight(*endpoint);
    const double room =
        std::max(1.0, endpoint->limit * this->RampFraction(*endpoint));
    candidate.load = (endpoint->in_progress + endpoint->others) / room;
    const double age = Micros(this->clock.Now() - endpoint->reported_at);
    const double turns = 1 + age / Micros(kLoadLifetime);
    candidate.recent =
        std::min(1.0, kRecentGain / (turns * turns * turns * turns));
    candidates.push_back(candidate);
    --count;
  }
}

void Router::CollectCandidates(const Service &service,
                               const Constraints &constraints,
                               const CallTraits &call, double typical_us) {
  std::vector<Candidate> &candidates = this->candidates;
  candidates.clear();
  this->AddCandidates(service.usable[0], constraints,
                      kMaxCompared - kMaxComparedFar, candidates);
  for (std::size_t i = 1; i < kLocalityLevels; ++i) {
    const std::size_t left = kMaxCompared - candidates.size();
    const std::size_t count =
        candidates.empty() ? left : std::min(left, kMaxComparedFar);
    this->AddCandidates(service.usable[i], constraints, count, candidates);
  }
  double response_us = 0;
  double responses = 0;
  double least_factor = 0;
  for (const Candidate &each : candidates) {
    const Endpoint &endpoint = *each.endpoint;
    if (!endpoint.speed.known) continue;
    const double factor = endpoint.speed.factor;
    if (least_factor == 0 || factor < least_factor) least_factor = factor;
    if (endpoint.response_time_us <= 0) continue;
    response_us += endpoint.response_time_us / factor;
    ++responses;
  }
  if (least_factor == 0) least_factor = 1;
  const double zone_us =
      std::max(Micros(this->options.zone_cost),
               kUnnoticedFraction * Micros(call.objective)) +
      kZoneUsPerKilobyte * static_cast<double>(call.body_bytes) / 1024;
  for (Candidate &each : candidates) {
    const Endpoint &endpoint = *each.endpoint;
    double factor = least_factor;
    if (endpoint.speed.known) {
      factor = endpoint.speed.factor;
    } else if (endpoint.response_time_us > 0 && responses > 0) {
      // Its node reports no times; own times tell how much slower it is.
      factor = endpoint.response_time_us * responses / response_us;
    }
    const double ramp = this->RampFraction(endpoint);
    each.us = typical_us * factor * (1 + each.fresh * (endpoint.slowness - 1)) *
              (1 + kFaultCost * this->FaultRate(endpoint)) / ramp;
    each.capacity = endpoint.limit * ramp / each.us;
    each.zone_us = endpoint.locality == Locality::kSameZone ? 0 : zone_us;
  }
}

const Router::Endpoint *Router::SoonestEnd(const Service &service,
                                           const Constraints &constraints,
                                           const CallTraits &call,
                                           double typical_us) {
  this->CollectCandidates(service, constraints, call, typical_us);
  double load = 0;
  double recent = 0;
  double capacity = 0;
  for (const Candidate &each : this->candidates) {
    load += each.load * each.capacity;
    recent += each.recent * each.capacity;
    capacity += each.capacity;
  }
  if (capacity <= 0) return nullptr;
  // Load changes within the time of a call, so an old report of it would send
  // all nodes to the same target.
  if (this->random.Chance(recent / capacity)) return this->LeastCost();
  return this->DrawByCapacity(load / capacity);
}

const Router::Endpoint *Router::LeastCost() {
  const Endpoint *best = nullptr;
  double least = 0;
  for (const Candidate &each : this->candidates) {
    const double busy =
        std::clamp((each.load - kBusy) / (kNearlyFull - kBusy), 0.0, 1.0);
    const double full = std::max(0.0, each.load - kNearlyFull) * kFullCost;
    // A busy target of the own zone is no better than one of another.
    const double zone_us = this->ZoneCost(each, each.load);
    const double cost =
        (each.us * (1 + kBusyCost * busy * busy + full) + zone_us) *
        (1 + kNoise * this->random.Fraction());
    if (best != nullptr && cost >= least) continue;
    best = each.endpoint;
    least = cost;
  }
  return best;
}

double Router::ZoneCost(const Candidate &candidate, double load) const {
  const double preferred =
      1 - std::clamp((load - kZoneBusy) / (kNearlyFull - kZoneBusy), 0.0, 1.0);
  return candidate.zone_us * preferred;
}

const Router::Endpoint *Router::DrawByCapacity(double load) {
  // Finds the cost at which the load that each target takes up to that cost
  // adds up to the load of all.
  double low = 0;
  double high = 0;
  for (const Candidate &each : this->candidates) {
    high = std::max(high, each.us + each.zone_us);
  }
  high *= 1 + kDrawCost;
  const double wanted = std::min(load, kNearlyFull);
  double sum = 0;
  for (int i = 0; i < kBisections; ++i) {
    const double cost = (low + high) / 2;
    double capacity = 0;
    sum = 0;
    for (Candidate &each : this->candidates) {
      const double us = each.us + this->ZoneCost(each, load);
      const double beyond = std::max(0.0, cost / us - 1) / kDrawCost;
      each.share = std::min(1.0, std::cbrt(beyond)) * each.capacity;
      sum += each.share;
      capacity += each.capacity;
    }
    (sum < wanted * capacity ? low : high) = cost;
  }
  double draw = this->random.Fraction() * sum;
  for (const Candidate &each : this->candidates) {
    draw -= each.share;
    if (draw < 0) return each.endpoint;
  }
  return this->LeastCost();
}

std::vector<PlacementView> Router::Placements() const {
  std::vector<PlacementView> views;
  for (const auto &[name, service] : this->services) {
    for (const auto &[node, endpoint] : service.endpoints) {
      if (!endpoint->speed.known) continue;
      views.push_back({name, node, endpoint->speed.factor, endpoint->slowness,
                       this->Utilization(*endpoint), endpoint->limit,
                       this->clock.Now() - endpoint->reported_at});
    }
  }
  return views;
}

}  // namespace pollenring
