#include "pollenring/node/target_executor.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/downstream_levels.h"
#include "support/crashing_target.h"
#include "support/raw_peer.h"

namespace {

using namespace std::chrono_literals;
using pollenring::CallReply;
using pollenring::Outcome;
using pollenring::Reason;
using support::RawPeer;

/*! @brief The system clock, which the test can advance. */
class SteppedClock final : public pollenring::Clock {
 public:
  [[nodiscard]] pollenring::Time Now() const noexcept override {
    return this->system.Now() + this->ahead;
  }
  [[nodiscard]] pollenring::WallTime WallNow() const noexcept override {
    return this->system.WallNow();
  }
  void Step(pollenring::Duration by) noexcept { this->ahead += by; }

 private:
  pollenring::SystemClock system;
  pollenring::Duration ahead{};
};

/*! @brief Runs one call at a time. */
[[nodiscard]] pollenring::AdmissionOptions OneAtATime() {
  pollenring::AdmissionOptions options;
  options.limit.fixed = true;
  options.queue_time = 10s;
  return options;
}

/*! @brief Cold targets accept three requests per window. */
class FewWhenCold final : public pollenring::ColdStartLimits {
 public:
  [[nodiscard]] pollenring::ColdStartLimit LimitOf(
      const std::string & /*service*/) const override {
    return {3, 1100ms};
  }
  [[nodiscard]] pollenring::Duration ColdAfterStart(
      const std::string & /*service*/) const override {
    return 10s;
  }
};

/*! @brief An executor of one target, and the replies to its calls. */
struct Bench {
  Bench() { std::signal(SIGPIPE, SIG_IGN); }

  void Announce(const RawPeer &at, const std::string &instance,
                pollenring::TargetState state = pollenring::TargetState::kWarm,
                pollenring::Duration cold_for = {}) {
    this->executor.Announce(
        {{"deep", 1, state}, at.ListenAddress(), instance, cold_for});
  }

  void Serve(pollenring::Fingerprint fingerprint = 0) {
    pollenring::CallEnvelope envelope;
    envelope.fingerprint = fingerprint;
    envelope.service = "deep";
    envelope.method = "GET";
    envelope.path = "/";
    envelope.remaining_us = 30'000'000;
    envelope.soft_deadline_us = 30'000'000;
    this->executor.Serve(envelope, {}, [this](CallReply reply, std::string) {
      this->replies.push_back(std::move(reply));
    });
  }

  void Run(pollenring::Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

  SteppedClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  pollenring::ContextCodec codec;
  FewWhenCold cold_start_limits;
  pollenring::RequestFingerprinter fingerprints{"secret"};
  pollenring::DownstreamLevels levels{{}, clock};
  pollenring::SeededRandom random{5};
  pollenring::Quarantine quarantine{{}, clock, random};
  pollenring::Metrics metrics{clock};
  pollenring::TargetExecutor executor{
      loop,
      client,
      codec,
      OneAtATime(),
      cold_start_limits,
      fingerprints,
      quarantine,
      levels,
      random,
      metrics,
      [](const std::vector<pollenring::Target> &) {}};
  std::vector<CallReply> replies;
};

constexpr const char *kAnswer =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("target executor: queued calls go to the next instance") {
  RawPeer unresponsive{{{{}, support::PeerEnd::kKeep}}};
  RawPeer next{{{{kAnswer, kAnswer}, support::PeerEnd::kKeep}}};
  Bench bench;
  bench.Announce(unresponsive, "i-1");
  for (int i = 0; i < 3; ++i) bench.Serve();
  bench.Run(50ms);
  REQUIRE(bench.replies.empty());
  bench.Announce(next, "i-2");
  bench.Run(100ms);
  REQUIRE(bench.replies.size() == 2);
  for (const auto &reply : bench.replies) CHECK(reply.status == 200);
  // The call running at the first target may still get a response.
  CHECK(bench.executor.InProgress() == 1);
}

TEST_CASE(
    "target executor: queued calls are refused if the next instance drains") {
  RawPeer unresponsive{{{{}, support::PeerEnd::kKeep}}};
  RawPeer next{{}};
  Bench bench;
  bench.Announce(unresponsive, "i-1");
  for (int i = 0; i < 3; ++i) bench.Serve();
  bench.Run(50ms);
  bench.Announce(next, "i-2", pollenring::TargetState::kDraining);
  bench.Run(50ms);
  REQUIRE(bench.replies.size() == 2);
  for (const auto &reply : bench.replies) {
    CHECK(reply.outcome == Outcome::kNotRun);
    CHECK(reply.reason == Reason::kLeaving);
  }
  CHECK(next.Accepted() == 0);
}

TEST_CASE(
    "target executor: a running call survives the expiry of the next "
    "instance") {
  auto unresponsive = std::make_unique<RawPeer>(
      std::vector<support::PeerScript>{{{}, support::PeerEnd::kKeep}});
  RawPeer next{{}};
  Bench bench;
  bench.Announce(*unresponsive, "i-1");
  bench.Serve();
  bench.Run(50ms);
  bench.Announce(next, "i-2");
  bench.clock.Step(7s);
  bench.executor.Tick();
  REQUIRE(bench.replies.empty());
  unresponsive.reset();  // Its connections end.
  bench.Run(100ms);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].outcome == Outcome::kUnknown);
}

