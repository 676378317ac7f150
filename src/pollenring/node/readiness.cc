#include "pollenring/node/readiness.h"

#include <algorithm>

namespace pollenring {

Readiness::Readiness(const Clock &clock) : clock{clock} {
  this->states.fill({false, clock.Now()});
}

void Readiness::Set(ReadinessCondition condition, bool met) {
  State &state = this->states[static_cast<std::size_t>(condition)];
  const bool lost = state.met && !met;
  if (lost) state.since = this->clock.Now();
  state.met = met;
}

bool Readiness::Ready() const noexcept {
  return std::all_of(this->states.begin(), this->states.end(),
                     [](const State &state) { return state.met; });
}

nlohmann::json Readiness::Unmet() const {
  nlohmann::json unmet = nlohmann::json::array();
  for (const auto &row : kReadinessConditionNames.rows) {
    const State &state = this->states[static_cast<std::size_t>(row.value)];
    if (state.met) continue;
    const Duration age = this->clock.Now() - state.since;
    unmet.push_back({{"condition", row.name}, {"for_ms", age.count() / 1000}});
  }
  return unmet;
}

}  // namespace pollenring
