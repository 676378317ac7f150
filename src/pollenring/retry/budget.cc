#include "pollenring/retry/budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenring {

TrafficRetryBudget::Account &TrafficRetryBudget::AccountOf(
    const std::string &service) {
  Account &account = this->accounts[service];
  const Time now = this->clock.Now();
  const auto age = static_cast<double>((now - account.as_of).count());
  const Duration decay = account.balance > 0 ? this->options.savings_decay
                                             : this->options.debt_decay;
  const auto time_constant = static_cast<double>(decay.count());
  account.balance *= std::exp(-age / time_constant);
  account.as_of = now;
  return account;
}

void TrafficRetryBudget::RecordSuccess(const std::string &service) {
  this->AccountOf(service).balance += this->options.retry_ratio;
}

void TrafficRetryBudget::RecordRetriedCall(const std::string &service) {
  Account &account = this->AccountOf(service);
  account.balance = std::max(account.balance - 1, -this->options.max_debt);
}

bool TrafficRetryBudget::Spend(const std::string &service) {
  Account &account = this->AccountOf(service);
  if (account.balance >= 1) {
    account.balance -= 1;
    return true;
  }
  if (account.balance <= 0) return false;
  // The fraction is spent either way, so repeated attempts gain nothing.
  return this->random.Chance(std::exchange(account.balance, 0));
}

}  // namespace pollenring
