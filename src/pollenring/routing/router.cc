#include "pollenring/routing/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenring {
namespace {

/*! @brief Weight of one answer's time; some ten answers make the mean. */
constexpr double kTimeWeight = 0.1;
/*! @brief Weight of one call's end in the part that fails. */
constexpr double kFaultWeight = 0.1;
/*! @brief Time after which a share of faults that nothing confirms counts as a
 * third of it, so that a target that is well again is tried again. */
constexpr Span kFaultMemory = std::chrono::seconds{3};
/*! @brief Calls' times that one failed call costs; a request makes some ten
 * calls, and one that fails wastes all of them. */
constexpr double kFaultCost = 12;
/*! @brief Targets of a service among which all are compared; beyond, so many
 * are drawn. */
constexpr std::size_t kMostCompared = 8;

}  // namespace

Router::Router(std::string zone, std::string region,
               const RouterOptions &options, const Clock &clock, Random &random)
    : zone{std::move(zone)},
      region{std::move(region)},
      options{options},
      clock{clock},
      random{random} {}

void Router::Update(const Member &member) {
  std::vector<std::string> wanted;
  if (member.state == MemberState::kAlive) {
    for (const auto &target : member.targets) {
      if (target.state == TargetState::kDraining) continue;
      wanted.push_back(target.service);
      this->Add(this->services[target.service], member, target);
    }
  }
  for (const auto &name : this->served_by[member.id]) {
    const bool kept =
        std::find(wanted.begin(), wanted.end(), name) != wanted.end();
    if (!kept) this->Remove(name, member.id);
  }
  if (wanted.empty()) {
    this->served_by.erase(member.id);
    return;
  }
  this->served_by[member.id] = std::move(wanted);
}

std::optional<NodeId> Router::Choose(const std::string &name,
                                     const std::vector<NodeId> &avoid) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return std::nullopt;
  Service &service = found->second;
  if (const Endpoint *trial = this->DueTrial(service, avoid)) {
    return trial->node;
  }
  if (this->options.order == RouteOrder::kSoonest) {
    const Endpoint *soonest = this->Soonest(service, avoid);
    if (soonest != nullptr) return soonest->node;
    return SetAsideLongest(service, avoid);
  }
  const Endpoint *best = nullptr;
  for (const auto &level : service.usable) {
    const Endpoint *candidate = this->Sample(level, avoid);
    if (candidate == nullptr) continue;
    if (this->Utilisation(*candidate) < 1.0) return candidate->node;
    const bool better = best == nullptr || this->Utilisation(*candidate) <
                                               this->Utilisation(*best);
    if (better) best = candidate;
  }
  if (best == nullptr) return SetAsideLongest(service, avoid);
  return best->node;
}

std::optional<NodeId> Router::SetAsideLongest(
    const Service &service, const std::vector<NodeId> &avoid) {
  const bool any_usable =
      std::any_of(service.usable.begin(), service.usable.end(),
                  [](const auto &level) { return !level.empty(); });
  // While another target is usable, those set aside get trials only.
  if (any_usable) return std::nullopt;
  for (const auto &[until, node] : service.ejected) {
    const bool tried =
        std::find(avoid.begin(), avoid.end(), node) != avoid.end();
    if (!tried) return node;
  }
  return std::nullopt;
}

void Router::Started(const std::string &name, NodeId node) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return;
  const auto endpoint = found->second.endpoints.find(node);
  if (endpoint == found->second.endpoints.end()) return;
  ++endpoint->second->in_progress;
}

