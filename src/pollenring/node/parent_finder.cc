#include "pollenring/node/parent_finder.h"

#include <iterator>
#include <vector>

namespace pollenring {
namespace {

/*! @brief Maximum difference between the deadlines of a call and its parent:
 * both are sent as integral milliseconds, and messages within a VM take less
 * than one. */
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds{4};
/*! @brief Candidates per draw; a target runs a few dozen requests at once. */
constexpr std::size_t kMaxCandidates = 64;

}  // namespace

void ParentFinder::Add(std::uint64_t id, const std::string &kind, Time deadline,
                       Time now) {
  this->attribution.Begin(kind, now);
  this->running[id] = {deadline, now, 0, kind};
  this->by_deadline.emplace(deadline, id);
  this->working.emplace(now, id);
}

ParentFinder::OrderedByTime &ParentFinder::SetOf(const Running &request) {
  return request.calls > 0 ? this->waiting : this->working;
}

void ParentFinder::RemoveFromSet(std::uint64_t id, const Running &request) {
  this->SetOf(request).erase({request.since, id});
}

void ParentFinder::Remove(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  this->attribution.End(found->second.kind, now);
  this->RemoveFromSet(id, found->second);
  this->by_deadline.erase({found->second.deadline, id});
  this->running.erase(found);
}

void ParentFinder::BeginCall(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  Running &request = found->second;
  this->RemoveFromSet(id, request);
  ++request.calls;
  request.since = now;
  this->waiting.emplace(now, id);
}

void ParentFinder::EndCall(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.calls == 0) return;
  Running &request = found->second;
  this->RemoveFromSet(id, request);
  --request.calls;
  request.since = now;
  this->SetOf(request).emplace(now, id);
}

std::optional<std::uint64_t> ParentFinder::FindByDeadline(Time deadline) const {
  const auto after = this->by_deadline.lower_bound({deadline, 0});
  std::optional<std::uint64_t> nearest;
  Duration distance = kDeadlineTolerance + Duration{1};
  if (after != this->by_deadline.end() && after->first - deadline < distance) {
    nearest = after->second;
    distance = after->first - deadline;
  }
  if (after == this->by_deadline.begin()) return nearest;
  const auto before = std::prev(after);
  if (deadline - before->first < distance) nearest = before->second;
  return nearest;
}

double ParentFinder::WeightOf(const std::string &kind,
                              const std::string &callee) const {
  const auto fraction = this->attribution.FractionOf(kind, callee);
  return fraction ? *fraction / this->attribution.MeanRunning(kind) : 1;
}

std::optional<std::uint64_t> ParentFinder::Draw(Time deadline,
                                                const std::string &callee) {
  struct Candidate {
    std::uint64_t id;
    double weight;
  };
  std::vector<Candidate> candidates;
  double total = 0;
  for (auto it = this->working.rbegin(); it != this->working.rend(); ++it) {
    const Running &request = this->running.at(it->second);
    if (request.deadline + kDeadlineTolerance < deadline) continue;
    const double weight = this->WeightOf(request.kind, callee);
    candidates.push_back({it->second, weight});
    total += weight;
    if (candidates.size() >= kMaxCandidates) break;
  }
  if (candidates.empty()) return std::nullopt;
  double left = this->random.Fraction() * total;
  for (const auto &candidate : candidates) {
    left -= candidate.weight;
    if (left < 0) return candidate.id;
  }
  return candidates.back().id;
}

std::optional<std::uint64_t> ParentFinder::Find(Time deadline,
                                                const std::string &callee,
                                                Time now) {
  this->attribution.RecordCall(callee, now);
  if (const auto nearest = this->FindByDeadline(deadline)) return nearest;
  if (const auto drawn = this->Draw(deadline, callee)) return drawn;
  // A request that makes calls in parallel has just started the first of them.
  if (this->waiting.empty()) return std::nullopt;
  return this->waiting.rbegin()->second;
}

}  // namespace pollenring
