#include "pollenring/node/dispatcher.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "pollenring/link/link_server.h"
#include "pollenring/net/http_client.h"
#include "pollenring/node/downstream_levels.h"
#include "pollenring/node/headers.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::CallReply;
using pollenring::ChargeReply;
using pollenring::LinkResponder;
using pollenring::LinkServer;
using pollenring::NodeId;
using pollenring::Outcome;
using pollenring::Reason;
using pollenring::ShareGate;
using pollenring::WireVersion;

constexpr std::size_t kMaxBytes = std::size_t{1} << 20U;
constexpr int kNodes = 2;

/*! @brief Lets all retries pass. */
class NoRetryBound final : public pollenring::RetryBudget {
 public:
  void RecordFirstCall(const std::string & /*service*/,
                       bool /*answered*/) override {}
  void RecordRetriedCall(const std::string & /*service*/) override {}
  void SetMakesNoCalls(const std::string & /*service*/,
                       bool /*makes_no_calls*/) override {}
  [[nodiscard]] bool Spend(const std::string & /*service*/,
                           double /*priority*/) override {
    return true;
  }
  [[nodiscard]] double RetriedFrom(const std::string & /*service*/) override {
    return 0;
  }
};

/*! @brief Targets that are never cold. */
class NeverCold final : public pollenring::ColdStartLimits {
 public:
  [[nodiscard]] pollenring::ColdStartLimit LimitOf(
      const std::string & /*service*/) const override {
    return {};
  }
  [[nodiscard]] pollenring::Duration ColdAfterStart(
      const std::string & /*service*/) const override {
    return {};
  }
};

/*! @brief A node with two others beside a target; the first call is held. */
struct Bench {
  /*! @brief Starts the nodes. @param net Which addresses they get. */
  explicit Bench(int net) : net{net} {
    std::signal(SIGPIPE, SIG_IGN);
    for (int index = 0; index < kNodes; ++index) {
      const auto at = static_cast<std::size_t>(index);
      this->servers[at] = std::make_unique<LinkServer>(
          this->loop, AddressOf(index), "secret", kMaxBytes,
          [this, index](const std::string & /*path*/, const std::string &body,
                        const std::shared_ptr<LinkResponder> &responder) {
            this->reached.push_back(index);
            if (this->nonsense) {
              responder->Send("nonsense");
              return;
            }
            if (this->only_version) {
              responder->Send(ReplyOf(*this->only_version, body));
              return;
            }
            if (this->reached.size() == 1) return;
            CallReply reply;
            reply.outcome = Outcome::kRan;
            reply.status = 200;
            responder->Send(Frame(reply, ""));
          });
      pollenring::Member member;
      const Address address = AddressOf(index);
      member.id = (NodeId{address.ip} << 16U) | address.port;
      member.process = 1;
      member.incarnation = 1;
      member.version = 1;
      member.targets = {{"deep", 4, pollenring::TargetState::kWarm}};
      this->router.Update(member);
    }
  }

  /*! @brief Answers as a build does that reads one form alone. */
  [[nodiscard]] static std::string ReplyOf(WireVersion version,
                                           const std::string &body) {
    const auto framed = pollenring::Unframe<pollenring::CallEnvelope>(body);
    if (!framed || framed->version != version) {
      return Frame(Refusal(Outcome::kNotRun, Reason::kLinkLost, 1s), "",
                   version);
    }
    CallReply reply;
    reply.outcome = Outcome::kRan;
    reply.status = 200;
    return Frame(reply, "", version);
  }

  /*! @brief Calls nodes that read one form alone. @param recorded What is known
   * of them. */
  void CallSingleVersion(WireVersion version,
                         std::optional<WireVersion> recorded) {
    this->only_version = version;
    for (int index = 0; recorded && index < kNodes; ++index) {
      this->wire.versions.MessageReceived(AddressOf(index).Packed(), *recorded);
    }
    pollenring::CallEnvelope envelope;
    envelope.service = "deep";
    envelope.method = "GET";
    envelope.path = "/";
    envelope.idempotent = false;
    envelope.depth = this->depth;
    envelope.soft_deadline_us = 5'000'000;
    pollenring::CallBounds bounds;
    bounds.deadline = this->clock.Now() + 5s;
    bounds.charged = this->clock.Now();
    this->dispatcher.Call(std::move(envelope), {}, std::move(bounds),
                          [this](CallReply reply, const std::string &) {
                            this->replies.push_back(std::move(reply));
                          });
    this->Run(200ms);
  }

  [[nodiscard]] Address AddressOf(int index) const {
    return *Address::Parse("127.42." + std::to_string(this->net) + '.' +
                           std::to_string(index + 1) + ":7100");
  }

  /*! @brief Calls, and lets the node that holds the call go after a while. */
  void CallAndLose(pollenring::Duration after, ChargeReply renewed) {
    pollenring::CallEnvelope envelope;
    envelope.service = "deep";
    envelope.method = "GET";
    envelope.path = "/";
    envelope.idempotent = true;
    envelope.retries = 2;
    envelope.soft_deadline_us = 5'000'000;
    pollenring::CallBounds bounds;
    bounds.deadline = this->clock.Now() + 5s;
    bounds.charged = this->clock.Now();
    bounds.renew = [this, renewed](const ShareGate::Done &done) {
      ++this->renewals;
      CHECK(this->reached.size() == 1);
      done(renewed);
    };
    this->dispatcher.Call(std::move(envelope), {}, std::move(bounds),
                          [this](CallReply reply, const std::string &) {
                            this->replies.push_back(std::move(reply));
                          });
    this->Run(after);
    REQUIRE(this->reached.size() == 1);
    this->servers.at(static_cast<std::size_t>(this->reached[0])).reset();
    this->Run(400ms);
  }

