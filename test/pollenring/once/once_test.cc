#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/core/request_id.h"
#include "pollenring/once/once_all.h"
#include "support/seeds.h"

namespace {

using pollenring::BeginVerdict;
using pollenring::ManualClock;
using pollenring::OnceLedger;
using pollenring::OnceLog;
using pollenring::OnceMirror;
using pollenring::OnceState;
using pollenring::SeededRandom;
using pollenring::WallTime;

/*! @brief One slot with two mirrors, whose owner fails repeatedly. */
class Slot {
 public:
  explicit Slot(std::uint64_t seed)
      : random{seed}, clock{std::chrono::hours{1}} {
    for (auto &mirror : this->mirrors) this->Restart(mirror);
    this->owner = std::make_unique<OnceLedger>(WallTime{0}, this->clock);
  }

  /*! @brief Attempts to run and counts the runs allowed. */
  BeginVerdict Begin(const std::string &id) {
    return this->BeginAt({*this->owner, this->epoch, this->Processes()}, id);
  }

  /**
   * @brief A replaced owner resumes with a request from before the takeover.
   */
  void BeginLate(const std::string &id) {
    if (!this->deposed) return;
    if (*pollenring::CreationTimeOf(id) >= this->deposed_at) return;
    static_cast<void>(this->BeginAt(
        {*this->deposed, this->deposed_epoch, this->deposed_mirrors}, id));
  }

  /*! @brief An owner and the processes it uses as mirrors. */
  struct View {
    OnceLedger &ledger;
    std::uint64_t epoch{};
    std::vector<int> mirrors;
  };

  BeginVerdict BeginAt(const View &view, const std::string &id) {
    OnceLedger &ledger = view.ledger;
    const auto created = *pollenring::CreationTimeOf(id);
    const auto attempt = ++this->last_attempt;
    const auto decision = ledger.Begin(
        id, created, attempt, this->clock.WallNow() + std::chrono::seconds{2});
    if (decision.verdict != BeginVerdict::kRun) return decision.verdict;
    pollenring::OnceRecord record;
    record.key = id;
    record.created_ms = created.count();
    record.attempt = attempt;
    bool copied = false;
    for (std::size_t i = 0; i < this->mirrors.size(); ++i) {
      Mirror &mirror = this->mirrors[i];
      // Copies name the process they are meant for.
      const bool same = mirror.process == view.mirrors[i];
      const bool reached = this->random.Chance(0.7) && same;
      if (reached && mirror.epoch_known &&
          mirror.copies->Copy(0, view.epoch, record)) {
        copied = true;
      }
    }
    if (!copied) {
      ledger.End(id, attempt, OnceState::kAborted, {});
      return BeginVerdict::kUnknown;
    }
    ++this->runs[id];
    REQUIRE(this->runs[id] <= 1);
    const auto end = this->random.Index(4);
    if (end == 1) ledger.End(id, attempt, OnceState::kRan, "answer");
    if (end == 2) ledger.End(id, attempt, OnceState::kUnknown, {});
    return decision.verdict;
  }

  /*! @brief The owner fails; a successor queries the mirrors. */
  void TakeOver() {
    auto next =
        std::make_unique<OnceLedger>(this->clock.WallNow(), this->clock);
    std::int64_t since = 0;
    bool all = true;
    for (auto &mirror : this->mirrors) {
      const bool answers = mirror.epoch_known && this->random.Chance(0.8);
      // A mirror that does not respond stays open, but receives no more copies:
      // the old owner's lease has expired.
      if (!answers) {
        all = false;
        continue;
      }
      const OnceLog log = mirror.copies->Close(0, this->epoch);
      next->Inherit(log);
      since = std::max(since, log.complete_since_ms);
    }
    if (all) next->SetCompleteSince(WallTime{since});
    this->deposed = std::move(this->owner);
    this->deposed_epoch = this->epoch;
    this->deposed_mirrors = this->Processes();
    this->deposed_at = this->clock.WallNow();
    ++this->epoch;
    this->owner = std::move(next);
    this->Seed();
  }

  /*! @brief A mirror loses its copies; the owner names its next process. */
  void LoseMirror() {
    this->Restart(this->mirrors[this->random.Index(2)]);
    ++this->epoch;
    this->Seed();
  }

  SeededRandom random;
  ManualClock clock;
  std::map<std::string, int> runs;

 private:
  struct Mirror {
    std::unique_ptr<OnceMirror> copies;
    bool epoch_known{};
    int process{};
  };

