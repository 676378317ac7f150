#include "pollenring/quarantine/quarantine.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

/*! @brief Incidents without which nothing is blocked, however clear the first
 * one is. */
constexpr std::size_t kMinIncidents = 2;
/*! @brief Keeps sums of fractions that make up a whole from falling short. */
constexpr double kRoundingError = 1e-3;
constexpr std::size_t kMaxDoublings = 16;

[[nodiscard]] std::int64_t Milliseconds(Duration duration) {
  return std::chrono::floor<std::chrono::milliseconds>(duration).count();
}

}  // namespace

Quarantine::Quarantine(const QuarantineOptions &options, const Clock &clock,
                       Random &random)
    : options{options}, clock{clock}, random{random} {}

double Quarantine::CrashesAround(Time at) const {
  const auto count = std::count_if(
      this->crashes.begin(), this->crashes.end(), [this, at](const Crash &c) {
        const Duration apart = c.at > at ? c.at - at : at - c.at;
        return apart <= this->options.same_incident;
      });
  return std::max(1.0, static_cast<double>(count));
}

Quarantine::Judgement Quarantine::Judge(const Entry &entry) const {
  Judgement judgement;
  auto it = entry.crashes.begin();
  while (it != entry.crashes.end()) {
    const Time start = it->at;
    double blame = 0;
    double crashes = 0;
    for (; it != entry.crashes.end(); ++it) {
      if (it->at - start > this->options.same_incident) break;
      blame += it->blame;
      ++crashes;
    }
    // What ends several targets at once is hardly a request of one of them,
    // but may well be one that ran at several.
    if (crashes > 1) blame = std::max(blame, crashes);
    judgement.blame += std::min(1.0, blame / this->CrashesAround(start));
    ++judgement.incidents;
  }
  return judgement;
}

Duration Quarantine::BlockTime(const Judgement &judgement) const {
  const bool guilty = judgement.incidents >= kMinIncidents &&
                      judgement.blame + kRoundingError >= this->options.verdict;
  if (!guilty) return Duration{0};
  const std::size_t doublings =
      std::min(judgement.incidents - kMinIncidents, kMaxDoublings);
  return std::min(this->options.first_block * (std::int64_t{1} << doublings),
                  this->options.max_block);
}

Duration Quarantine::BlockedFor(Fingerprint fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return Duration{0};
  const Time until = found->second.crashes.back().at +
                     this->BlockTime(this->Judge(found->second));
  return std::max(Duration{0}, until - this->clock.Now());
}

Standing Quarantine::StandingOf(Fingerprint fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return Standing::kNormal;
  const Duration age = this->clock.Now() - found->second.crashes.back().at;
  const Duration block = this->BlockTime(this->Judge(found->second));
  if (age < block) return Standing::kBlocked;
  const bool expired = age >= block + this->options.suspect_lifetime;
  return expired ? Standing::kNormal : Standing::kSuspect;
}

void Quarantine::RecordCrash(std::vector<Fingerprint> running) {
  std::sort(running.begin(), running.end());
  running.erase(std::unique(running.begin(), running.end()), running.end());
  const Time now = this->clock.Now();
  std::vector<Fingerprint> prime;
  std::vector<Fingerprint> others;
  std::vector<Fingerprint> innocent;
  for (const Fingerprint fingerprint : running) {
    if (fingerprint == 0) continue;
    if (this->StandingOf(fingerprint) != Standing::kNormal) {
      prime.push_back(fingerprint);
      continue;
    }
    const auto done = this->completed.find(fingerprint);
    const bool healthy = done != this->completed.end() &&
                         now - done->second < this->options.completion_memory;
    (healthy ? innocent : others).push_back(fingerprint);
  }
  if (prime.empty() && others.empty()) others = std::move(innocent);
  if (prime.empty() && others.empty()) return;
  const std::uint64_t crash = this->random.Bits();
  const auto share = [](const std::vector<Fingerprint> &among) {
    return 1.0 / static_cast<double>(std::max<std::size_t>(1, among.size()));
  };
  LogEvent(LogLevel::kWarning, "target crashed",
           {{"crash", crash},
            {"requests", running.size()},
            {"suspects", prime.size()},
            {"new_suspects", others.size()}});
  this->AddReports(crash, share(prime), prime);
  const std::size_t all = prime.size() + others.size();
  this->AddReports(crash, 1.0 / static_cast<double>(all), others);
}

