#include "pollenring/share/borrower.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "pollenring/share/slots_of.h"

namespace pollenring {
namespace {

/*! @brief Maximum wait of a request while no holder responds. */
constexpr Duration kMaxWait = std::chrono::seconds{1};
/*! @brief Maximum wait while some holders are empty and others unreachable. */
constexpr Duration kMaxPartialWait = std::chrono::milliseconds{250};
/*! @brief Pause between rounds that did not reach every holder. */
constexpr Duration kRoundPause = std::chrono::milliseconds{20};
/*! @brief Maximum number of waiting requests per workspace. */
constexpr std::size_t kMaxWaiters = 1000;
/*! @brief Retry-after for requests whose wait limit has passed. */
constexpr Duration kNoShareRetry = std::chrono::milliseconds{500};
/*! @brief Time-out for the reply of one holder. */
constexpr Duration kHolderTimeout = std::chrono::milliseconds{80};
/*! @brief How far ahead of demand share is borrowed, in seconds. */
constexpr double kAheadSeconds = 0.1;
/*! @brief Fraction of the advance below which more is borrowed. */
constexpr double kLowWater = 0.4;
/*! @brief Maximum pause in querying after all holders were empty. */
constexpr Duration kMaxEmptyPause = std::chrono::milliseconds{20};
/*! @brief Age at which the unspent part of a loan is returned. */
constexpr Duration kReturnAge = std::chrono::milliseconds{250};
constexpr Duration kDemandWindow = std::chrono::milliseconds{100};
constexpr double kDemandWeight = 0.5;
/*! @brief Idle time after which a workspace is removed. */
constexpr Duration kIdleExpiry = std::chrono::seconds{10};
constexpr std::uint32_t kMaxWanted = 100'000;
constexpr std::size_t kMaxReturns = 16;

}  // namespace

ShareBorrower::ShareBorrower(std::uint64_t process, SlotId slots,
                             const LeaseOptions &options, const Clock &clock,
                             ShareDelegate &delegate)
    : process{process},
      slots{slots},
      options{options},
      clock{clock},
      delegate{delegate} {}

// Takes the name by value: a callback may change the caller's string.
void ShareBorrower::Charge(std::string name, WaitLimit wait_limit, Done done) {
  Workspace &workspace = this->WorkspaceOf(name);
  this->Measure(workspace);
  ++workspace.charges;
  this->DropExpired(workspace);
  if (workspace.waiters.empty() && this->Spend(workspace)) {
    done({true, Reason::kNone, {}});
    const double low = Ahead(workspace) * kLowWater;
    if (Stock(workspace) < low) this->StartRound(name, workspace);
    return;
  }
  const Time now = this->clock.Now();
  if (now < workspace.empty_until) {
    done({false, Reason::kRateLimited, workspace.round.retry_after});
    return;
  }
  if (workspace.waiters.size() >= kMaxWaiters) {
    done({false, Reason::kNoShare, kNoShareRetry});
    return;
  }
  workspace.waiters.push_back({now, wait_limit, std::move(done)});
  this->StartRound(name, workspace);
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
  // With sparse demand, share borrowed ahead would lie idle.
  return std::floor(workspace.demand * kAheadSeconds);
}

std::uint32_t ShareBorrower::Wanted(const Workspace &workspace) {
  const double want = Ahead(workspace) +
                      static_cast<double>(workspace.waiters.size()) -
                      static_cast<double>(Stock(workspace));
  return static_cast<std::uint32_t>(
      std::clamp(want, 1.0, static_cast<double>(kMaxWanted)));
}

void ShareBorrower::StartRound(const std::string &name, Workspace &workspace) {
  if (workspace.awaiting_reply) return;
  if (this->clock.Now() < workspace.next_round) return;
  workspace.round = Round{};
  workspace.round.next_refill.resize(workspace.slots.size());
  this->QueryNextHolder(name, workspace);
}

BorrowRequest ShareBorrower::ToRequest(const std::string &name,
                                       Workspace &workspace) {
  BorrowRequest request;
  request.slot = workspace.slots[workspace.preferred];
  request.workspace = name;
  request.borrower = this->process;
  auto &returns = workspace.returns[request.slot];
  const std::size_t count = std::min(returns.size(), kMaxReturns);
  request.returns.assign(returns.end() - static_cast<std::ptrdiff_t>(count),
                         returns.end());
  returns.clear();
  return request;
}

void ShareBorrower::QueryNextHolder(const std::string &name,
                                    Workspace &workspace) {
  while (workspace.round.refusals < workspace.slots.size()) {
    BorrowRequest request = this->ToRequest(name, workspace);
    request.loan = ++this->last_loan;
    request.want = this->Wanted(workspace);
    request.urgent = static_cast<std::uint32_t>(workspace.waiters.size());
    workspace.awaiting_reply = true;
    workspace.pending = {request.loan, request.slot, this->clock.Now()};
    if (this->delegate.SendBorrow(request)) return;
    workspace.awaiting_reply = false;
    ++workspace.round.refusals;
    workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  }
  this->EndRound(name, workspace);
}

bool ShareBorrower::AllHoldersEmpty(const Workspace &workspace) {
  return workspace.round.empty_replies == workspace.slots.size();
}

void ShareBorrower::EndRound(const std::string &name, Workspace &workspace) {
  if (AllHoldersEmpty(workspace)) {
    if (this->RequestEarlyGrant(name, workspace)) return;
    this->RefuseAll(workspace);
    return;
  }
  // During a handover or after a lost message, share may be available soon.
  workspace.next_round = this->clock.Now() + kRoundPause;
}

bool ShareBorrower::RequestEarlyGrant(const std::string &name,
                                      Workspace &workspace) {
  if (workspace.waiters.empty()) return false;
  auto &next_refill = workspace.round.next_refill;
  // Share granted after its waiters have given up is lost to everyone.
  Duration max_wait{0};
  for (const auto &waiter : workspace.waiters) {
    const Duration left = waiter.wait_limit.next_refill - this->clock.Now();
    max_wait = std::max(max_wait, std::min(left, kMaxEarlyWait));
  }
  std::optional<std::size_t> soonest;
  for (std::size_t i = 0; i < next_refill.size(); ++i) {
    if (next_refill[i] <= Duration{0} || next_refill[i] >= max_wait) continue;
    if (!soonest || next_refill[i] < next_refill[*soonest]) soonest = i;
  }
  if (!soonest) return false;
  workspace.preferred = *soonest;
  next_refill[*soonest] = Duration{0};
  BorrowRequest request = this->ToRequest(name, workspace);
  request.loan = ++this->last_loan;
  request.want = static_cast<std::uint32_t>(workspace.waiters.size());
  request.urgent = request.want;
  request.early = request.want;
  request.early_within_us = max_wait.count();
  workspace.round.early = true;
  workspace.awaiting_reply = true;
  workspace.pending = {request.loan, request.slot, this->clock.Now()};
  if (this->delegate.SendBorrow(request)) return true;
  workspace.awaiting_reply = false;
  return false;
}

void ShareBorrower::AcceptEarlyGrant(Workspace &workspace,
                                     const EarlyGrant &grant) {
  // The delays count from when the holder sent the reply, so counting from its
  // arrival is never too early.
  Duration wait = this->options.LengthenForDrift(Duration{grant.first_us});
  const Duration interval =
      this->options.LengthenForDrift(Duration{grant.interval_us});
  std::uint32_t left = grant.count;
  while (left > 0 && !workspace.waiters.empty()) {
    Waiter waiter = std::move(workspace.waiters.front());
    workspace.waiters.pop_front();
    const Time ready = this->clock.Now() + wait;
    if (ready >= waiter.wait_limit.next_refill) {
      waiter.done(
          {false, Reason::kRateLimited, std::max(wait, Duration{1000})});
      continue;
    }
    const Time expires = workspace.pending.sent + wait + kUrgentValidity;
    workspace.early.push_back({ready, expires, std::move(waiter)});
    wait += interval;
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

void ShareBorrower::HandleRefusal(const std::string &name, Workspace &workspace,
                                  bool replied, Duration retry_after) {
  Round &round = workspace.round;
  const bool sooner =
      round.retry_after == Duration{0} || retry_after < round.retry_after;
  if (replied && sooner) round.retry_after = retry_after;
  workspace.awaiting_reply = false;
  if (round.early) {
    if (!this->RequestEarlyGrant(name, workspace)) this->RefuseAll(workspace);
    return;
  }
  if (replied) {
    ++round.empty_replies;
    round.next_refill[workspace.preferred] = std::max(retry_after, Duration{1});
  }
  ++round.refusals;
  workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  if (workspace.waiters.empty()) return;
  this->QueryNextHolder(name, workspace);
}

void ShareBorrower::RefuseAll(Workspace &workspace) {
  if (workspace.waiters.empty()) return;
  const Time now = this->clock.Now();
  workspace.empty_until = now + std::clamp(workspace.round.retry_after,
                                           Duration{1000}, kMaxEmptyPause);
  auto waiters = std::exchange(workspace.waiters, {});
  for (auto &waiter : waiters) {
    waiter.done({false, Reason::kRateLimited,
                 std::max(workspace.round.retry_after, Duration{1000})});
  }
}

void ShareBorrower::RefuseOverdue(Workspace &workspace) {
  if (workspace.waiters.empty()) return;
  const Time now = this->clock.Now();
  const Duration max_wait =
      workspace.round.empty_replies == 0 ? kMaxWait : kMaxPartialWait;
  std::deque<Waiter> late;
  std::deque<Waiter> rest;
  for (auto &waiter : workspace.waiters) {
    const bool over =
        now - waiter.since >= max_wait || now >= waiter.wait_limit.deadline;
    (over ? late : rest).push_back(std::move(waiter));
  }
  workspace.waiters = std::move(rest);
  for (auto &waiter : late) {
    waiter.done({false, Reason::kNoShare, kNoShareRetry});
  }
}

void ShareBorrower::HandleReply(const BorrowReply &reply) {
  const auto found = this->workspaces.find(reply.workspace);
  if (found == this->workspaces.end()) return;
  Workspace &workspace = found->second;
  if (!workspace.awaiting_reply || workspace.pending.loan != reply.loan) return;
  if (reply.holder && reply.early.count > 0) {
    this->AcceptEarlyGrant(workspace, reply.early);
    this->HandleRefusal(reply.workspace, workspace, true,
                        Duration{reply.retry_after_us});
    return;
  }
  if (!reply.holder || reply.granted == 0) {
    this->HandleRefusal(reply.workspace, workspace, reply.holder,
                        Duration{reply.retry_after_us});
    return;
  }
  const Duration validity =
      this->options.ShortenForDrift(Duration{reply.validity_us});
  // The holder grants after the request was sent, so no loan ends earlier.
  const Time expires = workspace.pending.sent + validity;
  workspace.awaiting_reply = false;
  // Rotation over all slots keeps them about equally full.
  workspace.preferred = (workspace.preferred + 1) % workspace.slots.size();
  if (expires > this->clock.Now()) {
    const bool urgent = Duration{reply.validity_us} <= kUrgentValidity;
    workspace.loans.push_back({reply.slot, reply.loan, reply.granted,
                               workspace.pending.sent, expires, urgent});
  }
  this->ServeWaiters(workspace);
  if (!workspace.waiters.empty()) this->StartRound(reply.workspace, workspace);
}

void ShareBorrower::ServeWaiters(Workspace &workspace) {
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
    const bool unreachable = workspace.awaiting_reply &&
                             now - workspace.pending.sent >= kHolderTimeout;
    if (unreachable) this->HandleRefusal(name, workspace, false, Duration{0});
    this->ReleaseEarly(workspace);
    this->RefuseOverdue(workspace);
    if (!workspace.waiters.empty()) this->StartRound(name, workspace);
    this->DropExpired(workspace);
    this->ReturnIdle(workspace);
    this->SendReturns(name, workspace);
    if (this->IsRemovable(workspace)) this->workspaces.erase(here);
  }
}

bool ShareBorrower::IsRemovable(const Workspace &workspace) const {
  const bool idle = workspace.loans.empty() && workspace.waiters.empty() &&
                    workspace.early.empty() && !workspace.awaiting_reply;
  return idle && this->clock.Now() - workspace.demand_from > kIdleExpiry;
}

void ShareBorrower::ReturnIdle(Workspace &workspace) const {
  if (workspace.loans.empty()) return;
  const Loan &loan = workspace.loans.front();
  if (this->clock.Now() - loan.taken < kReturnAge) return;
  // Unused share may be needed on another node.
  workspace.returns[loan.slot].push_back({loan.id, loan.left});
  workspace.loans.pop_front();
}

void ShareBorrower::SendReturns(const std::string &name, Workspace &workspace) {
  // While a loan is open, its holder does not refill that part of the burst.
  for (auto &[slot, returns] : workspace.returns) {
    if (returns.empty()) continue;
    BorrowRequest request;
    request.slot = slot;
    request.workspace = name;
    request.borrower = this->process;
    request.returns = std::exchange(returns, {});
    const bool sent = this->delegate.SendBorrow(request);
    // Without a holder the unspent part is lost, never spent twice.
    static_cast<void>(sent);
  }
}

}  // namespace pollenring
