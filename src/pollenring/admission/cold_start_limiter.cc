#include "pollenring/admission/cold_start_limiter.h"

#include <algorithm>

namespace pollenring {

double ColdStartLimit::PerSecond() const noexcept {
  const double seconds = std::chrono::duration<double>{this->window}.count();
  return seconds > 0 ? this->requests / seconds : 0;
}

Duration ColdStartLimiter::ColdFor() const noexcept {
  return std::max(Duration{0}, this->cold_until - this->clock.Now());
}

void ColdStartLimiter::DropOld() {
  const Time oldest = this->clock.Now() - this->tolerance.window;
  while (!this->sent.empty() && this->sent.front().first <= oldest) {
    this->sent.pop_front();
  }
}

bool ColdStartLimiter::HasRoom() {
  if (!this->Closed()) return true;
  this->DropOld();
  return this->sent.size() < static_cast<std::size_t>(this->tolerance.requests);
}

void ColdStartLimiter::Sent(std::uint64_t id) {
  if (!this->Closed()) return;
  this->sent.emplace_back(this->clock.Now(), id);
}

void ColdStartLimiter::GiveBack(std::uint64_t id) {
  const auto found =
      std::find_if(this->sent.begin(), this->sent.end(),
                   [id](const auto &entry) { return entry.second == id; });
  if (found != this->sent.end()) this->sent.erase(found);
}

}  // namespace pollenring
