#include "pollenring/node/once_service.h"

#include <algorithm>
#include <utility>

#include "pollenring/core/request_id.h"
#include "pollenring/lease/choose_witnesses.h"
#include "pollenring/log/log.h"
#include "pollenring/node/headers.h"

namespace pollenring {
namespace {

constexpr Duration kRequestRetryPeriod = std::chrono::milliseconds{60};
constexpr Duration kMaxRequestTime = std::chrono::milliseconds{700};
constexpr Duration kCopyRetryPeriod = std::chrono::milliseconds{50};
constexpr Duration kMaxCopyTime = std::chrono::milliseconds{300};
constexpr Duration kEndTimeout = std::chrono::milliseconds{300};
constexpr int kMaxEndTries = 4;

/*! @brief A record for a mirror. */
struct OnceCopy {
  std::uint64_t copy{};
  SlotId slot{};
  std::uint64_t epoch{};
  std::uint64_t process{};
  OnceRecord record;
  MSGPACK_DEFINE(copy, slot, epoch, process, record)
};

/*! @brief A mirror has copied a record. */
struct OnceCopied {
  std::uint64_t copy{};
  MSGPACK_DEFINE(copy)
};

[[nodiscard]] OnceVerdict ToVerdict(BeginVerdict verdict) noexcept {
  switch (verdict) {
    case BeginVerdict::kRun:
      return OnceVerdict::kRun;
    case BeginVerdict::kRan:
      return OnceVerdict::kAnswered;
    case BeginVerdict::kInProgress:
      return OnceVerdict::kInProgress;
    case BeginVerdict::kExpired:
      return OnceVerdict::kExpired;
    default:
      return OnceVerdict::kUnknown;
  }
}

[[nodiscard]] OnceState StateOf(const CallReply &reply) noexcept {
  switch (reply.outcome) {
    case Outcome::kRan:
      return OnceState::kRan;
    case Outcome::kNotRun:
      return OnceState::kAborted;
    default:
      return OnceState::kUnknown;
  }
}

}  // namespace

OnceService::OnceService(Loop &loop, Bus &bus, LinkClient &link,
                         SlotService &slots, Random &random)
    : loop{loop},
      bus{bus},
      link{link},
      slots{slots},
      random{random},
      mirror{loop.GetClock()} {}

void OnceService::Start() {
  this->bus.On<OnceBegin>(MessageKind::kOnceBegin,
                          [this](NodeId from, const OnceBegin &begin) {
                            this->Decide(from, begin);
                          });
  this->bus.On<OnceDecision>(
      MessageKind::kOnceDecision,
      [this](NodeId /*from*/, const OnceDecision &decision) {
        this->HandleDecision(decision);
      });
  this->bus.On<OnceCopy>(
      MessageKind::kOnceCopy, [this](NodeId from, const OnceCopy &copy) {
        const auto process = this->slots.Self().process;
        if (copy.process != process) return;
        if (!this->mirror.Copy(copy.slot, copy.epoch, copy.record)) return;
        this->bus.Send(from, MessageKind::kOnceCopied, OnceCopied{copy.copy});
      });
  this->bus.On<OnceCopied>(MessageKind::kOnceCopied,
                           [this](NodeId /*from*/, const OnceCopied &copied) {
                             this->HandleCopied(copied.copy);
                           });
}

void OnceService::Begin(const std::string &key, bool created_here,
                        Time deadline, Done done) {
  const Time now = this->loop.GetClock().Now();
  const WallTime wall = this->loop.GetClock().WallNow();
  const std::uint64_t attempt = this->random.Bits();
  const std::string id = key.substr(key.find('/') + 1);
  PendingAttempt &pending = this->pending_attempts[attempt];
  pending.begin.key = key;
  pending.begin.created_ms = CreationTimeOf(id).value_or(WallTime{0}).count();
  pending.begin.attempt = attempt;
  pending.begin.deadline_ms =
      (wall + std::chrono::duration_cast<WallTime>(deadline - now)).count();
  pending.created_here = created_here;
  pending.deadline = deadline;
  pending.give_up_at = std::min(deadline, now + kMaxRequestTime);
  pending.done = std::move(done);
  this->RequestDecision(attempt);
}

void OnceService::RequestDecision(std::uint64_t attempt) {
  const auto found = this->pending_attempts.find(attempt);
  if (found == this->pending_attempts.end()) return;
  PendingAttempt &pending = found->second;
  if (this->loop.GetClock().Now() >= pending.give_up_at) {
    const auto verdict =
        pending.created_here ? OnceVerdict::kNotRun : OnceVerdict::kUnknown;
    const OnceEnd end{pending.begin.key, attempt, OnceState::kAborted, {}};
    Done done = std::move(pending.done);
    this->pending_attempts.erase(found);
    // The owner may have said "run" to this attempt, which will not run now.
    this->SendEnd(end, kMaxEndTries);
    OnceReply result;
    result.verdict = verdict;
    done(std::move(result));
    return;
  }
  this->loop.After(kRequestRetryPeriod,
                   [this, attempt] { this->RequestDecision(attempt); });
  const auto holder =
      this->slots.HolderOf(SlotOfKey(pending.begin.key, this->slots.Count()));
  if (!holder) return;
  if (*holder == this->slots.Self().node) {
    const OnceBegin begin = pending.begin;
    this->Decide(*holder, begin);
    return;
  }
  this->bus.Send(*holder, MessageKind::kOnceBegin, pending.begin);
}

void OnceService::HandleDecision(const OnceDecision &decision) {
  const auto found = this->pending_attempts.find(decision.attempt);
  if (found == this->pending_attempts.end() || !decision.owner) return;
  OnceReply result;
  result.verdict = decision.verdict;
  if (decision.verdict == OnceVerdict::kAnswered) {
    result.reply = Refusal(Outcome::kRan, Reason::kRepeated, Duration{});
    auto stored = Unframe<CallReply>(decision.reply);
    if (stored) {
      result.reply = std::move(stored->head);
      result.body = std::move(stored->body);
    }
  }
  if (decision.verdict == OnceVerdict::kRun) {
    this->running[found->second.begin.key] = decision.attempt;
  }
  Done done = std::move(found->second.done);
  this->pending_attempts.erase(found);
  done(std::move(result));
}

void OnceService::Decide(NodeId requester, const OnceBegin &begin) {
  const SlotId slot = SlotOfKey(begin.key, this->slots.Count());
  const auto found = this->owned_slots.find(slot);
  const bool decides = found != this->owned_slots.end() &&
                       found->second.ready && this->slots.Keeper().Valid(slot);
  if (!decides) {
    this->Reply(requester, {begin.attempt, false, OnceVerdict::kUnknown, {}});
    return;
  }
  const auto decision =
      found->second.ledger.Begin(begin.key, WallTime{begin.created_ms},
                                 begin.attempt, WallTime{begin.deadline_ms});
  if (!decision.recorded) {
    LogEvent(
        LogLevel::kInfo, "once",
        {{"slot", slot},
         {"verdict", kBeginVerdictNames.Name(decision.verdict)},
         {"complete_since_ms", found->second.ledger.CompleteSince().count()}});
    for (const auto &[id, copy] : this->pending_copies) {
      if (copy.record.attempt == begin.attempt) return;
    }
    this->Reply(requester, {begin.attempt, true, ToVerdict(decision.verdict),
                            decision.response});
    return;
  }
  const SlotRow *row = this->slots.Keeper().Held(slot);
  PendingCopy copy;
  copy.slot = slot;
  copy.epoch = row->epoch;
  copy.record = {begin.key,     begin.created_ms,    begin.deadline_ms,
                 begin.attempt, OnceState::kStarted, {}};
  copy.requester = requester;
  copy.give_up_at = this->loop.GetClock().Now() + kMaxCopyTime;
  const std::uint64_t id = ++this->last_copy;
  this->pending_copies.emplace(id, std::move(copy));
  if (MirrorsOf(*row).empty()) {
    this->HandleCopied(id);
    return;
  }
  this->SendCopies(id);
}

void OnceService::Reply(NodeId requester, const OnceDecision &decision) {
  if (requester == this->slots.Self().node) {
    this->loop.Post([this, decision] { this->HandleDecision(decision); });
    return;
  }
  this->bus.Send(requester, MessageKind::kOnceDecision, decision);
}

void OnceService::SendCopies(std::uint64_t id) {
  const auto found = this->pending_copies.find(id);
  if (found == this->pending_copies.end()) return;
  const PendingCopy &copy = found->second;
  const SlotRow *row = this->slots.Keeper().Held(copy.slot);
  const bool expired = row == nullptr || row->epoch != copy.epoch ||
                       this->loop.GetClock().Now() >= copy.give_up_at;
  if (expired) {
    const auto owner = this->owned_slots.find(copy.slot);
    if (owner != this->owned_slots.end()) {
      owner->second.ledger.End(copy.record.key, copy.record.attempt,
                               OnceState::kAborted, {});
    }
    this->pending_copies.erase(found);
    return;
  }
  for (const auto &ref : MirrorsOf(*row)) {
    this->bus.Send(
        ref.node, MessageKind::kOnceCopy,
        OnceCopy{id, copy.slot, copy.epoch, ref.process, copy.record});
  }
  this->loop.After(kCopyRetryPeriod, [this, id] { this->SendCopies(id); });
}

void OnceService::HandleCopied(std::uint64_t id) {
  const auto found = this->pending_copies.find(id);
  if (found == this->pending_copies.end()) return;
  const PendingCopy copy = std::move(found->second);
  this->pending_copies.erase(found);
  const SlotRow *row = this->slots.Keeper().Held(copy.slot);
  const bool still_held = row != nullptr && row->epoch == copy.epoch &&
                          this->slots.Keeper().Valid(copy.slot);
  if (!still_held) {
    const auto owner = this->owned_slots.find(copy.slot);
    if (owner == this->owned_slots.end()) return;
    owner->second.ledger.End(copy.record.key, copy.record.attempt,
                             OnceState::kAborted, {});
    return;
  }
  this->Reply(copy.requester,
              {copy.record.attempt, true, OnceVerdict::kRun, {}});
}

void OnceService::End(const std::string &key, const CallReply &reply,
                      const std::string &body) {
  const auto found = this->running.find(key);
  if (found == this->running.end()) return;
  OnceEnd end;
  end.key = key;
  end.attempt = found->second;
  end.state = StateOf(reply);
  if (end.state == OnceState::kRan) {
    // Copies lie on nodes of any build.
    end.reply = Frame(reply, body, kCommonWire);
  }
  this->running.erase(found);
  this->SendEnd(end, kMaxEndTries);
}

void OnceService::SendEnd(const OnceEnd &end, int tries_left) {
  const auto holder =
      this->slots.HolderOf(SlotOfKey(end.key, this->slots.Count()));
  if (holder && *holder == this->slots.Self().node) {
    this->Apply(end);
    return;
  }
  if (tries_left == 0) return;
  const auto retry = [this, end, tries_left] {
    this->loop.After(kEndTimeout, [this, end, tries_left] {
      this->SendEnd(end, tries_left - 1);
    });
  };
  if (!holder) {
    retry();
    return;
  }
  this->link.Call(AddressOf(*holder), "once-end", Pack(end), kEndTimeout,
                  [retry](LinkClient::Reply reply) {
                    if (!Ok(reply)) retry();
                  });
}

void OnceService::HandleEnd(const std::string &body) {
  const auto end = Unpack<OnceEnd>(body);
  if (end) this->Apply(*end);
}

void OnceService::Apply(const OnceEnd &end) {
  const SlotId slot = SlotOfKey(end.key, this->slots.Count());
  const auto found = this->owned_slots.find(slot);
  if (found == this->owned_slots.end()) return;
  found->second.ledger.End(end.key, end.attempt, end.state, end.reply);
}

}  // namespace pollenring