TEST_CASE(
    "target executor: refused connections do not count against the cold "
    "limit") {
  auto gone = std::make_unique<RawPeer>(std::vector<support::PeerScript>{});
  Bench bench;
  bench.Announce(*gone, "i-1", pollenring::TargetState::kCold, 10s);
  gone.reset();  // Its connections are refused.
  for (int i = 0; i < 8; ++i) {
    bench.Serve();
    bench.Run(20ms);
  }
  REQUIRE(bench.replies.size() == 8);
  for (const auto &reply : bench.replies) {
    CHECK(reply.outcome == Outcome::kNotRun);
    CHECK(reply.reason == Reason::kTargetFailed);
  }
}

TEST_CASE(
    "target executor: calls beyond the cold-start limit get a retry after") {
  RawPeer target{
      {{std::vector<std::string>(3, kAnswer), support::PeerEnd::kKeep}}};
  Bench bench;
  bench.Announce(target, "i-1", pollenring::TargetState::kCold, 10s);
  for (int i = 0; i < 8; ++i) {
    bench.Serve();
    bench.Run(20ms);
  }
  REQUIRE(bench.replies.size() == 8);
  for (std::size_t i = 0; i < 8; ++i) {
    if (i < 3) {
      CHECK(bench.replies[i].status == 200);
      continue;
    }
    CHECK(bench.replies[i].reason == Reason::kWarmingUp);
    CHECK(bench.replies[i].retry_after_us > 0);
  }
}

TEST_CASE(
    "target executor: a target that ends with its requests is told from a "
    "broken response") {
  auto peer = std::make_unique<RawPeer>(std::vector<support::PeerScript>{
      {{"HTTP/1.1 2"}, support::PeerEnd::kReset},
      {{"HTTP/1.1 2"}, support::PeerEnd::kKeep}});
  Bench bench;
  bench.Announce(*peer, "i-1");
  bench.Serve();
  bench.Run(100ms);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].outcome == Outcome::kUnknown);
  CHECK(bench.metrics.Read("pollenring_target_crashes_total") == 0);
  bench.Announce(*peer, "i-1");
  bench.Serve();
  bench.Run(100ms);
  // The port is closed with the connection.
  peer.reset();
  bench.Run(300ms);
  CHECK(bench.replies.size() == 2);
  CHECK(bench.metrics.Read("pollenring_target_crashes_total") == 1);
}

TEST_CASE(
    "target executor: the suspects of a large target run few at a time, and "
    "all in time") {
  constexpr int kSuspects = 300;
  const auto at = *pollenring::Address::Parse("127.42.64.1:8000");
  Bench bench;
  support::CrashingTarget target{bench.loop, at, {20ms, 400ms, {}}};
  bench.executor.Announce(
      {{"deep", 341, pollenring::TargetState::kWarm}, at, "i-1", {}});
  std::vector<pollenring::Fingerprint> suspects;
  for (int i = 1; i <= kSuspects; ++i) suspects.push_back(i);
  bench.quarantine.RecordCrash(suspects);
  std::size_t most = 0;
  for (const auto suspect : suspects) bench.Serve(suspect);
  for (int i = 0; i < 60; ++i) {
    bench.Run(20ms);
    most = std::max(most, bench.executor.RunningCount());
  }
  CHECK(most <= 1 + kSuspects / 16);
  REQUIRE(bench.replies.size() == kSuspects);
  for (const auto &reply : bench.replies) CHECK(reply.outcome == Outcome::kRan);
  for (const auto suspect : suspects)
    CHECK(bench.quarantine.StandingOf(suspect) ==
          pollenring::Standing::kNormal);
}
