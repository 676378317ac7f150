#ifndef POLLENRING_QUARANTINE_QUARANTINE_H_
#define POLLENRING_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/core/random.h"
#include "pollenring/quarantine/crash_report.h"
#include "pollenring/quarantine/fingerprint.h"

namespace pollenring {

/*! @brief Whether requests of a fingerprint may run. */
enum class Standing {
  kNormal,
  kSuspect, /*!< Few at a time. */
  kBlocked
};

/*! @brief Names of the standings, as logs spell them. */
inline constexpr EnumTable<Standing, 3> kStandingNames{{{
    {Standing::kNormal, "normal"},
    {Standing::kSuspect, "suspect"},
    {Standing::kBlocked, "blocked"},
}}};

/*! @brief Bounds of the quarantine. */
struct QuarantineOptions {
  /*! @brief Blame from which a fingerprint is blocked. */
  double verdict{1.5};
  /*! @brief Crashes so close together have one cause, such as a rack's power,
   * and share their blame. */
  Duration same_incident{std::chrono::milliseconds{200}};
  /*! @brief Time after the last crash in which a fingerprint stays suspect. */
  Duration suspect_lifetime{std::chrono::minutes{10}};
  Duration first_block{std::chrono::minutes{1}};
  Duration max_block{std::chrono::hours{1}};
  /*! @brief Time for which requests that completed are no suspects. */
  Duration completion_memory{std::chrono::seconds{3}};
  std::size_t max_entries{4096};
  std::size_t max_crashes_per_entry{16};
  std::size_t max_crashes{512};
  std::size_t max_remembered{4096}; /*!< Reports and completions. */
  std::size_t max_repeated{256};    /*!< Reports in the queue. */
  std::size_t requests_per_report{64};
  std::size_t reports_per_message{2};
  std::size_t retransmit_factor{3}; /*!< Sends per report / log2(members). */
};

/*! @brief A fingerprint in quarantine, for operators. */
struct QuarantinedRequest {
  Fingerprint fingerprint{};
  Standing standing{Standing::kNormal};
  std::size_t crashes{};
  double blame{};
  Duration age{};         /*!< Since the last crash. */
  Duration blocked_for{}; /*!< Until a trial; 0 unless blocked. */
};

/**
 * @brief Keeps requests that crash their targets from crashing further ones.
 *
 * All requests that run at a target end with it, and one of them may be the
 * cause. Each crash blames them in equal parts, or only those that were suspect
 * before. Suspects run a few at a time, so that a further crash blames few of
 * them; one that completes is no longer suspect. Reports of all nodes are
 * merged; each has an identifier and counts once.
 */
class Quarantine {
 public:
  /**
   * @brief Starts empty.
   * @param options Bounds.
   * @param clock Clock.
   * @param random Source of identifiers.
   */
  Quarantine(const QuarantineOptions &options, const Clock &clock,
             Random &random);

  /**
   * @brief Checks whether a request may run.
   * @param fingerprint Its fingerprint; 0 is always normal.
   * @return Its standing.
   */
  [[nodiscard]] Standing StandingOf(Fingerprint fingerprint) const;

  /**
   * @brief Returns when a blocked request is tried again.
   * @param fingerprint Its fingerprint.
   * @return Time until then; 0 if it is not blocked.
   */
  [[nodiscard]] Duration BlockedFor(Fingerprint fingerprint) const;

  /**
   * @brief Records that the local target ended while requests ran.
   * @param running Their fingerprints; repeated ones count once.
   */
  void RecordCrash(std::vector<Fingerprint> running);

  /**
   * @brief Sets what is called when there is a new report of a crash, local or
   * not, so that it can be sent at once.
   * @param listener The listener.
   */
  void OnCrashReport(std::function<void()> listener) {
    this->crash_reported = std::move(listener);
  }

  /*! @brief Records that the local target has completed a request.
   * @param fingerprint Its fingerprint. */
  void RecordCompletion(Fingerprint fingerprint);

  /*! @brief Releases a fingerprint, as an operator demands.
   * @param fingerprint The fingerprint. @return False if it is not held. */
  bool Release(Fingerprint fingerprint);

  /**
   * @brief Merges a report of another node.
   * @param report The report.
   * @return True if it is new, and thus to be forwarded.
   */
  bool Merge(const CrashReport &report);

  /**
   * @brief Returns the crashes of a fingerprint, for a node that sent a
   * request.
   * @param fingerprint The fingerprint.
   * @return The reports; not to be forwarded.
   */
  [[nodiscard]] std::vector<CrashReport> ReportsOf(
      Fingerprint fingerprint) const;

  /**
   * @brief Learns from a reply, without forwarding it.
   * @param reports Result of `ReportsOf` at another node.
   */
  void Learn(const std::vector<CrashReport> &reports);

  /**
   * @brief Takes reports to send; each is sent a bounded number of times.
   * @param members Members of the fleet.
   * @return The reports, with their current age.
   */
  [[nodiscard]] std::vector<CrashReport> TakeReports(std::size_t members);

  /*! @brief Sends the reports of what is blocked again, for a node that has
   * just started. */
  void RepeatReports();

  /*! @brief Fingerprints in quarantine. @return All of them. */
  [[nodiscard]] std::vector<QuarantinedRequest> Requests() const;

 private:
  struct Crash {
    std::uint64_t id{};
    Time at{};
    double blame{};
  };
  struct Entry {
    std::vector<Crash> crashes; /*!< By time. */
  };
  struct Judgement {
    double blame{};
    std::size_t incidents{};
  };
  struct Outgoing {
    CrashReport report;
    Time at{};
    std::size_t sends{};
  };

  [[nodiscard]] Judgement Judge(const Entry &entry) const;
  [[nodiscard]] double CrashesAround(Time at) const;
  [[nodiscard]] Duration BlockTime(const Judgement &judgement) const;
  void AddReports(std::uint64_t crash, double blame,
                  const std::vector<Fingerprint> &requests);
  void ReportCompletions();
  [[nodiscard]] Time TimeOf(const CrashReport &report) const;
  void Apply(const CrashReport &report, Time at);
  void Blame(Fingerprint fingerprint, const Crash &crash);
  void RemoveCrashesUntil(Fingerprint fingerprint, Time until);
  void MakeRoom();
  [[nodiscard]] bool Remember(std::uint64_t report);

  QuarantineOptions options;
  const Clock &clock;
  Random &random;
  std::unordered_map<Fingerprint, Entry> entries;
  std::deque<Crash> crashes; /*!< All that are known, of any request. */
  std::unordered_map<Fingerprint, Time> completed;
  std::deque<Fingerprint> completed_order;
  std::unordered_set<std::uint64_t> reports;
  std::deque<std::uint64_t> reports_order;
  std::deque<Outgoing> outgoing;
  std::vector<Fingerprint> newly_completed; /*!< Former suspects. */
  std::function<void()> crash_reported;
};

}  // namespace pollenring

#endif  // POLLENRING_QUARANTINE_QUARANTINE_H_
