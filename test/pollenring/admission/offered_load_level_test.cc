#include "pollenring/admission/offered_load_level.h"

#include <catch2/catch.hpp>

#include "pollenring/admission/shed_levels.h"
#include "pollenring/core/random.h"

namespace {

using namespace std::chrono_literals;
using pollenring::AdmissionRequest;
using pollenring::Duration;
using pollenring::Importance;
using pollenring::ManualClock;
using pollenring::OfferedLoadLevel;
using pollenring::OfferedLoadLevelOptions;
using pollenring::QueueState;
using pollenring::SeededRandom;

/*! @brief A service whose roots arrive some time after they are let in. */
class DeepService {
 public:
  /*! @brief Callers refuse below that part of the level. */
  explicit DeepService(Duration way, double heard = 1,
                       Importance importance = Importance::kLow)
      : way{way}, heard{heard}, importance{importance} {}

  /*! @brief Runs for a while at an offered rate. @return Mean part kept. */
  double Run(Duration length, double offered_per_second) {
    const Duration step = 10ms;
    double kept = 0;
    double all = 0;
    for (Duration t{0}; t < length; t += step) {
      this->clock.Advance(step);
      const double count = offered_per_second * 0.01;
      for (int i = 0; i < static_cast<int>(count); ++i) this->Offer(kept, all);
      this->Arrive();
      const double done = kCapacity * 0.01;
      this->queue = std::max(0.0, this->queue - done);
      const auto delay_us = this->queue / kCapacity * 1e6;
      this->level.Tick(
          {Duration{static_cast<std::int64_t>(delay_us)}, kCapacity});
      this->longest = std::max(this->longest, this->queue / kCapacity);
    }
    return kept / all;
  }

  [[nodiscard]] double Level() const {
    return this->level.AdmissionLevelOf({});
  }

  static constexpr double kCapacity = 1000;
  double longest{}; /*!< Longest queue, in seconds. */

 private:
  void Offer(double &kept, double &all) {
    all += 1;
    const double sub_priority = this->random.Fraction();
    const double priority =
        pollenring::PriorityOf(this->importance, sub_priority);
    if (priority < this->level.AdmissionLevelOf({}) * this->heard) return;
    kept += 1;
    AdmissionRequest ticket;
    ticket.importance = this->importance;
    ticket.sub_priority = sub_priority;
    this->under_way.push_back({this->clock.Now() + this->way, ticket});
  }

  void Arrive() {
    while (!this->under_way.empty() &&
           this->under_way.front().first <= this->clock.Now()) {
      this->level.Offered(this->under_way.front().second);
      this->queue += 1;
      this->under_way.erase(this->under_way.begin());
    }
  }

  Duration way;
  double heard;
  Importance importance;
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{7};
  OfferedLoadLevel level{OfferedLoadLevelOptions{}, clock};
  std::vector<std::pair<pollenring::Time, AdmissionRequest>> under_way;
  double queue{};
};

}  // namespace

TEST_CASE("fit level: nothing is refused below the capacity") {
  DeepService service{500ms};
  CHECK(service.Run(10s, 900) == 1.0);
  CHECK(service.Level() == 0);
}

TEST_CASE("fit level: twice the capacity is halved, however deep it is felt") {
  const Duration way = GENERATE(Duration{0}, Duration{200ms}, Duration{500ms});
  CAPTURE(way.count());
  DeepService service{way};
  static_cast<void>(service.Run(10s, 2000));
  // Steady by now: what is let in fits and slots don't idle.
  service.longest = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.8 * DeepService::kCapacity);
  CHECK(kept * 2000 < 1.05 * DeepService::kCapacity);
  CHECK(service.longest < 0.4);
}

TEST_CASE("fit level: too many of the first workspaces are refused as well") {
  DeepService service{200ms, 1, Importance::kCritical};
  static_cast<void>(service.Run(10s, 2000));
  service.longest = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.8 * DeepService::kCapacity);
  CHECK(kept * 2000 < 1.05 * DeepService::kCapacity);
  CHECK(service.longest < 0.4);
  CHECK(service.Level() > 3);
}

TEST_CASE("fit level: without first workspaces it stays below them") {
  DeepService service{200ms, 1, Importance::kHigh};
  static_cast<void>(service.Run(20s, 4000));
  CHECK(service.Level() > 2.5);
  CHECK(service.Level() <= 3);
}

TEST_CASE("fit level: a queue is drained though callers heard half the level") {
  // As where a second target of the service has room that nobody uses.
  DeepService service{200ms, 0.5};
  static_cast<void>(service.Run(15s, 2000));
  service.longest = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.75 * DeepService::kCapacity);
  CHECK(service.longest < 0.4);
}

TEST_CASE("fit level: it goes when the overload does") {
  DeepService service{200ms};
  static_cast<void>(service.Run(10s, 2000));
  REQUIRE(service.Level() > 0.3);
  static_cast<void>(service.Run(3s, 500));
  CHECK(service.Level() == 0);
}