  void Run(pollenring::Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

  int net;
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {kMaxBytes}};
  pollenring::LinkClient link{loop, "secret", kMaxBytes};
  pollenring::ContextCodec codec;
  NeverCold cold_start_limits;
  pollenring::RequestFingerprinter fingerprints{"secret"};
  pollenring::DownstreamLevels levels{{}, clock};
  pollenring::SeededRandom random{5};
  pollenring::Quarantine quarantine{{}, clock, random};
  pollenring::Metrics metrics{clock};
  pollenring::Router router{"a", "r", {}, clock, random};
  pollenring::TargetExecutor executor{
      loop,
      client,
      codec,
      {},
      cold_start_limits,
      fingerprints,
      quarantine,
      levels,
      random,
      metrics,
      [](const std::vector<pollenring::Target> &) {}};
  NoRetryBound budget;
  pollenring::PeerWire wire{clock, metrics};
  pollenring::Dispatcher dispatcher{1,      loop,     link,       wire,
                                    router, executor, quarantine, budget,
                                    {},     random,   metrics};
  std::array<std::unique_ptr<LinkServer>, kNodes> servers;
  std::vector<int> reached;
  int depth{};     /*!< Of calls. */
  bool nonsense{}; /*!< Whether the nodes' answers can't be read. */
  std::optional<WireVersion> only_version; /*!< Which the nodes read alone. */
  std::vector<CallReply> replies;
  int renewals{};
};

}  // namespace

TEST_CASE("dispatcher: a late retry is charged again") {
  // A node that stands still is found out a second after it got its calls; all
  // of them then go to others at once.
  Bench bench{11};
  bench.CallAndLose(100ms, {true, Reason::kNone, {}});
  CHECK(bench.renewals == 1);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].status == 200);
  CHECK(bench.reached.size() == 2);
}

TEST_CASE("dispatcher: a late retry beyond the rate limit is not sent") {
  Bench bench{12};
  bench.CallAndLose(100ms, {false, Reason::kRateLimited, 70ms});
  CHECK(bench.renewals == 1);
  CHECK(bench.reached.size() == 1);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].reason == Reason::kRateLimited);
  CHECK(bench.replies[0].retry_after_us == 70'000);
  // The node that was lost may have run it.
  CHECK(bench.replies[0].outcome == Outcome::kUnknown);
}

TEST_CASE("dispatcher: an immediate retry is not charged again") {
  Bench bench{13};
  bench.CallAndLose(10ms, {true, Reason::kNone, {}});
  CHECK(bench.renewals == 0);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].status == 200);
}

TEST_CASE("dispatcher: calls use the wire version that the node reads") {
  const struct {
    int net;
    WireVersion version;
    std::optional<WireVersion> recorded;
    std::size_t calls;
  } cases[] = {
      {21, WireVersion::kV1, std::nullopt, 2},
      {22, WireVersion::kV2, std::nullopt, 1},
      {23, WireVersion::kV1, WireVersion::kV1, 1},
      {24, WireVersion::kV1, WireVersion::kV3, 2},
      {25, WireVersion::kV2, WireVersion::kV1, 2},
      {26, WireVersion::kV2, WireVersion::kV3, 2},
  };
  for (const auto &given : cases) {
    CAPTURE(given.net);
    Bench bench{given.net};
    bench.CallSingleVersion(given.version, given.recorded);
    REQUIRE(bench.replies.size() == 1);
    CHECK(bench.replies[0].status == 200);
    CHECK(bench.replies[0].outcome == Outcome::kRan);
    REQUIRE(bench.reached.size() == given.calls);
    // The same node was asked anew, and none of them counts as having failed.
    CHECK(bench.reached.front() == bench.reached.back());
    CHECK(bench.metrics.Read("pollenring_redirects_total") == 0);
    CHECK(bench.metrics.Read("pollenring_unreadable_total") == 0);
  }
}

TEST_CASE("dispatcher: counts replies that can't be decoded") {
  Bench bench{27};
  bench.nonsense = true;
  bench.CallSingleVersion(WireVersion::kV2, std::nullopt);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].outcome == Outcome::kUnknown);
  CHECK(bench.metrics.Read("pollenring_unreadable_total") == 1);
}

TEST_CASE("dispatcher: a node that leaves sends nothing again") {
  Bench bench{28};
  bench.loop.After(5ms, [&bench] { bench.dispatcher.Withdraw(); });
  bench.CallAndLose(10ms, {true, Reason::kNone, {}});
  REQUIRE(bench.replies.size() == 1);
  // The node that was lost may have run it.
  CHECK(bench.replies[0].outcome == Outcome::kUnknown);
  CHECK(bench.reached.size() == 1);
}

TEST_CASE("dispatcher: a node that leaves starts its target's calls") {
  Bench bench{30};
  bench.dispatcher.Withdraw();
  bench.depth = 1;
  bench.CallSingleVersion(WireVersion::kV3, WireVersion::kV3);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].status == 200);
}

TEST_CASE("dispatcher: a node that leaves starts no call of a caller") {
  Bench bench{29};
  bench.dispatcher.Withdraw();
  bench.CallSingleVersion(WireVersion::kV3, WireVersion::kV3);
  REQUIRE(bench.replies.size() == 1);
  CHECK(bench.replies[0].outcome == Outcome::kNotRun);
  CHECK(bench.replies[0].reason == Reason::kLeaving);
  CHECK(bench.reached.empty());
}
