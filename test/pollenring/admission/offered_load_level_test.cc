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

/*! @brief A service that requests reach some time after their admission. */
class DeepService {
 public:
  /*! @brief Callers refuse below the fraction `known_fraction` of the level. */
  explicit DeepService(Duration path_delay, double known_fraction = 1,
                       Importance importance = Importance::kLow)
      : path_delay{path_delay},
        known_fraction{known_fraction},
        importance{importance} {}

  /*! @brief Runs at an offered rate. @return Fraction of requests admitted. */
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
      this->max_queue_s = std::max(this->max_queue_s, this->queue / kCapacity);
    }
    return kept / all;
  }

  [[nodiscard]] double Level() const {
    return this->level.AdmissionLevelOf({});
  }

  static constexpr double kCapacity = 1000;
  double max_queue_s{}; /*!< Longest queue, in seconds. */

 private:
  void Offer(double &kept, double &all) {
    all += 1;
    const double sub_priority = this->random.Fraction();
    const double priority =
        pollenring::PriorityOf(this->importance, sub_priority);
    if (priority < this->level.AdmissionLevelOf({}) * this->known_fraction)
      return;
    kept += 1;
    AdmissionRequest request;
    request.importance = this->importance;
    request.sub_priority = sub_priority;
    this->under_way.push_back({this->clock.Now() + this->path_delay, request});
  }

  void Arrive() {
    while (!this->under_way.empty() &&
           this->under_way.front().first <= this->clock.Now()) {
      this->level.Offered(this->under_way.front().second);
      this->queue += 1;
      this->under_way.erase(this->under_way.begin());
    }
  }

  Duration path_delay;
  double known_fraction;
  Importance importance;
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{7};
  OfferedLoadLevel level{OfferedLoadLevelOptions{}, clock};
  std::vector<std::pair<pollenring::Time, AdmissionRequest>> under_way;
  double queue{};
};

}  // namespace

TEST_CASE("offered load level: nothing is refused below the capacity") {
  DeepService service{500ms};
  CHECK(service.Run(10s, 900) == 1.0);
  CHECK(service.Level() == 0);
}

TEST_CASE(
    "offered load level: twice the capacity is halved at any path delay") {
  const Duration path_delay =
      GENERATE(Duration{0}, Duration{200ms}, Duration{500ms});
  CAPTURE(path_delay.count());
  DeepService service{path_delay};
  static_cast<void>(service.Run(10s, 2000));
  // In the steady state admitted requests fit and slots don't idle.
  service.max_queue_s = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.8 * DeepService::kCapacity);
  CHECK(kept * 2000 < 1.05 * DeepService::kCapacity);
  CHECK(service.max_queue_s < 0.4);
}

TEST_CASE(
    "offered load level: critical requests above the capacity are refused") {
  DeepService service{200ms, 1, Importance::kCritical};
  static_cast<void>(service.Run(10s, 2000));
  service.max_queue_s = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.8 * DeepService::kCapacity);
  CHECK(kept * 2000 < 1.05 * DeepService::kCapacity);
  CHECK(service.max_queue_s < 0.4);
  CHECK(service.Level() > 3);
}

TEST_CASE(
    "offered load level: without critical requests it stays below their "
    "range") {
  DeepService service{200ms, 1, Importance::kHigh};
  static_cast<void>(service.Run(20s, 4000));
  CHECK(service.Level() > 2.5);
  CHECK(service.Level() <= 3);
}

TEST_CASE(
    "offered load level: a queue drains though callers know half the level") {
  // As if a second target of the service had unused capacity.
  DeepService service{200ms, 0.5};
  static_cast<void>(service.Run(15s, 2000));
  service.max_queue_s = 0;
  const double kept = service.Run(20s, 2000);
  CHECK(kept * 2000 > 0.75 * DeepService::kCapacity);
  CHECK(service.max_queue_s < 0.4);
}

TEST_CASE("offered load level: it falls to zero after the overload") {
  DeepService service{200ms};
  static_cast<void>(service.Run(10s, 2000));
  REQUIRE(service.Level() > 0.3);
  static_cast<void>(service.Run(3s, 500));
  CHECK(service.Level() == 0);
}
