#include "pollenring/share/lender.h"

#include <algorithm>
#include <cmath>

#include "pollenring/core/invariant.h"

namespace pollenring {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/*! @brief Tolerance for sums of floating-point numbers. */
constexpr double kRounding = 1e-6;
/*! @brief Fraction of the slot's burst that may be lent ahead of demand. */
constexpr double kAdvanceFraction = 0.1;
/*! @brief Requests a slot may owe, in addition to the transit allowance. */
constexpr double kOwedRequests = 4;
/*! @brief Maximum number of borrowers remembered per workspace. */
constexpr std::size_t kMaxBorrowers = 8192;

}  // namespace

BorrowReply ShareLender::Lend(const BorrowRequest &request,
                              const WorkspaceRateLimit &limit,
                              const SharePart &part, Time valid_until) {
  const Time now = this->clock.Now();
  BorrowReply reply;
  reply.slot = request.slot;
  reply.workspace = request.workspace;
  reply.loan = request.loan;
  if (valid_until <= now) return reply;
  reply.holder = true;
  Bucket &bucket = this->BucketOf(request.workspace, limit, part);
  for (const auto &returned : request.returns) {
    this->AcceptReturn(bucket, request.borrower, returned);
  }
  const LoanKey key{request.borrower, request.loan};
  const auto repeated = bucket.loans.find(key);
  if (repeated != bucket.loans.end()) {
    return this->ReplyToRepeat(bucket, repeated->second, std::move(reply));
  }
  if (IsRepeat(bucket, request)) return reply;
  // Share lying idle with one borrower is missing when a burst arrives
  // elsewhere.
  const double whole = std::max(0.0, std::floor(bucket.level));
  const double urgent = std::min<double>(request.urgent, whole);
  const double idle = bucket.cap * kAdvanceFraction - bucket.lent;
  const double advance = std::clamp(std::floor(idle), 0.0, whole - urgent);
  const double granted = std::min<double>(request.want, urgent + advance);
  if (granted < 1) {
    this->GrantEarly(bucket, request, valid_until, reply);
    return reply;
  }
  // Waiting requests spend their share immediately, so none of it is returned.
  const Duration max_validity =
      granted > urgent ? kLoanValidity : kUrgentValidity;
  const Duration validity = std::min(max_validity, valid_until - now);
  const auto amount = static_cast<std::uint32_t>(granted);
  this->Grant(bucket, key, Loan{amount, now + validity, Time{}});
  reply.granted = amount;
  reply.validity_us = validity.count();
  return reply;
}

void ShareLender::Grant(Bucket &bucket, const LoanKey &key,
                        const Loan &loan) const {
  bucket.level -= loan.amount;
  bucket.lent += loan.amount;
  bucket.loans.emplace(key, loan);
  bucket.by_expiry.emplace(std::make_pair(loan.expires, key), loan.amount);
  CheckBound(bucket);
}

Duration ShareLender::RefillIntervalOf(const Bucket &bucket) noexcept {
  const double rate = std::max(bucket.rate, kRounding);
  return Duration{static_cast<std::int64_t>(kMicrosPerSecond / rate) + 1};
}

void ShareLender::GrantEarly(Bucket &bucket, const BorrowRequest &request,
                             Time valid_until, BorrowReply &reply) const {
  const Time now = this->clock.Now();
  const Duration interval = RefillIntervalOf(bucket);
  const double missing = std::max(0.0, 1 - bucket.level);
  const Duration first{static_cast<std::int64_t>(
      missing * static_cast<double>(interval.count()))};
  reply.retry_after_us = first.count();
  // The part of the burst withheld for transit, plus a few requests.
  const double max_count = std::floor(bucket.level + MaxOwed(bucket));
  const Duration within =
      std::min(Duration{request.early_within_us}, kMaxEarlyWait);
  if (first > within) return;
  const auto in_time = static_cast<double>((within - first) / interval + 1);
  const auto count = static_cast<std::uint32_t>(std::clamp(
      std::min(max_count, in_time), 0.0, static_cast<double>(request.early)));
  if (count == 0) return;
  const Duration last = first + interval * (count - 1);
  const Time expires = now + last + kUrgentValidity;
  if (expires >= valid_until) return;
  const LoanKey key{request.borrower, request.loan};
  this->Grant(bucket, key, Loan{count, expires, now + first});
  reply.early = {count, first.count(), interval.count()};
}

BorrowReply ShareLender::ReplyToRepeat(const Bucket &bucket, const Loan &loan,
                                       BorrowReply reply) const {
  const Time now = this->clock.Now();
  if (loan.first_early != Time{}) {
    const Duration first = std::max(Duration{0}, loan.first_early - now);
    reply.early = {loan.amount, first.count(),
                   RefillIntervalOf(bucket).count()};
    return reply;
  }
  reply.granted = loan.amount;
  reply.validity_us = (loan.expires - now).count();
  return reply;
}

