#include "pollenring/share/lender.h"

#include <algorithm>
#include <cmath>

#include "pollenring/core/invariant.h"

namespace pollenring {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/*! @brief Slack for sums of floating-point numbers. */
constexpr double kRounding = 1e-6;
/*! @brief Part of the slot's burst that may be lent for requests to come. */
constexpr double kAdvancePart = 0.1;
/*! @brief Requests that a slot may owe, beside what transit cuts. */
constexpr double kOwedPart = 4;
/*! @brief Borrowers whose latest loan is remembered, per workspace. */
constexpr std::size_t kMostBorrowers = 8192;

}  // namespace

BorrowReply ShareLender::Lend(const BorrowRequest &request,
                              const WorkspaceRateLimit &share,
                              const SharePart &part, Time valid_until) {
  const Time now = this->clock.Now();
  BorrowReply reply;
  reply.slot = request.slot;
  reply.workspace = request.workspace;
  reply.loan = request.loan;
  if (valid_until <= now) return reply;
  reply.holder = true;
  Bucket &bucket = this->BucketOf(request.workspace, share, part);
  for (const auto &returned : request.returns) {
    this->TakeBack(bucket, request.borrower, returned);
  }
  const LoanKey key{request.borrower, request.loan};
  const auto repeated = bucket.loans.find(key);
  if (repeated != bucket.loans.end()) {
    return this->Repeated(bucket, repeated->second, std::move(reply));
  }
  if (IsRepeat(bucket, request)) return reply;
  // What lies idle with one borrower is missing when a burst comes elsewhere.
  const double whole = std::max(0.0, std::floor(bucket.level));
  const double urgent = std::min<double>(request.urgent, whole);
  const double idle = bucket.cap * kAdvancePart - bucket.lent;
  const double advance = std::clamp(std::floor(idle), 0.0, whole - urgent);
  const double granted = std::min<double>(request.want, urgent + advance);
  if (granted < 1) {
    this->GrantEarly(bucket, request, valid_until, reply);
    return reply;
  }
  // Requests that wait take theirs at once, so none of it will come back.
  const Duration most = granted > urgent ? kLoanValidity : kUrgentValidity;
  const Duration validity = std::min(most, valid_until - now);
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

Duration ShareLender::EveryOf(const Bucket &bucket) noexcept {
  const double rate = std::max(bucket.rate, kRounding);
  return Duration{static_cast<std::int64_t>(kMicrosPerSecond / rate) + 1};
}

void ShareLender::GrantEarly(Bucket &bucket, const BorrowRequest &request,
                             Time valid_until, BorrowReply &reply) const {
  const Time now = this->clock.Now();
  const Duration every = EveryOf(bucket);
  const double missing = std::max(0.0, 1 - bucket.level);
  const Duration first{
      static_cast<std::int64_t>(missing * static_cast<double>(every.count()))};
  reply.retry_after_us = first.count();
  // What the burst was cut by for transit, and a part of a request.
  const double most = std::floor(bucket.level + MostOwed(bucket));
  const Duration within =
      std::min(Duration{request.early_within_us}, kLongestEarly);
  if (first > within) return;
  const auto in_time = static_cast<double>((within - first) / every + 1);
  const auto count = static_cast<std::uint32_t>(std::clamp(
      std::min(most, in_time), 0.0, static_cast<double>(request.early)));
  if (count == 0) return;
  const Duration last = first + every * (count - 1);
  const Time expires = now + last + kUrgentValidity;
  if (expires >= valid_until) return;
  const LoanKey key{request.borrower, request.loan};
  this->Grant(bucket, key, Loan{count, expires, now + first});
  reply.early = {count, first.count(), every.count()};
}

BorrowReply ShareLender::Repeated(const Bucket &bucket, const Loan &loan,
                                  BorrowReply reply) const {
  const Time now = this->clock.Now();
  if (loan.first_early != Time{}) {
    const Duration first = std::max(Duration{0}, loan.first_early - now);
    reply.early = {loan.amount, first.count(), EveryOf(bucket).count()};
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
    // Loans of the predecessor may still be spent for as long as they run.
    const auto amount = static_cast<std::uint32_t>(std::ceil(state.lent));
    if (amount == 0) continue;
    const LoanKey key{0, 0};
    bucket.lent = amount;
    bucket.loans.emplace(key, Loan{amount, now + kLoanValidity});
    bucket.by_expiry.emplace(std::make_pair(now + kLoanValidity, key), amount);
  }
}

double ShareLender::MostOwed(const Bucket &bucket) noexcept {
  const double seconds =
      std::chrono::duration<double>{kTransitAllowance}.count();
  return bucket.rate * seconds + kOwedPart;
}

ShareLender::Bucket &ShareLender::BucketOf(const std::string &workspace,
                                           const WorkspaceRateLimit &share,
                                           const SharePart &part) {
  const auto [found, fresh] = this->buckets.try_emplace(workspace);
  Bucket &bucket = found->second;
  if (fresh) {
    bucket.refilled = this->founded;
    SetContract(bucket, share, part);
  }
  this->Expire(bucket);
  // What has passed counts at the rate that was in force until now.
  this->Refill(bucket);
  SetContract(bucket, share, part);
  return bucket;
}

void ShareLender::SetContract(Bucket &bucket, const WorkspaceRateLimit &share,
                              const SharePart &part) {
  const double seconds =
      std::chrono::duration<double>{kTransitAllowance}.count();
  const double burst = std::max(1.0, share.burst - share.rate * seconds);
  // Whole requests to each slot, as none can be put together from parts.
  const double whole = std::floor(burst);
  const double each = std::floor(whole / part.count);
  const bool takes_rest = part.position < whole - each * part.count;
  const bool takes_fraction = part.position + 1 == part.count;
  bucket.rate = share.rate / part.count;
  bucket.cap =
      each + (takes_rest ? 1 : 0) + (takes_fraction ? burst - whole : 0);
  // With a lower rate it takes longer until what is owed has come.
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
  if (bucket.latest.size() > kMostBorrowers) bucket.latest.clear();
  std::uint64_t &latest = bucket.latest[request.borrower];
  if (request.loan <= latest) return true;
  latest = request.loan;
  return false;
}

void ShareLender::TakeBack(Bucket &bucket, std::uint64_t borrower,
                           const LoanReturn &returned) const {
  const LoanKey key{borrower, returned.loan};
  const auto found = bucket.loans.find(key);
  if (found == bucket.loans.end()) return;
  const std::uint32_t amount = found->second.amount;
  bucket.by_expiry.erase({found->second.expires, key});
  bucket.loans.erase(found);
  bucket.lent -= amount;
  // The part may have shrunk meanwhile; what lies beyond it is gone.
  const double room = std::max(0.0, bucket.cap - bucket.lent);
  const double unspent = std::min(returned.unspent, amount);
  bucket.level = std::min(bucket.level + unspent, room);
  CheckBound(bucket);
}

void ShareLender::CheckBound(const Bucket &bucket) {
  const double owed = std::max(MostOwed(bucket), bucket.owed_before);
  Require(bucket.level >= -owed - kRounding && bucket.lent >= -kRounding,
          "no share is lent that is not there, or comes next");
  const bool within = bucket.lent <= kRounding ||
                      bucket.level + bucket.lent <=
                          std::max(bucket.cap, bucket.lent) + kRounding;
  Require(within, "level and loans stay within the slot's part of the burst");
}

}  // namespace pollenring
