#include "support/fleet_journal.h"

#include <algorithm>

namespace support {
namespace {

using namespace std::chrono_literals;
using pollenring::CallError;
using pollenring::Duration;
using pollenring::Time;

constexpr Time kOngoing = Time::max();
constexpr Duration kCloseRaceTime = 200ms;
constexpr Duration kQuotaWindow = 5s;
constexpr double kQuotaTolerance = 0.1;
constexpr double kQuotaSlack = 20;
constexpr std::int64_t kDeadlineSlackMs = 500;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

/*! @return True if a status guarantees that the request is never executed. */
[[nodiscard]] bool ImpliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

[[nodiscard]] std::string Describe(const std::string &id,
                                   const FleetCall &call) {
  const std::string outcome =
      call.error ? std::string{pollenring::kCallErrorNames.Name(*call.error)}
                 : std::to_string(call.status);
  return call.service + " " + id + " at node " + std::to_string(call.entry) +
         " (" + call.build + "): " + outcome + " after " +
         std::to_string((call.ended - call.sent) / 1ms) + " ms" +
         (call.body.empty() || call.status == kOk ? "" : ", " + call.body);
}

}  // namespace

FleetJournal::FleetJournal(FleetQuota quota,
                           std::set<std::string> builds_without_withdrawal)
    : quota{std::move(quota)},
      builds_without_withdrawal{std::move(builds_without_withdrawal)} {}

void FleetJournal::BeginDisturbance(int node, DisturbanceCause cause, Time at) {
  this->disturbances.push_back({node, cause, at, kOngoing});
}

void FleetJournal::EndDisturbances(int node, Time at) {
  for (auto &disturbance : this->disturbances) {
    if (disturbance.node != node || disturbance.to != kOngoing) continue;
    disturbance.to = at;
  }
}

void FleetJournal::RecordWithdrawal(const std::set<int> &nodes, bool withdrawn,
                                    Time at) {
  if (withdrawn) {
    this->withdrawals.push_back({nodes, at, kOngoing});
    return;
  }
  this->withdrawals.back().to = at;
}

void FleetJournal::RecordCall(const std::string &id, FleetCall call) {
  this->calls.emplace(id, std::move(call));
}

void FleetJournal::RecordViolation(FleetRule rule, Time at, std::string what) {
  this->violations.push_back({rule, at, std::move(what)});
}

bool FleetJournal::Undisturbed(int node, Time from, Time to) const {
  return std::none_of(this->disturbances.begin(), this->disturbances.end(),
                      [&](const Disturbance &d) {
                        return d.node == node && d.from <= to && d.to >= from;
                      });
}

bool FleetJournal::AllUndisturbed(Time from, Time to) const {
  const auto overlaps = [&](const auto &interval) {
    return interval.from <= to && interval.to >= from;
  };
  return std::none_of(this->disturbances.begin(), this->disturbances.end(),
                      overlaps) &&
         std::none_of(this->withdrawals.begin(), this->withdrawals.end(),
                      overlaps) &&
         std::none_of(this->changes.begin(), this->changes.end(),
                      [&](Time at) { return at >= from && at <= to; });
}

std::vector<Violation> FleetJournal::FindViolations() const {
  std::vector<Violation> found = this->violations;
  RunsById by_id;
  for (const auto &run : this->runs) by_id[run.id].push_back(&run);
  for (const auto &[id, call] : this->calls) {
    // The last calls are still pending when the run ends.
    if (call.ended == Time{}) continue;
    this->CheckResponse(id, call, by_id, found);
    this->CheckRoute(id, call, found);
  }
  for (const auto &run : this->runs) this->CheckRun(run, found);
  this->CheckQuota(found);
  std::sort(
      found.begin(), found.end(),
      [](const auto &left, const auto &right) { return left.at < right.at; });
  return found;
}

bool FleetJournal::Excused(const FleetCall &call) const {
  return std::any_of(
      this->disturbances.begin(), this->disturbances.end(),
      [&call](const Disturbance &d) {
        const bool unplanned = d.cause == DisturbanceCause::kKill ||
                               d.cause == DisturbanceCause::kPause;
        return unplanned && d.node == call.entry && d.from <= call.ended &&
               (d.to == kOngoing || d.to + kContact >= call.sent);
      });
}

void FleetJournal::CheckResponse(const std::string &id, const FleetCall &call,
                                 const RunsById &by_id,
                                 std::vector<Violation> &found) const {
  const auto at = by_id.find(id);
  const std::size_t ran = at == by_id.end() ? 0 : at->second.size();
  const std::string description = Describe(id, call);
  if (call.unsafe && ran > 1) {
    found.push_back({FleetRule::kTwice, call.sent,
                     description + ", ran " + std::to_string(ran) + " times"});
  }
  if (call.unsafe && ran > 0 && ImpliesNotExecuted(call.status)) {
    found.push_back({FleetRule::kRefused, call.sent, description});
  }
  if (call.error && !pollenring::WasNotSent(*call.error)) {
    // A request sent while the node closes the connection, and not forwarded,
    // may be lost.
    const bool read = ran > 0 || call.ended - call.sent > kCloseRaceTime;
    if (read && !this->Excused(call)) {
      found.push_back(
          {FleetRule::kLost, call.sent,
           description + ", ran " + std::to_string(ran) + " times"});
    }
  }
  if (call.status == kOk && call.body != id) {
    found.push_back({FleetRule::kMixed, call.sent, description});
  }
  const bool undisturbed =
      this->AllUndisturbed(call.sent - kContact, call.ended);
  if (undisturbed && call.expected == Expected::kServed && call.status != kOk) {
    found.push_back({FleetRule::kCall, call.sent, description});
  }
}

void FleetJournal::CheckRoute(const std::string &id, const FleetCall &call,
                              std::vector<Violation> &found) const {
  if (!this->Undisturbed(call.entry, call.sent - kContact, call.ended)) return;
  if (call.status == 0) return;
  const bool missing =
      call.expected == Expected::kRoutePresent && call.status == kNotFound;
  const bool kept =
      call.expected == Expected::kRouteAbsent && call.status != kNotFound;
  if (missing || kept) {
    found.push_back({FleetRule::kConfig, call.sent, Describe(id, call)});
  }
}

void FleetJournal::CheckRun(const FleetRun &run,
                            std::vector<Violation> &found) const {
  const std::string where = " at the target of node " +
                            std::to_string(run.node) + " (" + run.build + ")";
  const auto sent = this->calls.find(run.id);
  if (sent == this->calls.end()) {
    found.push_back(
        {FleetRule::kUnasked, run.at, "no caller sent " + run.id + where});
    return;
  }
  const FleetCall &call = sent->second;
  const std::string from = " from node " + std::to_string(call.entry) + " (" +
                           call.build + ")" + where;
  if (run.workspace != call.workspace) {
    found.push_back(
        {FleetRule::kUnasked, run.at,
         run.id + " with workspace '" + run.workspace + "'" + from});
  }
  if (run.caller_service != call.caller_service) {
    found.push_back(
        {FleetRule::kUnasked, run.at,
         run.id + " with caller service '" + run.caller_service + "'" + from});
  }
  if (run.deadline_ms <= 0 ||
      run.deadline_ms > kDeadline / 1ms + kDeadlineSlackMs) {
    found.push_back({FleetRule::kUnasked, run.at,
                     run.id + " with a deadline of " +
                         std::to_string(run.deadline_ms) + " ms" + from});
  }
  for (const auto &withdrawal : this->withdrawals) {
    if (withdrawal.nodes.count(run.node) == 0) continue;
    if (run.at <= withdrawal.from + kEvacuation || run.at >= withdrawal.to) {
      continue;
    }
    const bool aware =
        (this->SupportsWithdrawal(call.build) &&
         this->Undisturbed(call.entry, run.at - kContact, run.at)) ||
        (this->SupportsWithdrawal(run.build) &&
         this->Undisturbed(run.node, run.at - kContact, run.at));
    if (aware) found.push_back({FleetRule::kEvac, run.at, run.id + from});
  }
}

void FleetJournal::CheckQuota(std::vector<Violation> &found) const {
  const double window = std::chrono::duration<double>{kQuotaWindow}.count();
  const double max_runs =
      (this->quota.rate_per_s * window + this->quota.burst) *
          (1 + kQuotaTolerance) +
      kQuotaSlack;
  struct Arrival {
    Time at{};
    Time sent{};
  };
  std::vector<Arrival> arrivals;
  for (const auto &run : this->runs) {
    const auto sent = this->calls.find(run.id);
    if (run.workspace != this->quota.workspace || sent == this->calls.end()) {
      continue;
    }
    arrivals.push_back({run.at, sent->second.sent});
  }
  std::sort(
      arrivals.begin(), arrivals.end(),
      [](const auto &left, const auto &right) { return left.at < right.at; });
  std::size_t first = 0;
  std::int64_t worst = 0;
  Time worst_at{};
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    const Time begin = arrivals[last].at - kQuotaWindow;
    while (arrivals[first].at < begin) ++first;
    const auto from = arrivals.begin() + static_cast<std::ptrdiff_t>(first);
    const auto to = arrivals.begin() + static_cast<std::ptrdiff_t>(last) + 1;
    const auto inside = std::count_if(
        from, to, [begin](const Arrival &a) { return a.sent >= begin; });
    if (inside <= worst) continue;
    worst = inside;
    worst_at = arrivals[last].at;
  }
  if (static_cast<double>(worst) <= max_runs) return;
  found.push_back({FleetRule::kQuota, worst_at,
                   this->quota.workspace + " ran " + std::to_string(worst) +
                       " requests in 5 s, limit " + std::to_string(max_runs)});
}

const FleetCall *FleetJournal::ServedUndisturbed(const FleetRun &run) const {
  const auto sent = this->calls.find(run.id);
  if (sent == this->calls.end() || sent->second.status != kOk) return nullptr;
  const FleetCall &call = sent->second;
  return this->AllUndisturbed(call.sent - kContact, call.ended) ? &call
                                                                : nullptr;
}

std::map<std::pair<std::string, std::string>, int> FleetJournal::Crossings()
    const {
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const auto &run : this->runs) {
    const FleetCall *call = this->ServedUndisturbed(run);
    if (call != nullptr) ++counts[{call->build, run.build}];
  }
  return counts;
}

std::set<std::pair<int, int>> FleetJournal::Reached(Time from) const {
  std::set<std::pair<int, int>> pairs;
  for (const auto &run : this->runs) {
    if (run.at < from) continue;
    const FleetCall *call = this->ServedUndisturbed(run);
    if (call != nullptr) pairs.insert({call->entry, run.node});
  }
  return pairs;
}

}  // namespace support