std::map<std::string, BucketState> ShareLender::Contents() {
  std::map<std::string, BucketState> contents;
  for (auto &[workspace, bucket] : this->buckets) {
    this->Expire(bucket);
    this->Refill(bucket);
    contents[workspace] = {bucket.level, bucket.lent};
  }
  return contents;
}

void ShareLender::Inherit(const std::map<std::string, BucketState> &contents) {
  const Time now = this->clock.Now();
  for (const auto &[workspace, state] : contents) {
    Bucket &bucket = this->buckets[workspace];
    bucket.level = state.level;
    bucket.refilled = now;
    // The predecessor's loans can be spent until they expire.
    const auto amount = static_cast<std::uint32_t>(std::ceil(state.lent));
    if (amount == 0) continue;
    const LoanKey key{0, 0};
    bucket.lent = amount;
    bucket.loans.emplace(key, Loan{amount, now + kLoanValidity});
    bucket.by_expiry.emplace(std::make_pair(now + kLoanValidity, key), amount);
  }
}

double ShareLender::MaxOwed(const Bucket &bucket) noexcept {
  const double seconds =
      std::chrono::duration<double>{kTransitAllowance}.count();
  return bucket.rate * seconds + kOwedRequests;
}

ShareLender::Bucket &ShareLender::BucketOf(const std::string &workspace,
                                           const WorkspaceRateLimit &limit,
                                           const SharePart &part) {
  const auto [found, fresh] = this->buckets.try_emplace(workspace);
  Bucket &bucket = found->second;
  if (fresh) {
    bucket.refilled = this->initial_refill;
    ApplyLimits(bucket, limit, part);
  }
  this->Expire(bucket);
  // Elapsed time counts at the rate that was active until this change.
  this->Refill(bucket);
  ApplyLimits(bucket, limit, part);
  return bucket;
}

void ShareLender::ApplyLimits(Bucket &bucket, const WorkspaceRateLimit &limit,
                              const SharePart &part) {
  const double seconds =
      std::chrono::duration<double>{kTransitAllowance}.count();
  const double burst = std::max(1.0, limit.burst - limit.rate * seconds);
  // Each slot gets whole requests, as fractions of several slots can't be
  // combined into one.
  const double whole = std::floor(burst);
  const double each = std::floor(whole / part.count);
  const bool takes_rest = part.position < whole - each * part.count;
  const bool takes_fraction = part.position + 1 == part.count;
  bucket.rate = limit.rate / part.count;
  bucket.cap =
      each + (takes_rest ? 1 : 0) + (takes_fraction ? burst - whole : 0);
  // At a lower rate it takes longer to repay the debt.
  bucket.owed_before = std::max(0.0, -bucket.level);
  if (bucket.level <= 0) return;
  bucket.level =
      std::max(0.0, std::min(bucket.level, bucket.cap - bucket.lent));
}

void ShareLender::Refill(Bucket &bucket) const {
  const Time now = this->clock.Now();
  const auto elapsed = static_cast<double>((now - bucket.refilled).count());
  bucket.refilled = now;
  const double room = std::max(0.0, bucket.cap - bucket.lent - bucket.level);
  bucket.level += std::min(room, bucket.rate * elapsed / kMicrosPerSecond);
}

void ShareLender::Expire(Bucket &bucket) const {
  const Time now = this->clock.Now();
  while (!bucket.by_expiry.empty()) {
    const auto first = bucket.by_expiry.begin();
    if (first->first.first > now) return;
    bucket.lent -= first->second;
    bucket.loans.erase(first->first.second);
    bucket.by_expiry.erase(first);
  }
}

bool ShareLender::IsRepeat(Bucket &bucket, const BorrowRequest &request) {
  if (bucket.latest.size() > kMaxBorrowers) bucket.latest.clear();
  std::uint64_t &latest = bucket.latest[request.borrower];
  if (request.loan <= latest) return true;
  latest = request.loan;
  return false;
}

void ShareLender::AcceptReturn(Bucket &bucket, std::uint64_t borrower,
                               const LoanReturn &returned) const {
  const LoanKey key{borrower, returned.loan};
  const auto found = bucket.loans.find(key);
  if (found == bucket.loans.end()) return;
  const std::uint32_t amount = found->second.amount;
  bucket.by_expiry.erase({found->second.expires, key});
  bucket.loans.erase(found);
  bucket.lent -= amount;
  // The part may have shrunk in the meantime; the excess is dropped.
  const double room = std::max(0.0, bucket.cap - bucket.lent);
  const double unspent = std::min(returned.unspent, amount);
  bucket.level = std::min(bucket.level + unspent, room);
  CheckBound(bucket);
}

void ShareLender::CheckBound(const Bucket &bucket) {
  const double owed = std::max(MaxOwed(bucket), bucket.owed_before);
  Require(bucket.level >= -owed - kRounding && bucket.lent >= -kRounding,
          "debt stays within its limit and open loans are not negative");
  const bool within = bucket.lent <= kRounding ||
                      bucket.level + bucket.lent <=
                          std::max(bucket.cap, bucket.lent) + kRounding;
  Require(within, "level and loans stay within the slot's part of the burst");
}

}  // namespace pollenring
