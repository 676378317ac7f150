#include "pollenring/admission/target_capacity.h"

#include <catch2/catch.hpp>
#include <string>

#include "pollenring/admission/admission.h"
#include "pollenring/core/random.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::SeededRandom;
using pollenring::TargetCapacity;
using pollenring::TargetLoad;

/*! @brief A target that serves 500 requests a second. */
struct Bench {
  explicit Bench(std::uint32_t slots = 100) : capacity{slots, clock} {}

  /*! @brief Serves requests. @param slowness The true one.
   * @param reported The reported one, in percent. */
  void Serve(int count, double slowness, std::uint32_t reported,
             const std::string &kind = "light", int running = 50) {
    for (int i = 0; i < count; ++i) {
      this->clock.Advance(2ms);
      TargetLoad load;
      load.slots = 100;
      load.slowness = reported;
      load.states_slowness = true;
      this->capacity.RecordLoad(load);
      const double mean_ms = kind == "light" ? 20 : 80;
      const double ms = mean_ms * slowness * 2 * this->random.Fraction();
      this->capacity.RecordServed(
          kind, Duration{static_cast<std::int64_t>(ms * 1000) + 1}, running);
    }
  }

  ManualClock clock{1h};
  SeededRandom random{11};
  TargetCapacity capacity;
};

}  // namespace

// Guards against any effect on targets that don't report their slowness.
TEST_CASE("target capacity: inactive without reported slowness") {
  Bench bench;
  bench.capacity.RecordLoad({50, 0, 100});
  bench.capacity.RecordServed("light", 20ms, 50);
  CHECK_FALSE(bench.capacity.Active());
  CHECK(bench.capacity.TimeOf("light").samples == 0);
  CHECK(bench.capacity.Slowness() == 1);
}

// Guards against a target that is filled beyond the point where it slows down.
TEST_CASE("target capacity: the limit stays below a knee and finds it anew") {
  Bench bench;
  const auto fill = [&](int rounds, double knee) {
    for (int i = 0; i < rounds; ++i) {
      const int running = 60 + i % (bench.capacity.Limit() - 59);
      const bool slow = running >= knee;
      bench.Serve(1, slow ? 1.3 : 1, slow ? 130 : 100, "light", running);
    }
  };
  fill(4000, 95);
  CHECK(bench.capacity.Limit() >= 90);
  CHECK(bench.capacity.Limit() < 95);
  fill(60'000, 1000);
  CHECK(bench.capacity.Limit() == 100);
}

// Guards against taking a change of mix for a change of speed.
TEST_CASE("target capacity: a change of mix is no change of speed") {
  Bench bench;
  bench.Serve(300, 1, 100, "light");
  bench.Serve(300, 1, 100, "heavy");
  bench.Serve(500, 1, 100, "light");
  CHECK(bench.capacity.Slowness() == Approx(1).epsilon(0.1));
  CHECK(bench.capacity.TimeOf("light").us == Approx(20'000).epsilon(0.1));
  CHECK(bench.capacity.TimeOf("heavy").us == Approx(80'000).epsilon(0.1));
}

// Guards against an estimate that lags behind noise of a few hundred
// milliseconds: the reported value is ignored.
TEST_CASE("target capacity: reported slowness counts at once") {
  Bench bench;
  bench.Serve(500, 1, 100);
  bench.Serve(2, 1, 250);
  CHECK(bench.capacity.Slowness() == Approx(2.5).epsilon(0.1));
}

// Guards against trusting a report that measured times contradict.
TEST_CASE("target capacity: a step is followed within a second") {
  const std::uint32_t reported = GENERATE(100, 20);
  Bench bench;
  bench.Serve(1000, 1, 100);
  bench.Serve(500, 2, reported);
  const double us =
      bench.capacity.Slowness() * bench.capacity.TimeOf("light").us;
  CHECK(us == Approx(40'000).epsilon(0.2));
}

// Guards against times that a constant false report distorts.
TEST_CASE("target capacity: a constant false report cancels out") {
  Bench bench;
  bench.Serve(1000, 1, 400);
  const double us =
      bench.capacity.Slowness() * bench.capacity.TimeOf("light").us;
  CHECK(us == Approx(20'000).epsilon(0.15));
}

// Guards against the times of a cold target being kept once it is warm.
TEST_CASE("target capacity: the estimate of a cold target is discarded") {
  ManualClock clock{1h};
  pollenring::Admission admission{100, {}, clock};
  const auto serve = [&](std::uint64_t id) {
    pollenring::AdmissionRequest request;
    request.id = id;
    request.deadline = clock.Now() + 1s;
    REQUIRE(admission.Offer(request).start.size() == 1);
    clock.Advance(20ms);
    TargetLoad load{0, 0, 100};
    load.states_slowness = true;
    admission.RecordLoad(load);
    static_cast<void>(admission.Finish(id, {}, false, "light"));
  };
  for (std::uint64_t id = 1; id <= 20; ++id) serve(id);
  CHECK(admission.Report("light").service_us == 20'000);
  CHECK(admission.Report("light").kind_samples == 20);
  admission.SetColdUntil(clock.Now() + 100ms);
  CHECK(admission.Report("light").service_us == 0);
  for (std::uint64_t id = 21; id <= 25; ++id) serve(id);
  CHECK(admission.Report("light").service_us == 0);
  serve(26);
  CHECK(admission.Report("light").kind_samples == 1);
}
