#include "pollenring/node/parent_finder.h"

#include <iterator>
#include <vector>

namespace pollenring {
namespace {

/*! @brief Most by which a call's deadline is off its parent's: both are told in
 * whole milliseconds, and messages within a VM take less than one. */
constexpr Span kTolerance = std::chrono::milliseconds{4};
/*! @brief Candidates of a draw; a target works on a few dozen at once. */
constexpr std::size_t kMostCandidates = 64;
/*! @brief Calls after which what was learnt before counts half. */
constexpr double kRemembered = 400;
/*! @brief Kinds that are remembered; routes of one service are fewer. */
constexpr std::size_t kMostKinds = 1024;

}  // namespace

void ParentFinder::Add(std::uint64_t id, const std::string &kind, Time deadline,
                       Time now) {
  const bool full = this->kinds.size() >= kMostKinds;
  if (full && this->running.empty()) this->kinds.clear();
  this->running[id] = {deadline, now, 0, &this->kinds[kind]};
  this->by_deadline.emplace(deadline, id);
  this->working.emplace(now, id);
}

ParentFinder::Ordered &ParentFinder::PlaceOf(const Running &request) {
  return request.calls > 0 ? this->waiting : this->working;
}

void ParentFinder::Worked(Kind &kind, Span time) {
  kind.seconds += std::chrono::duration<double>{time}.count();
  if (kind.calls < kRemembered) return;
  kind.calls /= 2;
  kind.seconds /= 2;
}

void ParentFinder::Leave(std::uint64_t id, const Running &request, Time now) {
  this->PlaceOf(request).erase({request.since, id});
  if (request.calls == 0) Worked(*request.kind, now - request.since);
}

void ParentFinder::Remove(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  this->Leave(id, found->second, now);
  this->by_deadline.erase({found->second.deadline, id});
  this->running.erase(found);
}

void ParentFinder::CallBegun(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  Running &request = found->second;
  this->Leave(id, request, now);
  ++request.calls;
  request.since = now;
  this->waiting.emplace(now, id);
}

void ParentFinder::CallEnded(std::uint64_t id, Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.calls == 0) return;
  Running &request = found->second;
  this->Leave(id, request, now);
  --request.calls;
  request.since = now;
  this->PlaceOf(request).emplace(now, id);
}

std::optional<std::uint64_t> ParentFinder::Nearest(Time deadline) const {
  const auto after = this->by_deadline.lower_bound({deadline, 0});
  std::optional<std::uint64_t> nearest;
  Span distance = kTolerance + Span{1};
  if (after != this->by_deadline.end() && after->first - deadline < distance) {
    nearest = after->second;
    distance = after->first - deadline;
  }
  if (after == this->by_deadline.begin()) return nearest;
  const auto before = std::prev(after);
  if (deadline - before->first < distance) nearest = before->second;
  return nearest;
}

std::optional<std::uint64_t> ParentFinder::Draw(Time deadline) {
  struct Candidate {
    std::uint64_t id;
    Kind *kind;
    double weight;
  };
  std::vector<Candidate> candidates;
  double total = 0;
  for (auto it = this->working.rbegin(); it != this->working.rend(); ++it) {
    const Running &request = this->running.at(it->second);
    if (request.deadline + kTolerance < deadline) continue;
    const double weight = request.kind->Rate();
    candidates.push_back({it->second, request.kind, weight});
    total += weight;
    if (candidates.size() >= kMostCandidates) break;
  }
  if (candidates.empty()) return std::nullopt;
  double left = this->random.Fraction() * total;
  std::uint64_t drawn = candidates.back().id;
  bool found = false;
  for (const auto &candidate : candidates) {
    // Each takes its part of the call, however the draw ends.
    candidate.kind->calls += candidate.weight / total;
    left -= candidate.weight;
    if (found || left >= 0) continue;
    drawn = candidate.id;
    found = true;
  }
  return drawn;
}

std::optional<std::uint64_t> ParentFinder::Find(Time deadline) {
  if (const auto nearest = this->Nearest(deadline)) {
    this->running.at(*nearest).kind->calls += 1;
    return nearest;
  }
  if (const auto drawn = this->Draw(deadline)) return drawn;
  // One that makes several calls at once has just begun the first of them.
  if (this->waiting.empty()) return std::nullopt;
  return this->waiting.rbegin()->second;
}

}  // namespace pollenring
