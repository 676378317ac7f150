#include "pollenring/routing/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Weight of one response time; the mean spans about ten responses. */
constexpr double kTimeWeight = 0.1;
/*! @brief Weight of one call's outcome in the fault rate. */
constexpr double kFaultWeight = 0.1;
/*! @brief How long a target advertised as cold is assumed to be; its replies
 * report the remaining time. */
constexpr Duration kAssumedColdTime = std::chrono::seconds{3};

}  // namespace

Router::Router(std::string zone, std::string region,
               const RouterOptions &options, const Clock &clock, Random &random)
    : zone{std::move(zone)},
      region{std::move(region)},
      options{options},
      clock{clock},
      random{random} {}

bool Router::SetWithdrawnZones(std::vector<std::string> given) {
  if (given == this->withdrawn) return false;
  this->withdrawn = std::move(given);
  return true;
}

bool Router::Constraints::Allows(const Endpoint &endpoint) const {
  const bool tried = std::find(this->avoid.begin(), this->avoid.end(),
                               endpoint.node) != this->avoid.end();
  if (tried) return false;
  return this->regions.empty() ||
         std::find(this->regions.begin(), this->regions.end(),
                   endpoint.region) != this->regions.end();
}

bool Router::IsCold(const Endpoint &endpoint) const noexcept {
  return endpoint.cold_until > this->clock.Now();
}

