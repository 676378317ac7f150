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
  const Duration lasts =
      account.saved > 0 ? this->options.savings_last : this->options.debt_lasts;
  const auto memory = static_cast<double>(lasts.count());
  account.saved *= std::exp(-age / memory);
  account.as_of = now;
  return account;
}

void TrafficRetryBudget::Succeeded(const std::string &service) {
  this->AccountOf(service).saved += this->options.share;
}

void TrafficRetryBudget::RecordRetriedCall(const std::string &service) {
  Account &account = this->AccountOf(service);
  account.saved = std::max(account.saved - 1, -this->options.most_owed);
}

bool TrafficRetryBudget::Spend(const std::string &service) {
  Account &account = this->AccountOf(service);
  if (account.saved >= 1) {
    account.saved -= 1;
    return true;
  }
  if (account.saved <= 0) return false;
  // The part is gone either way, so that asking often gains nothing.
  return this->random.Chance(std::exchange(account.saved, 0));
}

}  // namespace pollenring
