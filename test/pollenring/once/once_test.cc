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

/*! @brief One slot whose owner dies again and again; two mirrors. */
class Slot {
 public:
  explicit Slot(std::uint64_t seed)
      : random{seed}, clock{std::chrono::hours{1}} {
    for (auto &mirror : this->mirrors) this->Restart(mirror);
    this->owner = std::make_unique<OnceLedger>(WallTime{0}, this->clock);
  }

  /*! @brief Asks to run; counts what is let run. */
  BeginVerdict Begin(const std::string &id) {
    return this->BeginAt({*this->owner, this->epoch, this->Processes()}, id);
  }

  /*! @brief An owner that was taken over wakes, with a request from before. */
  void BeginLate(const std::string &id) {
    if (!this->deposed) return;
    if (*pollenring::MintedAt(id) >= this->deposed_at) return;
    static_cast<void>(this->BeginAt(
        {*this->deposed, this->deposed_epoch, this->deposed_mirrors}, id));
  }

  /*! @brief An owner, and the processes that it has as mirrors. */
  struct View {
    OnceLedger &ledger;
    std::uint64_t epoch{};
    std::vector<int> mirrors;
  };

  BeginVerdict BeginAt(const View &view, const std::string &id) {
    OnceLedger &ledger = view.ledger;
    const auto minted = *pollenring::MintedAt(id);
    const auto attempt = ++this->last_attempt;
    const auto decision = ledger.Begin(
        id, minted, attempt, this->clock.WallNow() + std::chrono::seconds{2});
    if (decision.verdict != BeginVerdict::kRun) return decision.verdict;
    pollenring::OnceRecord record;
    record.key = id;
    record.minted_ms = minted.count();
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

  /*! @brief The owner dies; a successor asks the mirrors. */
  void TakeOver() {
    auto next =
        std::make_unique<OnceLedger>(this->clock.WallNow(), this->clock);
    std::int64_t since = 0;
    bool all = true;
    for (auto &mirror : this->mirrors) {
      const bool answers = mirror.epoch_known && this->random.Chance(0.8);
      // A mirror that does not answer keeps taking copies of nobody: the old
      // owner's lease has run out.
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

  /*! @brief A mirror loses its memory; the owner names its next process. */
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
        ids.push_back(pollenring::MintRequestId(
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

TEST_CASE("once: a repeat gets the first answer; an old one gets 'expired'") {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  OnceLedger ledger{WallTime{0}, clock};
  const auto id = pollenring::MintRequestId(clock.WallNow(), random);
  const auto minted = *pollenring::MintedAt(id);
  const auto deadline = clock.WallNow() + std::chrono::seconds{1};
  CHECK(ledger.Begin(id, minted, 1, deadline).verdict == BeginVerdict::kRun);
  CHECK(ledger.Begin(id, minted, 2, deadline).verdict ==
        BeginVerdict::kInProgress);
  clock.Advance(std::chrono::seconds{2});
  CHECK(ledger.Begin(id, minted, 3, deadline).verdict ==
        BeginVerdict::kUnknown);
  ledger.End(id, 1, OnceState::kRan, "first");
  const auto repeat = ledger.Begin(id, minted, 4, deadline);
  CHECK(repeat.verdict == BeginVerdict::kRan);
  CHECK(repeat.answer == "first");
  clock.Advance(std::chrono::minutes{20});
  const auto old = ledger.Begin(id, minted, 5, clock.WallNow());
  CHECK(old.verdict == BeginVerdict::kExpired);
  const auto early = pollenring::MintRequestId(
      clock.WallNow() + std::chrono::minutes{2}, random);
  CHECK(ledger.Begin(early, *pollenring::MintedAt(early), 6, clock.WallNow())
            .verdict == BeginVerdict::kExpired);
}

TEST_CASE("once: an aborted attempt may be followed by another") {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  OnceLedger ledger{WallTime{0}, clock};
  const auto id = pollenring::MintRequestId(clock.WallNow(), random);
  const auto minted = *pollenring::MintedAt(id);
  const auto deadline = clock.WallNow() + std::chrono::seconds{1};
  CHECK(ledger.Begin(id, minted, 1, deadline).verdict == BeginVerdict::kRun);
  ledger.End(id, 1, OnceState::kAborted, {});
  // A late repeat of the aborted attempt's own message does not revive it.
  CHECK(ledger.Begin(id, minted, 1, deadline).verdict ==
        BeginVerdict::kUnknown);
  CHECK(ledger.Begin(id, minted, 2, deadline).verdict == BeginVerdict::kRun);
}