void Quarantine::AddReports(std::uint64_t crash, double blame,
                            const std::vector<Fingerprint> &requests) {
  const std::size_t step = this->options.requests_per_report;
  for (std::size_t first = 0; first < requests.size(); first += step) {
    const std::size_t last = std::min(first + step, requests.size());
    CrashReport report;
    report.id = this->random.Bits();
    report.crash = crash;
    report.kind = CrashReportKind::kCrash;
    report.blame_milli =
        static_cast<std::int32_t>(std::lround(blame * kBlameScale));
    report.requests.assign(
        requests.begin() + static_cast<std::ptrdiff_t>(first),
        requests.begin() + static_cast<std::ptrdiff_t>(last));
    this->Merge(report);
  }
}

void Quarantine::RecordCompletion(Fingerprint fingerprint) {
  if (fingerprint == 0) return;
  if (this->entries.count(fingerprint) > 0) {
    this->RemoveCrashesUntil(fingerprint, this->clock.Now());
    this->newly_completed.push_back(fingerprint);
  }
  const auto [held, inserted] =
      this->completed.insert_or_assign(fingerprint, this->clock.Now());
  if (inserted) this->completed_order.push_back(fingerprint);
  if (this->completed_order.size() <= this->options.max_remembered) return;
  this->completed.erase(this->completed_order.front());
  this->completed_order.pop_front();
}

bool Quarantine::Release(Fingerprint fingerprint) {
  if (this->entries.count(fingerprint) == 0) return false;
  this->RecordCompletion(fingerprint);
  return true;
}

void Quarantine::ReportCompletions() {
  if (this->newly_completed.empty()) return;
  auto &completions = this->newly_completed;
  const std::size_t count =
      std::min(completions.size(), this->options.requests_per_report);
  const auto end = completions.begin() + static_cast<std::ptrdiff_t>(count);
  CrashReport report;
  report.id = this->random.Bits();
  report.kind = CrashReportKind::kComplete;
  report.requests.assign(completions.begin(), end);
  completions.erase(completions.begin(), end);
  this->Merge(report);
}

Time Quarantine::TimeOf(const CrashReport &report) const {
  const std::int64_t age = std::max(std::int64_t{0}, report.age_ms);
  return this->clock.Now() - std::chrono::milliseconds{age};
}

bool Quarantine::Remember(std::uint64_t report) {
  if (!this->reports.insert(report).second) return false;
  this->reports_order.push_back(report);
  if (this->reports_order.size() > this->options.max_remembered) {
    this->reports.erase(this->reports_order.front());
    this->reports_order.pop_front();
  }
  return true;
}

bool Quarantine::Merge(const CrashReport &report) {
  if (report.kind == CrashReportKind::kUnknown) return false;
  if (!this->Remember(report.id)) return false;
  const Time at = this->TimeOf(report);
  this->Apply(report, at);
  if (this->outgoing.size() >= this->options.max_remembered)
    this->outgoing.pop_back();
  if (report.kind != CrashReportKind::kCrash) {
    this->outgoing.push_back({report, at, 0});
    return true;
  }
  this->outgoing.push_front({report, at, 0});
  if (this->crash_reported) this->crash_reported();
  return true;
}

std::vector<CrashReport> Quarantine::ReportsOf(Fingerprint fingerprint) const {
  std::vector<CrashReport> reports;
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return reports;
  for (const Crash &crash : found->second.crashes) {
    CrashReport report;
    // The same on all nodes, so that receivers count each only once.
    report.id = fingerprint ^ crash.id;
    report.crash = crash.id;
    report.kind = CrashReportKind::kCrash;
    report.age_ms = Milliseconds(this->clock.Now() - crash.at);
    report.blame_milli =
        static_cast<std::int32_t>(std::lround(crash.blame * kBlameScale));
    report.requests = {fingerprint};
    reports.push_back(std::move(report));
  }
  return reports;
}

void Quarantine::Learn(const std::vector<CrashReport> &reports) {
  for (const auto &report : reports) {
    if (report.kind != CrashReportKind::kCrash) continue;
    this->Apply(report, this->TimeOf(report));
  }
}

void Quarantine::Apply(const CrashReport &report, Time at) {
  if (report.kind == CrashReportKind::kComplete) {
    for (const Fingerprint fingerprint : report.requests)
      this->RemoveCrashesUntil(fingerprint, at);
    return;
  }
  const Crash crash{report.crash, at,
                    static_cast<double>(report.blame_milli) / kBlameScale};
  const bool known = std::any_of(
      this->crashes.begin(), this->crashes.end(),
      [&crash](const Crash &other) { return other.id == crash.id; });
  if (!known) this->crashes.push_back(crash);
  if (this->crashes.size() > this->options.max_crashes)
    this->crashes.pop_front();
  for (const Fingerprint fingerprint : report.requests)
    this->Blame(fingerprint, crash);
}

