#include "pollenring/share/borrower.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "pollenring/share/slots_of.h"

namespace pollenring {
namespace {

/*! @brief Longest wait of a request while no slot's holder is to be found. */
constexpr Duration kLongestWait = std::chrono::seconds{1};
/*! @brief Longest wait while some holders have nothing and some are missing. */
constexpr Duration kLongestPartWait = std::chrono::milliseconds{250};
/*! @brief Pause between rounds that did not reach every holder. */
constexpr Duration kRoundPause = std::chrono::milliseconds{20};
/*! @brief Most requests of one workspace that wait at once. */
constexpr std::size_t kMostWaiting = 1000;
/*! @brief When to come back after a second without any share. */
constexpr Duration kNoShareRetry = std::chrono::milliseconds{500};
/*! @brief Longest wait for one holder. */
constexpr Duration kHolderTimeout = std::chrono::milliseconds{80};
/*! @brief How far ahead of demand share is borrowed. */
constexpr double kAheadSeconds = 0.1;
/*! @brief Part of the advance below which more is borrowed. */
constexpr double kLowWater = 0.4;
/*! @brief Longest time without asking after all holders had nothing. */
constexpr Duration kLongestEmpty = std::chrono::milliseconds{20};
/*! @brief Age at which a loan's rest goes back to its holder. */
constexpr Duration kReturnAge = std::chrono::milliseconds{250};
constexpr Duration kDemandWindow = std::chrono::milliseconds{100};
constexpr double kDemandWeight = 0.5;
/*! @brief Time without a request after which a workspace is forgotten. */
constexpr Duration kForgetAfter = std::chrono::seconds{10};
constexpr std::uint32_t kMostWanted = 100'000;
constexpr std::size_t kMostReturns = 16;

}  // namespace

ShareBorrower::ShareBorrower(std::uint64_t process, SlotId slots,
                             const LeaseOptions &options, const Clock &clock,
                             ShareDelegate &observer)
    : process{process},
      slots{slots},
      options{options},
      clock{clock},
      observer{observer} {}

// The name is a copy: what is called back may change the caller's text.
void ShareBorrower::Charge(std::string name, WaitLimit wait_limit, Done done) {
  Workspace &workspace = this->WorkspaceOf(name);
  this->Measure(workspace);
  ++workspace.charges;
  this->DropExpired(workspace);
  if (workspace.waiters.empty() && this->Spend(workspace)) {
    done({true, Reason::kNone, {}});
    const double low = Ahead(workspace) * kLowWater;
    if (Stock(workspace) < low) this->Ask(name, workspace);
    return;
  }
  const Time now = this->clock.Now();
  if (now < workspace.empty_until) {
    done({false, Reason::kRateLimited, workspace.round.retry_after});
    return;
  }
  if (workspace.waiters.size() >= kMostWaiting) {
    done({false, Reason::kNoShare, kNoShareRetry});
    return;
  }
  workspace.waiters.push_back({now, wait_limit, std::move(done)});
  this->Ask(name, workspace);
}

ShareBorrower::Workspace &ShareBorrower::WorkspaceOf(const std::string &name) {
  const auto [found, fresh] = this->workspaces.try_emplace(name);
  if (!fresh) return found->second;
  found->second.slots = SlotsOf(name, this->slots);
  found->second.preferred = this->process % found->second.slots.size();
  found->second.demand_from = this->clock.Now();
  return found->second;
}

bool ShareBorrower::Spend(Workspace &workspace) {
  if (workspace.loans.empty()) return false;
  Loan &loan = workspace.loans.front();
  --loan.left;
  if (loan.left > 0) return true;
  if (!loan.urgent) workspace.returns[loan.slot].push_back({loan.id, 0});
  workspace.loans.pop_front();
  return true;
}

void ShareBorrower::DropExpired(Workspace &workspace) const {
  const Time now = this->clock.Now();
  while (!workspace.loans.empty() && workspace.loans.front().expires <= now) {
    workspace.loans.pop_front();
  }
}

void ShareBorrower::Measure(Workspace &workspace) const {
  const Duration elapsed = this->clock.Now() - workspace.demand_from;
  if (elapsed < kDemandWindow) return;
  const double seconds = std::chrono::duration<double>{elapsed}.count();
  const double measured = workspace.charges / seconds;
  workspace.demand += kDemandWeight * (measured - workspace.demand);
  workspace.charges = 0;
  workspace.demand_from = this->clock.Now();
}

std::uint32_t ShareBorrower::Stock(const Workspace &workspace) {
  std::uint32_t stock = 0;
  for (const auto &loan : workspace.loans) stock += loan.left;
  return stock;
}

double ShareBorrower::Ahead(const Workspace &workspace) {
  // With sparse demand, what is borrowed ahead would lie idle.
  return std::floor(workspace.demand * kAheadSeconds);
}

std::uint32_t ShareBorrower::Wanted(const Workspace &workspace) {
  const double want = Ahead(workspace) +
                      static_cast<double>(workspace.waiters.size()) -
                      static_cast<double>(Stock(workspace));
  return static_cast<std::uint32_t>(
      std::clamp(want, 1.0, static_cast<double>(kMostWanted)));
}

void ShareBorrower::Ask(const std::string &name, Workspace &workspace) {
  if (workspace.asking) return;
  if (this->clock.Now() < workspace.next_round) return;
  workspace.round = Round{};
  workspace.round.next_share.resize(workspace.slots.size());
  this->AskOne(name, workspace);
}

BorrowRequest ShareBorrower::ToRequest(const std::string &name,
                                       Workspace &workspace) {
  BorrowRequest request;
  request.slot = workspace.slots[workspace.preferred];
  request.workspace = name;
  request.borrower = this->process;
  auto &returns = workspace.returns[request.slot];
  const std::size_t count = std::min(returns.size(), kMostReturns);
  request.returns.assign(returns.end() - static_cast<std::ptrdiff_t>(count),
                         returns.end());
  returns.clear();
  return request;
}

void ShareBorrower::AskOne(const std::string &name, Workspace &workspace) {
  while (workspace.round.refusals < workspace.slots.size()) {
    BorrowRequest request = this->ToRequest(name, workspace);
    request.loan = ++this->last_loan;
    request.want = this->Wanted(workspace);
    request.urgent = static_cast<std::uint32_t>(workspace.waiters.size());
    workspace.asking = true;
    workspace.asked = {request.loan, request.slot, this->clock.Now()};
    if (this->observer.SendBorrow(request)) return;
    workspace.asking = false;
    ++workspace.round.refusals;
    workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  }
  this->EndRound(name, workspace);
}

bool ShareBorrower::AllAnswered(const Workspace &workspace) {
  return workspace.round.answers == workspace.slots.size();
}

void ShareBorrower::EndRound(const std::string &name, Workspace &workspace) {
  if (AllAnswered(workspace)) {
    if (this->AskEarly(name, workspace)) return;
    this->RefuseAll(workspace);
    return;
  }
  // A slot is changing hands or a message was lost: there may be share soon.
  workspace.next_round = this->clock.Now() + kRoundPause;
}

bool ShareBorrower::AskEarly(const std::string &name, Workspace &workspace) {
  if (workspace.waiters.empty()) return false;
  auto &next_share = workspace.round.next_share;
  // What is granted to those who don't wait for it is lost to all.
  Duration longest{0};
  for (const auto &waiter : workspace.waiters) {
    const Duration left = waiter.wait_limit.next_share - this->clock.Now();
    longest = std::max(longest, std::min(left, kLongestEarly));
  }
  std::optional<std::size_t> soonest;
  for (std::size_t i = 0; i < next_share.size(); ++i) {
    if (next_share[i] <= Duration{0} || next_share[i] >= longest) continue;
    if (!soonest || next_share[i] < next_share[*soonest]) soonest = i;
  }
  if (!soonest) return false;
  workspace.preferred = *soonest;
  next_share[*soonest] = Duration{0};
  BorrowRequest request = this->ToRequest(name, workspace);
  request.loan = ++this->last_loan;
  request.want = static_cast<std::uint32_t>(workspace.waiters.size());
  request.urgent = request.want;
  request.early = request.want;
  request.early_within_us = longest.count();
  workspace.round.early = true;
  workspace.asking = true;
  workspace.asked = {request.loan, request.slot, this->clock.Now()};
  if (this->observer.SendBorrow(request)) return true;
  workspace.asking = false;
  return false;
}

void ShareBorrower::TakeEarly(Workspace &workspace, const EarlyGrant &grant) {
  // The share comes that long after the holder has said so, so no later than
  // that long after its word has arrived.
  Duration wait = this->options.More(Duration{grant.first_us});
  const Duration every = this->options.More(Duration{grant.every_us});
  std::uint32_t left = grant.count;
  while (left > 0 && !workspace.waiters.empty()) {
    Waiter waiter = std::move(workspace.waiters.front());
    workspace.waiters.pop_front();
    const Time ready = this->clock.Now() + wait;
    if (ready >= waiter.wait_limit.next_share) {
      waiter.done(
          {false, Reason::kRateLimited, std::max(wait, Duration{1000})});
      continue;
    }
    const Time expires = workspace.asked.sent + wait + kUrgentValidity;
    workspace.early.push_back({ready, expires, std::move(waiter)});
    wait += every;
    --left;
  }
}

void ShareBorrower::ReleaseEarly(Workspace &workspace) {
  const Time now = this->clock.Now();
  std::deque<Early> due;
  std::deque<Early> rest;
  for (auto &entry : workspace.early) {
    (entry.ready <= now ? due : rest).push_back(std::move(entry));
  }
  workspace.early = std::move(rest);
  for (auto &entry : due) {
    if (now < entry.expires) {
      entry.waiter.done({true, Reason::kNone, {}});
      continue;
    }
    entry.waiter.done({false, Reason::kNoShare, kNoShareRetry});
  }
}

void ShareBorrower::Refused(const std::string &name, Workspace &workspace,
                            bool answered, Duration retry_after) {
  Round &round = workspace.round;
  const bool sooner =
      round.retry_after == Duration{0} || retry_after < round.retry_after;
  if (answered && sooner) round.retry_after = retry_after;
  workspace.asking = false;
  if (round.early) {
    if (!this->AskEarly(name, workspace)) this->RefuseAll(workspace);
    return;
  }
  if (answered) {
    ++round.answers;
    round.next_share[workspace.preferred] = std::max(retry_after, Duration{1});
  }
  ++round.refusals;
  workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  if (workspace.waiters.empty()) return;
  this->AskOne(name, workspace);
}

void ShareBorrower::RefuseAll(Workspace &workspace) {
  if (workspace.waiters.empty()) return;
  const Time now = this->clock.Now();
  workspace.empty_until = now + std::clamp(workspace.round.retry_after,
                                           Duration{1000}, kLongestEmpty);
  auto waiters = std::exchange(workspace.waiters, {});
  for (auto &waiter : waiters) {
    waiter.done({false, Reason::kRateLimited,
                 std::max(workspace.round.retry_after, Duration{1000})});
  }
}

void ShareBorrower::RefuseLate(Workspace &workspace) {
  if (workspace.waiters.empty()) return;
  const Time now = this->clock.Now();
  const Duration longest =
      workspace.round.answers == 0 ? kLongestWait : kLongestPartWait;
  std::deque<Waiter> late;
  std::deque<Waiter> rest;
  for (auto &waiter : workspace.waiters) {
    const bool over =
        now - waiter.since >= longest || now >= waiter.wait_limit.deadline;
    (over ? late : rest).push_back(std::move(waiter));
  }
  workspace.waiters = std::move(rest);
  for (auto &waiter : late) {
    waiter.done({false, Reason::kNoShare, kNoShareRetry});
  }
}

void ShareBorrower::Receive(const BorrowReply &reply) {
  const auto found = this->workspaces.find(reply.workspace);
  if (found == this->workspaces.end()) return;
  Workspace &workspace = found->second;
  if (!workspace.asking || workspace.asked.loan != reply.loan) return;
  if (reply.holder && reply.early.count > 0) {
    this->TakeEarly(workspace, reply.early);
    this->Refused(reply.workspace, workspace, true,
                  Duration{reply.retry_after_us});
    return;
  }
  if (!reply.holder || reply.granted == 0) {
    this->Refused(reply.workspace, workspace, reply.holder,
                  Duration{reply.retry_after_us});
    return;
  }
  const Duration validity = this->options.Less(Duration{reply.validity_us});
  // The loan was made after it was asked for, so it ends no earlier than this.
  const Time expires = workspace.asked.sent + validity;
  workspace.asking = false;
  // Drawing on all slots alike keeps any one from being full while others
  // are empty.
  workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  if (expires > this->clock.Now()) {
    const bool urgent = Duration{reply.validity_us} <= kUrgentValidity;
    workspace.loans.push_back({reply.slot, reply.loan, reply.granted,
                               workspace.asked.sent, expires, urgent});
  }
  this->Serve(workspace);
  if (!workspace.waiters.empty()) this->Ask(reply.workspace, workspace);
}

void ShareBorrower::Serve(Workspace &workspace) {
  this->DropExpired(workspace);
  while (!workspace.waiters.empty() && this->Spend(workspace)) {
    auto waiter = std::move(workspace.waiters.front());
    workspace.waiters.pop_front();
    waiter.done({true, Reason::kNone, {}});
  }
}

void ShareBorrower::Tick() {
  const Time now = this->clock.Now();
  auto next = this->workspaces.begin();
  while (next != this->workspaces.end()) {
    const auto here = next++;
    const std::string &name = here->first;
    Workspace &workspace = here->second;
    const bool silent =
        workspace.asking && now - workspace.asked.sent >= kHolderTimeout;
    if (silent) this->Refused(name, workspace, false, Duration{0});
    this->ReleaseEarly(workspace);
    this->RefuseLate(workspace);
    if (!workspace.waiters.empty()) this->Ask(name, workspace);
    this->DropExpired(workspace);
    this->ReturnIdle(workspace);
    this->SendReturns(name, workspace);
    if (this->Forgettable(workspace)) this->workspaces.erase(here);
  }
}

bool ShareBorrower::Forgettable(const Workspace &workspace) const {
  const bool idle = workspace.loans.empty() && workspace.waiters.empty() &&
                    workspace.early.empty() && !workspace.asking;
  return idle && this->clock.Now() - workspace.demand_from > kForgetAfter;
}

void ShareBorrower::ReturnIdle(Workspace &workspace) const {
  if (workspace.loans.empty()) return;
  const Loan &loan = workspace.loans.front();
  if (this->clock.Now() - loan.taken < kReturnAge) return;
  // Share that is not needed here may be needed elsewhere.
  workspace.returns[loan.slot].push_back({loan.id, loan.left});
  workspace.loans.pop_front();
}

void ShareBorrower::SendReturns(const std::string &name, Workspace &workspace) {
  // While a loan is out, its holder does not refill its part of the burst.
  for (auto &[slot, returns] : workspace.returns) {
    if (returns.empty()) continue;
    BorrowRequest request;
    request.slot = slot;
    request.workspace = name;
    request.borrower = this->process;
    request.returns = std::exchange(returns, {});
    const bool sent = this->observer.SendBorrow(request);
    // Without a holder the loan's rest is lost, never spent twice.
    static_cast<void>(sent);
  }
}

}  // namespace pollenring
