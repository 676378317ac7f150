#include "pollenring/admission/target_rate_limiter.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "pollenring/admission/admission.h"
#include "pollenring/core/random.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Admission;
using pollenring::AdmissionActions;
using pollenring::AdmissionOptions;
using pollenring::AdmissionRequest;
using pollenring::ManualClock;
using pollenring::TargetRateLimiter;
using pollenring::Time;

/*! @brief From when on a stated limit binds. */
constexpr auto kContact = 3s;
constexpr auto kWindow = 4s;

/*! @brief A target that states a limit while it is in need, and its node. */
class LimitedTarget {
 public:
  explicit LimitedTarget(std::uint64_t seed) : random{seed} {
    this->Restart();
    this->per_second = 2 + 30 * this->random.Fraction();
    // Below what 60 slots complete.
    this->offered_per_second =
        std::min(150.0, this->per_second * (2 + 8 * this->random.Fraction()));
    this->latency = 20ms + std::chrono::milliseconds{this->random.Index(300)};
  }

  /*! @brief The node's process ends and another one starts. */
  void Restart() {
    AdmissionOptions options;
    options.limit.fixed = true;
    options.rate_limit.initial_rate = 20;
    this->admission = std::make_unique<Admission>(60, options, this->clock);
    this->running.clear();
  }

  void Run(std::chrono::milliseconds length) {
    for (auto passed = 0ms; passed < length; passed += 5ms) {
      this->clock.Advance(5ms);
      this->Respond();
      if (this->random.Chance(this->offered_per_second * 0.005)) {
        AdmissionRequest request;
        request.id = ++this->last_id;
        request.deadline = this->clock.Now() + 5s;
        request.soft_deadline = request.deadline;
        this->Perform(this->admission->Offer(request));
      }
      this->Perform(this->admission->Tick());
    }
  }

  /*! @brief Most arrivals in a window since the limit binds. */
  [[nodiscard]] std::size_t Most(Time since) const {
    std::size_t most = 0;
    std::deque<Time> window;
    for (const Time arrival : this->arrivals) {
      if (arrival < since) continue;
      window.push_back(arrival);
      while (window.front() <= arrival - kWindow) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }

  ManualClock clock{std::chrono::hours{1}};
  pollenring::SeededRandom random;
  bool in_need{};
  double per_second{};
  double offered_per_second{};
  std::deque<Time> arrivals;

 private:
  void Perform(const AdmissionActions &actions) {
    for (const std::uint64_t id : actions.start) {
      this->arrivals.push_back(this->clock.Now());
      this->running.emplace(this->clock.Now() + this->latency,
                            std::make_pair(id, this->clock.Now()));
    }
  }

  void Respond() {
    while (!this->running.empty() &&
           this->running.begin()->first <= this->clock.Now()) {
      const auto [id, sent] = this->running.begin()->second;
      this->running.erase(this->running.begin());
      const auto stated = this->in_need ? std::optional{this->per_second}
                                        : std::optional<double>{};
      this->admission->RecordRateLimit(stated, sent);
      this->Perform(this->admission->Finish(id, {}, false));
    }
  }

  std::unique_ptr<Admission> admission;
  std::multimap<Time, std::pair<std::uint64_t, Time>> running;
  std::chrono::milliseconds latency{};
  std::uint64_t last_id{};
};

}  // namespace

TEST_CASE(
    "target rate limiter: a target gets what it states, and no more, across "
    "restarts of its node") {
  for (const auto seed : support::Seeds(50)) {
    CAPTURE(seed);
    LimitedTarget target{seed};
    target.Run(2s);
    target.in_need = true;
    const Time since = target.clock.Now() + kContact;
    target.Run(std::chrono::milliseconds{3000 + target.random.Index(3000)});
    target.Restart();
    target.Run(6s);
    CAPTURE(target.per_second, target.offered_per_second);
    const double allowed = 1.5 * 4 * target.per_second + 5;
    CHECK(static_cast<double>(target.Most(since)) <= allowed);
    // Not less than nine tenths of it over the last five seconds.
    std::size_t recent = 0;
    for (const Time arrival : target.arrivals) {
      if (arrival > target.clock.Now() - 5s) ++recent;
    }
    CHECK(static_cast<double>(recent) >= 0.9 * 5 * target.per_second - 1);
    target.in_need = false;
    target.Run(1s);
    const std::size_t before = target.arrivals.size();
    target.Run(4s);
    CHECK(static_cast<double>(target.arrivals.size() - before) >=
          0.7 * 4 * target.offered_per_second);
  }
}

TEST_CASE("target rate limiter: a response prepared earlier ends no limit") {
  ManualClock clock{std::chrono::hours{1}};
  TargetRateLimiter limiter{{}, clock};
  const Time sent_before = clock.Now();
  clock.Advance(100ms);
  limiter.Record(10.0, sent_before);
  REQUIRE(limiter.Stated());
  limiter.Record(std::nullopt, sent_before);
  CHECK(limiter.Stated());
  clock.Advance(100ms);
  limiter.Record(std::nullopt, clock.Now());
  CHECK_FALSE(limiter.Stated());
}

TEST_CASE(
    "target rate limiter: a limit of zero still lets its end be noticed") {
  ManualClock clock{std::chrono::hours{1}};
  TargetRateLimiter limiter{{}, clock};
  limiter.Record(0.0, clock.Now());
  int sent = 0;
  for (auto passed = 0ms; passed < kWindow; passed += 20ms) {
    clock.Advance(20ms);
    if (!limiter.HasToken()) continue;
    limiter.Spend();
    ++sent;
  }
  CHECK(sent >= 1);
  CHECK(sent <= 5);
}

TEST_CASE(
    "target rate limiter: a target that does not respond is not limited for "
    "long") {
  ManualClock clock{std::chrono::hours{1}};
  TargetRateLimiter limiter{{20}, clock};
  for (int i = 0; i < 5; ++i) {
    REQUIRE(limiter.HasToken());
    limiter.Spend();
  }
  CHECK_FALSE(limiter.HasToken());
  clock.Advance(1100ms);
  for (int i = 0; i < 100; ++i) {
    CHECK(limiter.HasToken());
    limiter.Spend();
  }
}