void Quarantine::Blame(Fingerprint fingerprint, const Crash &crash) {
  const auto done = this->completed.find(fingerprint);
  const bool cleared =
      done != this->completed.end() && done->second >= crash.at;
  if (cleared || fingerprint == 0) return;
  if (this->entries.count(fingerprint) == 0) this->MakeRoom();
  Entry &entry = this->entries[fingerprint];
  const bool counted = std::any_of(
      entry.crashes.begin(), entry.crashes.end(),
      [&crash](const Crash &other) { return other.id == crash.id; });
  if (counted) return;
  const auto place = std::upper_bound(
      entry.crashes.begin(), entry.crashes.end(), crash,
      [](const Crash &a, const Crash &b) { return a.at < b.at; });
  entry.crashes.insert(place, crash);
  if (entry.crashes.size() > this->options.max_crashes_per_entry)
    entry.crashes.erase(entry.crashes.begin());
  const Duration blocked_for = this->BlockedFor(fingerprint);
  if (blocked_for == Duration{0} || !MayLogRequest(LogLevel::kWarning)) return;
  LogEvent(LogLevel::kWarning, "request blocked",
           {{"fingerprint", FormatFingerprint(fingerprint)},
            {"crashes", entry.crashes.size()},
            {"crash", crash.id},
            {"for_ms", Milliseconds(blocked_for)}});
}

void Quarantine::RemoveCrashesUntil(Fingerprint fingerprint, Time until) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) return;
  if (this->StandingOf(fingerprint) == Standing::kBlocked) {
    LogEvent(LogLevel::kInfo, "request released",
             {{"fingerprint", FormatFingerprint(fingerprint)}});
  }
  std::vector<Crash> &crashes = found->second.crashes;
  crashes.erase(
      std::remove_if(crashes.begin(), crashes.end(),
                     [until](const Crash &c) { return c.at <= until; }),
      crashes.end());
  if (crashes.empty()) this->entries.erase(found);
}

void Quarantine::MakeRoom() {
  if (this->entries.size() < this->options.max_entries) return;
  // Those with the fewest crashes, then the oldest, are least likely guilty.
  const auto least =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto &a, const auto &b) {
                         const auto &left = a.second.crashes;
                         const auto &right = b.second.crashes;
                         return std::make_pair(left.size(), left.back().at) <
                                std::make_pair(right.size(), right.back().at);
                       });
  this->entries.erase(least);
}

std::vector<CrashReport> Quarantine::TakeReports(std::size_t members) {
  this->ReportCompletions();
  const double doublings =
      std::ceil(std::log2(static_cast<double>(members) + 1));
  const std::size_t max_sends =
      this->options.retransmit_factor * static_cast<std::size_t>(doublings + 1);
  std::vector<CrashReport> taken;
  const std::size_t count =
      std::min(this->options.reports_per_message, this->outgoing.size());
  for (std::size_t i = 0; i < count; ++i) {
    Outgoing next = std::move(this->outgoing.front());
    this->outgoing.pop_front();
    next.report.age_ms = Milliseconds(this->clock.Now() - next.at);
    taken.push_back(next.report);
    if (++next.sends < max_sends) this->outgoing.push_back(std::move(next));
  }
  return taken;
}

void Quarantine::RepeatReports() {
  for (const auto &[fingerprint, entry] : this->entries) {
    if (this->outgoing.size() >= this->options.max_repeated) return;
    if (this->StandingOf(fingerprint) != Standing::kBlocked) continue;
    for (auto &report : this->ReportsOf(fingerprint)) {
      const Time at = this->TimeOf(report);
      this->outgoing.push_back({std::move(report), at, 0});
    }
  }
}

std::vector<QuarantinedRequest> Quarantine::Requests() const {
  std::vector<QuarantinedRequest> requests;
  requests.reserve(this->entries.size());
  for (const auto &[fingerprint, entry] : this->entries) {
    requests.push_back({fingerprint, this->StandingOf(fingerprint),
                        entry.crashes.size(), this->Judge(entry).blame,
                        this->clock.Now() - entry.crashes.back().at,
                        this->BlockedFor(fingerprint)});
  }
  return requests;
}

}  // namespace pollenring
