#include "pollenring/retry/budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenring {
namespace {

/*! @brief Time for which a report that targets make no calls holds. */
constexpr Duration kLeafLifetime = std::chrono::seconds{10};
/*! @brief Seconds of earnings that can be saved at such services. Refused roots
 * lower the traffic while earlier savings are spent: at 0.3 of it, the retries
 * are 0.15 + 0.015 / 0.3 = 0.2 of the requests in 10 s. */
constexpr double kLeafSavingsSeconds = 1;

}  // namespace

TrafficRetryBudget::Account &TrafficRetryBudget::AccountOf(
    const std::string &service) {
  Account &account = this->accounts[service];
  const Time now = this->clock.Now();
  const auto age = static_cast<double>((now - account.as_of).count());
  account.as_of = now;
  if (now < account.leaf_until && account.balance > 0) {
    const double most = account.rank.EarnedPerSecond(now) * kLeafSavingsSeconds;
    account.balance = std::min(account.balance, most);
    return account;
  }
  const Duration decay = account.balance > 0 ? this->options.savings_decay
                                             : this->options.debt_decay;
  const auto time_constant = static_cast<double>(decay.count());
  account.balance *= std::exp(-age / time_constant);
  return account;
}

void TrafficRetryBudget::RecordFirstCall(const std::string &service,
                                         bool answered) {
  if (!this->options.ranked && !answered) return;
  Account &account = this->AccountOf(service);
  const bool leaf = account.as_of < account.leaf_until;
  const double earned =
      leaf ? this->options.leaf_retry_ratio : this->options.retry_ratio;
  account.balance += earned;
  account.rank.RecordEarned(earned, account.as_of);
}

void TrafficRetryBudget::SetMakesNoCalls(const std::string &service,
                                         bool makes_no_calls) {
  Account &account = this->AccountOf(service);
  account.leaf_until = makes_no_calls ? account.as_of + kLeafLifetime : Time{};
}

void TrafficRetryBudget::RecordRetriedCall(const std::string &service) {
  Account &account = this->AccountOf(service);
  account.balance = std::max(account.balance - 1, -this->options.max_debt);
}

double TrafficRetryBudget::RetriedFrom(const std::string &service) {
  Account &account = this->AccountOf(service);
  return account.rank.Level(std::max(0.0, account.balance), account.as_of);
}

bool TrafficRetryBudget::Spend(const std::string &service, double priority) {
  Account &account = this->AccountOf(service);
  const bool granted = this->Grant(account, priority);
  account.rank.RecordAsked(priority, granted, account.as_of);
  return granted;
}

bool TrafficRetryBudget::Grant(Account &account, double priority) {
  const double saved = std::max(0.0, account.balance);
  const bool outranked = this->options.ranked &&
                         priority < account.rank.Level(saved, account.as_of);
  if (outranked) return false;
  if (account.balance >= 1) {
    account.balance -= 1;
    return true;
  }
  if (account.balance <= 0) return false;
  // The fraction is spent either way, so repeated attempts gain nothing.
  return this->random.Chance(std::exchange(account.balance, 0));
}

}  // namespace pollenring