  [[nodiscard]] std::vector<int> Processes() const {
    std::vector<int> processes;
    for (const auto &mirror : this->mirrors) {
      processes.push_back(mirror.process);
    }
    return processes;
  }

  void Restart(Mirror &mirror) {
    mirror.copies = std::make_unique<OnceMirror>(this->clock);
    mirror.epoch_known = true;
    ++mirror.process;
  }

  void Seed() {
    for (auto &mirror : this->mirrors) {
      if (this->random.Chance(0.2)) continue;
      mirror.copies->Seed(0, this->epoch, this->owner->Log());
    }
  }

  std::vector<Mirror> mirrors{2};
  std::unique_ptr<OnceLedger> owner;
  std::unique_ptr<OnceLedger> deposed;
  std::uint64_t deposed_epoch{};
  std::vector<int> deposed_mirrors;
  WallTime deposed_at{};
  std::uint64_t epoch{1};
  std::uint64_t last_attempt{};
};

}  // namespace

TEST_CASE("once: an identifier runs at most once, through owners and mirrors") {
  for (const auto seed : support::Seeds(20)) {
    INFO("seed " << seed);
    Slot slot{seed};
    std::vector<std::string> ids;
    for (std::uint64_t i = 0; i < support::Steps(20'000); ++i) {
      slot.clock.Advance(std::chrono::milliseconds{50});
      if (ids.size() < 200 || slot.random.Chance(0.2)) {
        // Callers' clocks are off by up to 20 s.
        const auto off =
            static_cast<std::int64_t>(slot.random.Index(40'000)) - 20'000;
        ids.push_back(pollenring::NewRequestId(
            slot.clock.WallNow() + WallTime{off}, slot.random));
      }
      const auto recent = [&] {
        const auto back =
            slot.random.Index(std::min<std::size_t>(ids.size(), 200));
        return ids[ids.size() - 1 - back];
      };
      slot.Begin(recent());
      if (slot.random.Chance(0.1)) slot.BeginLate(recent());
      if (slot.random.Chance(0.002)) slot.TakeOver();
      if (slot.random.Chance(0.001)) slot.LoseMirror();
    }
    CHECK(slot.runs.size() > 500);
  }
}

TEST_CASE("once: a repeat gets the first response and an old one 'expired'") {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  OnceLedger ledger{WallTime{0}, clock};
  const auto id = pollenring::NewRequestId(clock.WallNow(), random);
  const auto created = *pollenring::CreationTimeOf(id);
  const auto deadline = clock.WallNow() + std::chrono::seconds{1};
  CHECK(ledger.Begin(id, created, 1, deadline).verdict == BeginVerdict::kRun);
  CHECK(ledger.Begin(id, created, 2, deadline).verdict ==
        BeginVerdict::kInProgress);
  clock.Advance(std::chrono::seconds{2});
  CHECK(ledger.Begin(id, created, 3, deadline).verdict ==
        BeginVerdict::kUnknown);
  ledger.End(id, 1, OnceState::kRan, "first");
  const auto repeat = ledger.Begin(id, created, 4, deadline);
  CHECK(repeat.verdict == BeginVerdict::kRan);
  CHECK(repeat.response == "first");
  clock.Advance(std::chrono::minutes{20});
  const auto old = ledger.Begin(id, created, 5, clock.WallNow());
  CHECK(old.verdict == BeginVerdict::kExpired);
  const auto early = pollenring::NewRequestId(
      clock.WallNow() + std::chrono::minutes{2}, random);
  CHECK(
      ledger
          .Begin(early, *pollenring::CreationTimeOf(early), 6, clock.WallNow())
          .verdict == BeginVerdict::kExpired);
}

TEST_CASE("once: an aborted attempt may be followed by another") {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  OnceLedger ledger{WallTime{0}, clock};
  const auto id = pollenring::NewRequestId(clock.WallNow(), random);
  const auto created = *pollenring::CreationTimeOf(id);
  const auto deadline = clock.WallNow() + std::chrono::seconds{1};
  CHECK(ledger.Begin(id, created, 1, deadline).verdict == BeginVerdict::kRun);
  ledger.End(id, 1, OnceState::kAborted, {});
  // A late repeat of the aborted attempt's own message does not revive it.
  CHECK(ledger.Begin(id, created, 1, deadline).verdict ==
        BeginVerdict::kUnknown);
  CHECK(ledger.Begin(id, created, 2, deadline).verdict == BeginVerdict::kRun);
}