void Router::Finished(const std::string &name, NodeId node, CallVerdict verdict,
                      const std::optional<LoadReport> &report, Span took) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return;
  Service &service = found->second;
  const auto held = service.endpoints.find(node);
  if (held == service.endpoints.end()) return;
  Endpoint &endpoint = *held->second;
  if (endpoint.in_progress > 0) --endpoint.in_progress;
  if (report) {
    endpoint.limit = std::max<double>(1.0, report->limit);
    endpoint.reported = report->in_progress;
    endpoint.in_progress_at_report = endpoint.in_progress;
  }
  if (took > Span{0}) {
    const auto us = static_cast<double>(took.count());
    if (endpoint.time_us == 0) endpoint.time_us = us;
    endpoint.time_us += kTimeWeight * (us - endpoint.time_us);
  }
  if (verdict != CallVerdict::kShed) {
    const bool fault = verdict != CallVerdict::kAnswered;
    const double share = this->FaultShare(endpoint);
    endpoint.fault_share = share + kFaultWeight * ((fault ? 1 : 0) - share);
    endpoint.fault_seen = this->clock.Now();
  }
  if (verdict == CallVerdict::kFailed) {
    ++endpoint.failures;
    const bool eject = endpoint.ejected ||
                       endpoint.failures >= this->options.failures_to_eject;
    if (eject) this->Eject(name, service, endpoint);
    return;
  }
  endpoint.failures = 0;
  if (endpoint.ejected) this->Restore(name, service, endpoint);
}

std::size_t Router::Count(const std::string &service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.endpoints.size();
}

Router::Nearness Router::NearnessOf(const Member &member) const noexcept {
  if (member.region != this->region) return Nearness::kFar;
  return member.zone == this->zone ? Nearness::kZone : Nearness::kRegion;
}

double Router::RampFraction(const Endpoint &endpoint) const noexcept {
  if (endpoint.cold) return this->options.ramp_floor;
  if (endpoint.ramp_from == Time{}) return 1.0;
  const double age =
      static_cast<double>((this->clock.Now() - endpoint.ramp_from).count()) /
      static_cast<double>(this->options.ramp.count());
  return std::clamp(age, this->options.ramp_floor, 1.0);
}

double Router::Utilisation(const Endpoint &endpoint) const noexcept {
  const int since_report =
      endpoint.in_progress - endpoint.in_progress_at_report;
  const double load =
      std::max<double>(endpoint.in_progress, endpoint.reported + since_report);
  const double room =
      std::max(1.0, endpoint.limit * this->RampFraction(endpoint));
  return load / room;
}

double Router::FaultShare(const Endpoint &endpoint) const noexcept {
  const auto age =
      static_cast<double>((this->clock.Now() - endpoint.fault_seen).count());
  return endpoint.fault_share *
         std::exp(-age / static_cast<double>(kFaultMemory.count()));
}

double Router::Cost(const Endpoint &endpoint,
                    double unknown_us) const noexcept {
  const double time = endpoint.time_us > 0 ? endpoint.time_us : unknown_us;
  const double beyond = std::max(0.0, this->Utilisation(endpoint) - 1);
  const double far = endpoint.nearness == Nearness::kZone
                         ? 0
                         : static_cast<double>(this->options.zone_cost.count());
  // Own calls under way there are known at once, its reported load later.
  return time * (1 + endpoint.in_progress / std::max(1.0, endpoint.limit)) *
             (1 + 2 * beyond) * (1 + kFaultCost * this->FaultShare(endpoint)) /
             this->RampFraction(endpoint) +
         far;
}

const Router::Endpoint *Router::Soonest(const Service &service,
                                        const std::vector<NodeId> &avoid) {
  std::vector<const Endpoint *> compared;
  for (const auto &level : service.usable) {
    for (const Endpoint *endpoint : level) {
      const bool tried =
          std::find(avoid.begin(), avoid.end(), endpoint->node) != avoid.end();
      if (!tried) compared.push_back(endpoint);
    }
  }
  while (compared.size() > kMostCompared) {
    compared[this->random.Index(compared.size())] = compared.back();
    compared.pop_back();
  }
  // One that has not answered yet is taken for as good as the best.
  double shortest = 0;
  for (const Endpoint *endpoint : compared) {
    const double time = endpoint->time_us;
    if (time > 0 && (shortest == 0 || time < shortest)) shortest = time;
  }
  const Endpoint *best = nullptr;
  double least = 0;
  for (const Endpoint *endpoint : compared) {
    // Many nodes choose at once: near equals are to be told apart at random.
    const double cost =
        this->Cost(*endpoint, shortest) * (1 + 0.2 * this->random.Fraction());
    if (best != nullptr && cost >= least) continue;
    best = endpoint;
    least = cost;
  }
  return best;
}

