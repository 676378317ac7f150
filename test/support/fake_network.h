#ifndef POLLENRING_TEST_SUPPORT_FAKE_NETWORK_H_
#define POLLENRING_TEST_SUPPORT_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"

namespace support {

using pollenring::Duration;
using pollenring::Time;

/*! @brief A clock with constant drift and offset. */
class DriftingClock final : public pollenring::Clock {
 public:
  DriftingClock(const pollenring::Clock &truth, double speed, Duration offset)
      : truth{truth}, speed{speed}, offset{offset} {}

  [[nodiscard]] Time Now() const noexcept override {
    const auto elapsed = static_cast<double>(this->truth.Now().count());
    return Time{static_cast<std::int64_t>(elapsed * this->speed)} +
           this->offset;
  }
  [[nodiscard]] pollenring::WallTime WallNow() const noexcept override {
    return this->truth.WallNow();
  }

 private:
  const pollenring::Clock &truth;
  double speed;
  Duration offset;
};

/*! @brief A simulated network that delays, duplicates, reorders and drops. */
class FakeNetwork {
 public:
  FakeNetwork(pollenring::ManualClock &truth, pollenring::Random &random)
      : truth{truth}, random{random} {}

  double loss{0.05};
  double duplication{0.05};
  Duration min_delay{200};
  Duration max_delay{3000};
  std::set<std::pair<int, int>> partitions;

  [[nodiscard]] bool Partitioned(int from, int to) const {
    return this->partitions.count({from, to}) > 0 ||
           this->partitions.count({to, from}) > 0;
  }

  void Send(int from, int to, const std::function<void()> &deliver) {
    if (this->Partitioned(from, to)) return;
    const int copies = this->random.Chance(this->duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->random.Chance(this->loss)) continue;
      this->At(this->truth.Now() + this->Delay(), deliver);
    }
  }

  void At(Time when, std::function<void()> event) {
    this->events.emplace(when, std::move(event));
  }

  [[nodiscard]] Duration Delay() {
    const auto width = static_cast<std::size_t>(
        (this->max_delay - this->min_delay).count() + 1);
    return this->min_delay +
           Duration{static_cast<std::int64_t>(this->random.Index(width))};
  }

  /*! @brief Advances the clock and runs all events due by then. */
  void RunUntil(Time until) {
    while (!this->events.empty() && this->events.begin()->first <= until) {
      auto node = this->events.extract(this->events.begin());
      const Duration step = node.key() - this->truth.Now();
      if (step > Duration{0}) this->truth.Advance(step);
      node.mapped()();
    }
    const Duration rest = until - this->truth.Now();
    if (rest > Duration{0}) this->truth.Advance(rest);
  }

 private:
  pollenring::ManualClock &truth;
  pollenring::Random &random;
  std::multimap<Time, std::function<void()>> events;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_FAKE_NETWORK_H_
