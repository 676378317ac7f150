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
constexpr Duration kFaultMemory = std::chrono::seconds{3};
/*! @brief Calls' times that one failed call costs; a request makes some ten
 * calls, and one that fails wastes all of them. */
constexpr double kFaultCost = 12;
/*! @brief How long a target that is said to be cold is taken as such; its
 * answers tell the end of it. */
constexpr Duration kColdUntold = std::chrono::seconds{3};
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

bool Router::Withdraw(std::vector<std::string> given) {
  if (given == this->withdrawn) return false;
  this->withdrawn = std::move(given);
  return true;
}

bool Router::Choice::Allows(const Endpoint &endpoint) const {
  const bool tried = std::find(this->avoid.begin(), this->avoid.end(),
                               endpoint.node) != this->avoid.end();
  if (tried) return false;
  return this->regions.empty() ||
         std::find(this->regions.begin(), this->regions.end(),
                   endpoint.region) != this->regions.end();
}

bool Router::Cold(const Endpoint &endpoint) const noexcept {
  return endpoint.cold_until > this->clock.Now();
}

bool Router::HasWarm(const std::string &service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  const auto &usable = found->second.usable;
  return std::any_of(usable.begin(), usable.end(), [this](const auto &level) {
    return std::any_of(
        level.begin(), level.end(),
        [this](const Endpoint *endpoint) { return !this->Cold(*endpoint); });
  });
}

void Router::Update(const Member &member) {
  std::vector<std::string> wanted;
  const bool used = std::find(this->withdrawn.begin(), this->withdrawn.end(),
                              member.zone) == this->withdrawn.end();
  if (member.state == MemberState::kAlive && used) {
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
                                     const std::vector<NodeId> &avoid,
                                     const std::vector<std::string> &regions) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return std::nullopt;
  Service &service = found->second;
  const Choice choice{avoid, regions};
  if (const Endpoint *trial = this->DueTrial(service, choice)) {
    return trial->node;
  }
  if (this->options.order == LoadBalancingPolicy::kLeastLatency) {
    const Endpoint *soonest = this->Soonest(service, choice);
    if (soonest != nullptr) return soonest->node;
    return SetAsideLongest(service, choice);
  }
  const Endpoint *best = nullptr;
  for (const auto &level : service.usable) {
    const Endpoint *candidate = this->Sample(level, choice);
    if (candidate == nullptr) continue;
    if (this->Utilisation(*candidate) < 1.0) return candidate->node;
    const bool better = best == nullptr || this->Utilisation(*candidate) <
                                               this->Utilisation(*best);
    if (better) best = candidate;
  }
  if (best == nullptr) return SetAsideLongest(service, choice);
  return best->node;
}

std::optional<NodeId> Router::SetAsideLongest(const Service &service,
                                              const Choice &choice) {
  const std::vector<NodeId> none;
  const Choice untried{none, choice.regions};
  const bool any_usable =
      std::any_of(service.usable.begin(), service.usable.end(),
                  [&untried](const auto &level) {
                    return std::any_of(level.begin(), level.end(),
                                       [&untried](const Endpoint *endpoint) {
                                         return untried.Allows(*endpoint);
                                       });
                  });
  // While another target is usable, those set aside get trials only.
  if (any_usable) return std::nullopt;
  for (const auto &[until, node] : service.ejected) {
    if (choice.Allows(*service.endpoints.at(node))) return node;
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
                      const std::optional<LoadReport> &report, Duration took) {
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
    const bool was_cold = this->Cold(endpoint);
    endpoint.cold_until =
        this->clock.Now() + std::chrono::milliseconds{report->cold_ms};
    // Times of a cold target say nothing of it once it is warm.
    if (was_cold && report->cold_ms == 0) endpoint.time_us = 0;
  }
  if (took > Duration{0}) {
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

Router::Locality Router::LocalityOf(const Member &member) const noexcept {
  if (member.region != this->region) return Locality::kOther;
  return member.zone == this->zone ? Locality::kSameZone
                                   : Locality::kSameRegion;
}

double Router::RampFraction(const Endpoint &endpoint) const noexcept {
  if (this->Cold(endpoint)) return this->options.ramp_floor;
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
  const double far = endpoint.nearness == Locality::kSameZone
                         ? 0
                         : static_cast<double>(this->options.zone_cost.count());
  // Own calls under way there are known at once, its reported load later.
  return time * (1 + endpoint.in_progress / std::max(1.0, endpoint.limit)) *
             (1 + 2 * beyond) * (1 + kFaultCost * this->FaultShare(endpoint)) /
             this->RampFraction(endpoint) +
         far;
}

const Router::Endpoint *Router::Soonest(const Service &service,
                                        const Choice &choice) {
  std::vector<const Endpoint *> compared;
  for (const auto &level : service.usable) {
    for (const Endpoint *endpoint : level) {
      if (choice.Allows(*endpoint)) compared.push_back(endpoint);
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
                                 const Choice &choice) {
  if (from.empty()) return nullptr;
  const std::size_t draws =
      std::min(from.size(), this->options.choices + choice.avoid.size());
  const std::size_t start = this->random.Index(from.size());
  const std::size_t step =
      from.size() > 1 ? 1 + this->random.Index(from.size() - 1) : 1;
  Endpoint *best = nullptr;
  for (std::size_t i = 0; i < draws; ++i) {
    Endpoint *candidate = from[(start + i * step) % from.size()];
    if (!choice.Allows(*candidate)) continue;
    const bool better = best == nullptr || this->Utilisation(*candidate) <
                                               this->Utilisation(*best);
    if (better) best = candidate;
  }
  return best;
}

Router::Endpoint *Router::DueTrial(Service &service, const Choice &choice) {
  if (service.ejected.empty()) return nullptr;
  const auto first = service.ejected.begin();
  if (first->first > this->clock.Now()) return nullptr;
  Endpoint *endpoint = service.endpoints.at(first->second).get();
  if (!choice.Allows(*endpoint)) return nullptr;
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
    slot->nearness = this->LocalityOf(member);
    slot->region = member.region;
    slot->limit = std::max<double>(1.0, target.slots);
    slot->ejection = this->options.first_ejection;
    Link(service, *slot);
  }
  const bool cold = target.state == TargetState::kCold;
  const Time now = this->clock.Now();
  if (!cold) slot->cold_until = std::min(slot->cold_until, now);
  if (cold && !this->Cold(*slot)) slot->cold_until = now + kColdUntold;
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
  const Duration wait{static_cast<std::int64_t>(
      static_cast<double>(endpoint.ejection.count()) * jitter)};
  endpoint.ejected_until = this->clock.Now() + wait;
  this->changes.push_back({name, endpoint.node, true, endpoint.failures, wait});
  service.ejected.emplace(endpoint.ejected_until, endpoint.node);
  endpoint.ejection =
      std::min(endpoint.ejection * 2, this->options.longest_ejection);
}

void Router::Restore(const std::string &name, Service &service,
                     Endpoint &endpoint) {
  this->changes.push_back({name, endpoint.node, false, 0, Duration{0}});
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