Router::Endpoint *Router::Sample(const std::vector<Endpoint *> &from,
                                 const std::vector<NodeId> &avoid) {
  if (from.empty()) return nullptr;
  const std::size_t draws =
      std::min(from.size(), this->options.choices + avoid.size());
  const std::size_t start = this->random.Index(from.size());
  const std::size_t step =
      from.size() > 1 ? 1 + this->random.Index(from.size() - 1) : 1;
  Endpoint *best = nullptr;
  for (std::size_t i = 0; i < draws; ++i) {
    Endpoint *candidate = from[(start + i * step) % from.size()];
    const bool tried =
        std::find(avoid.begin(), avoid.end(), candidate->node) != avoid.end();
    if (tried) continue;
    const bool better = best == nullptr || this->Utilisation(*candidate) <
                                               this->Utilisation(*best);
    if (better) best = candidate;
  }
  return best;
}

Router::Endpoint *Router::DueTrial(Service &service,
                                   const std::vector<NodeId> &avoid) {
  if (service.ejected.empty()) return nullptr;
  const auto first = service.ejected.begin();
  if (first->first > this->clock.Now()) return nullptr;
  Endpoint *endpoint = service.endpoints.at(first->second).get();
  const bool tried =
      std::find(avoid.begin(), avoid.end(), endpoint->node) != avoid.end();
  if (tried) return nullptr;
  // One call goes there; the next trial waits for its end or a full ejection.
  service.ejected.erase(first);
  endpoint->ejected_until = this->clock.Now() + endpoint->ejection;
  service.ejected.emplace(endpoint->ejected_until, endpoint->node);
  return endpoint;
}

void Router::Add(Service &service, const Member &member, const Target &target) {
  auto &slot = service.endpoints[member.id];
  const bool fresh = !slot;
  if (fresh) {
    slot = std::make_unique<Endpoint>();
    slot->node = member.id;
    slot->nearness = this->NearnessOf(member);
    slot->limit = std::max<double>(1.0, target.slots);
    slot->ejection = this->options.first_ejection;
    Link(service, *slot);
  }
  const bool cold = target.state == TargetState::kCold;
  if (slot->cold && !cold) slot->ramp_from = this->clock.Now();
  slot->cold = cold;
}

void Router::Remove(const std::string &name, NodeId node) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return;
  Service &service = found->second;
  const auto held = service.endpoints.find(node);
  if (held == service.endpoints.end()) return;
  if (!held->second->ejected) Unlink(service, *held->second);
  DropTrials(service, node);
  service.endpoints.erase(held);
}

void Router::Eject(const std::string &name, Service &service,
                   Endpoint &endpoint) {
  if (!endpoint.ejected) Unlink(service, endpoint);
  DropTrials(service, endpoint.node);
  endpoint.ejected = true;
  const double jitter = 0.75 + 0.5 * this->random.Fraction();
  const Span wait{static_cast<std::int64_t>(
      static_cast<double>(endpoint.ejection.count()) * jitter)};
  endpoint.ejected_until = this->clock.Now() + wait;
  this->changes.push_back({name, endpoint.node, true, endpoint.failures, wait});
  service.ejected.emplace(endpoint.ejected_until, endpoint.node);
  endpoint.ejection =
      std::min(endpoint.ejection * 2, this->options.longest_ejection);
}

void Router::Restore(const std::string &name, Service &service,
                     Endpoint &endpoint) {
  this->changes.push_back({name, endpoint.node, false, 0, Span{0}});
  DropTrials(service, endpoint.node);
  endpoint.ejected = false;
  endpoint.ejection = this->options.first_ejection;
  endpoint.ramp_from = this->clock.Now();
  Link(service, endpoint);
}

void Router::Link(Service &service, Endpoint &endpoint) {
  auto &level = service.usable[static_cast<std::size_t>(endpoint.nearness)];
  endpoint.position = level.size();
  level.push_back(&endpoint);
}

void Router::Unlink(Service &service, Endpoint &endpoint) {
  auto &level = service.usable[static_cast<std::size_t>(endpoint.nearness)];
  level[endpoint.position] = level.back();
  level[endpoint.position]->position = endpoint.position;
  level.pop_back();
}

void Router::DropTrials(Service &service, NodeId node) {
  for (auto it = service.ejected.begin(); it != service.ejected.end();) {
    it = it->second == node ? service.ejected.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