bool Router::HasWarmTarget(const std::string &service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  const auto &usable = found->second.usable;
  return std::any_of(usable.begin(), usable.end(), [this](const auto &level) {
    return std::any_of(
        level.begin(), level.end(),
        [this](const Endpoint *endpoint) { return !this->IsCold(*endpoint); });
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
  for (const auto &name : this->services_by_node[member.id]) {
    const bool kept =
        std::find(wanted.begin(), wanted.end(), name) != wanted.end();
    if (!kept) this->Remove(name, member.id);
  }
  if (wanted.empty()) {
    this->services_by_node.erase(member.id);
    return;
  }
  this->services_by_node[member.id] = std::move(wanted);
}

std::optional<NodeId> Router::Choose(const std::string &name,
                                     const std::vector<NodeId> &avoid,
                                     const std::vector<std::string> &regions,
                                     const CallTraits &call) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return std::nullopt;
  Service &service = found->second;
  const Constraints constraints{avoid, regions};
  if (const Endpoint *trial = this->DueTrial(service, constraints)) {
    return trial->node;
  }
  if (this->options.order == LoadBalancingPolicy::kLeastLatency) {
    const Endpoint *cheapest = this->LowestCost(service, constraints, call);
    if (cheapest != nullptr) return cheapest->node;
    return NextDueEjected(service, constraints);
  }
  const Endpoint *best = nullptr;
  for (const auto &level : service.usable) {
    const Endpoint *candidate = this->Sample(level, constraints);
    if (candidate == nullptr) continue;
    if (this->Utilization(*candidate) < 1.0) return candidate->node;
    const bool better = best == nullptr || this->Utilization(*candidate) <
                                               this->Utilization(*best);
    if (better) best = candidate;
  }
  if (best == nullptr) return NextDueEjected(service, constraints);
  return best->node;
}

std::optional<NodeId> Router::ChooseByKey(
    const std::string &name, std::uint64_t key,
    const std::vector<NodeId> &avoid,
    const std::vector<std::string> &regions) const {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return std::nullopt;
  const Constraints constraints{avoid, regions};
  std::optional<NodeId> chosen;
  std::uint64_t highest = 0;
  for (const auto &level : found->second.usable) {
    for (const Endpoint *endpoint : level) {
      const std::uint64_t weight = HashNumber(endpoint->node, key);
      const bool higher = !chosen || weight > highest;
      if (!higher || !constraints.Allows(*endpoint)) continue;
      chosen = endpoint->node;
      highest = weight;
    }
  }
  return chosen;
}

std::optional<NodeId> Router::NextDueEjected(const Service &service,
                                             const Constraints &constraints) {
  const std::vector<NodeId> none;
  const Constraints untried{none, constraints.regions};
  const bool any_usable =
      std::any_of(service.usable.begin(), service.usable.end(),
                  [&untried](const auto &level) {
                    return std::any_of(level.begin(), level.end(),
                                       [&untried](const Endpoint *endpoint) {
                                         return untried.Allows(*endpoint);
                                       });
                  });
  // While another target is usable, ejected ones get trial calls only.
  if (any_usable) return std::nullopt;
  for (const auto &[until, node] : service.ejected) {
    if (constraints.Allows(*service.endpoints.at(node))) return node;
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
                      const std::optional<LoadReport> &report,
                      Duration response_time, std::string_view kind) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return;
  Service &service = found->second;
  const auto held = service.endpoints.find(node);
  if (held == service.endpoints.end()) return;
  Endpoint &endpoint = *held->second;
  if (endpoint.in_progress > 0) --endpoint.in_progress;
  if (report) this->RecordReport(service, endpoint, *report, kind);
  if (response_time > Duration{0}) {
    const auto us = static_cast<double>(response_time.count());
    if (endpoint.response_time_us == 0) endpoint.response_time_us = us;
    endpoint.response_time_us += kTimeWeight * (us - endpoint.response_time_us);
  }
  if (verdict != CallVerdict::kShed) {
    const bool fault = verdict != CallVerdict::kAnswered;
    const double rate = this->FaultRate(endpoint);
    endpoint.fault_rate = rate + kFaultWeight * ((fault ? 1 : 0) - rate);
    endpoint.fault_updated_at = this->clock.Now();
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

std::size_t Router::TargetCount(const std::string &service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.endpoints.size();
}

Router::Locality Router::LocalityOf(const Member &member) const noexcept {
  if (member.region != this->region) return Locality::kOther;
  return member.zone == this->zone ? Locality::kSameZone
                                   : Locality::kSameRegion;
}

Router::Endpoint *Router::Sample(const std::vector<Endpoint *> &from,
                                 const Constraints &constraints) {
  if (from.empty()) return nullptr;
  const std::size_t draws =
      std::min(from.size(), this->options.choices + constraints.avoid.size());
  const std::size_t start = this->random.Index(from.size());
  const std::size_t step =
      from.size() > 1 ? 1 + this->random.Index(from.size() - 1) : 1;
  Endpoint *best = nullptr;
  for (std::size_t i = 0; i < draws; ++i) {
    Endpoint *candidate = from[(start + i * step) % from.size()];
    if (!constraints.Allows(*candidate)) continue;
    const bool better = best == nullptr || this->Utilization(*candidate) <
                                               this->Utilization(*best);
    if (better) best = candidate;
  }
  return best;
}

Router::Endpoint *Router::DueTrial(Service &service,
                                   const Constraints &constraints) {
  if (service.ejected.empty()) return nullptr;
  const auto first = service.ejected.begin();
  if (first->first > this->clock.Now()) return nullptr;
  Endpoint *endpoint = service.endpoints.at(first->second).get();
  if (!constraints.Allows(*endpoint)) return nullptr;
  // One trial call; the next waits for its end or a full ejection time.
  service.ejected.erase(first);
  endpoint->ejected_until = this->clock.Now() + endpoint->ejection;
  service.ejected.emplace(endpoint->ejected_until, endpoint->node);
  return endpoint;
}

void Router::Add(Service &service, const Member &member, const Target &target) {
  auto &slot = service.endpoints[member.id];
  const bool added = !slot;
  if (added) {
    slot = std::make_unique<Endpoint>();
    slot->node = member.id;
    slot->locality = this->LocalityOf(member);
    slot->region = member.region;
    slot->limit = std::max<double>(1.0, target.slots);
    slot->ejection = this->options.initial_ejection;
    Link(service, *slot);
  }
  const bool cold = target.state == TargetState::kCold;
  const Time now = this->clock.Now();
  if (!cold) slot->cold_until = std::min(slot->cold_until, now);
  if (cold && !this->IsCold(*slot)) slot->cold_until = now + kAssumedColdTime;
}

void Router::Remove(const std::string &name, NodeId node) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) return;
  Service &service = found->second;
  const auto held = service.endpoints.find(node);
  if (held == service.endpoints.end()) return;
  if (!held->second->ejected) Unlink(service, *held->second);
  RemoveEjection(service, node);
  service.endpoints.erase(held);
}

void Router::Eject(const std::string &name, Service &service,
                   Endpoint &endpoint) {
  if (!endpoint.ejected) Unlink(service, endpoint);
  RemoveEjection(service, endpoint.node);
  endpoint.ejected = true;
  const double jitter = 0.75 + 0.5 * this->random.Fraction();
  const Duration wait{static_cast<std::int64_t>(
      static_cast<double>(endpoint.ejection.count()) * jitter)};
  endpoint.ejected_until = this->clock.Now() + wait;
  this->changes.push_back({name, endpoint.node, true, endpoint.failures, wait});
  service.ejected.emplace(endpoint.ejected_until, endpoint.node);
  endpoint.ejection =
      std::min(endpoint.ejection * 2, this->options.max_ejection);
}

void Router::Restore(const std::string &name, Service &service,
                     Endpoint &endpoint) {
  this->changes.push_back({name, endpoint.node, false, 0, Duration{0}});
  RemoveEjection(service, endpoint.node);
  endpoint.ejected = false;
  endpoint.ejection = this->options.initial_ejection;
  endpoint.ramp_from = this->clock.Now();
  Link(service, endpoint);
}

void Router::Link(Service &service, Endpoint &endpoint) {
  auto &level = service.usable[static_cast<std::size_t>(endpoint.locality)];
  endpoint.index = level.size();
  level.push_back(&endpoint);
}

void Router::Unlink(Service &service, Endpoint &endpoint) {
  auto &level = service.usable[static_cast<std::size_t>(endpoint.locality)];
  level[endpoint.index] = level.back();
  level[endpoint.index]->index = endpoint.index;
  level.pop_back();
}

void Router::RemoveEjection(Service &service, NodeId node) {
  for (auto it = service.ejected.begin(); it != service.ejected.end();) {
    it = it->second == node ? service.ejected.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
