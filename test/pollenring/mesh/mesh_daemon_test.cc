#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "pollenring/core/hash.h"
#include "pollenring/node/bus.h"
#include "pollenring/share/borrow.h"
#include "pollenring/share/slots_of.h"
#include "support/daemon.h"
#include "support/mesh_fleet.h"
#include "support/raw_bytes.h"

namespace {

using namespace std::chrono_literals;
using pollenring::Address;
using pollenring::BorrowRequest;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using support::Headers;
using support::kConfig;
using support::Replaced;

constexpr const char *kSecret = "secret-of-the-daemon-test";
constexpr pollenring::SlotId kSlots = 32;

/*! @brief A daemon with a store and a target that can delay its responses. */
class DaemonWorld {
 public:
  explicit DaemonWorld(int net)
      : net{net},
        store{this->loop, this->At(250, 7900)},
        target{this->loop, this->At(1, 8000), pollenring::HttpServerLimits{},
               [this](const HttpRequest &request,
                      const std::shared_ptr<pollenring::Responder> &responder) {
                 this->held.emplace_back(request, responder);
                 if (!this->holds) this->Release();
               }},
        daemon{this->MakeSettings()} {
    this->store.PutConfig(kConfig);
    this->target.Open();
    const nlohmann::json beat{
        {"address", this->At(1, 8000).Format()},
        {"born", 5},
        {"info", {{"service", "deep"}, {"slots", 16}}},
        {"status", {{"state", "ready"}, {"sequence", 1}, {"cold_left_ms", 0}}}};
    REQUIRE(this->Await([&] {
      return this->Ask(7004, {"GET", "/readiness", {}, {}, {}}).status == 200;
    }));
    REQUIRE(this->Ask(7001,
                      {"POST", "/Instances.Heartbeat/i-1", {}, beat.dump(), {}})
                .status == 200);
  }

  /*! @brief Sends a request to the port for callers. @param statuses Receives
   * the response's status, or 0 when its connection ends without one. */
  void Begin(const std::string &id, std::vector<int> &statuses) {
    this->client.Call(this->At(1, 7000),
                      {"GET", "/read/1", Headers(id), {}, "a.example"}, 3s,
                      [&statuses](HttpClient::Reply reply) {
                        const auto *got = std::get_if<HttpResponse>(&reply);
                        statuses.push_back(got == nullptr ? 0 : got->status);
                      });
  }

  /*! @brief Sends a request to one of the daemon's ports and awaits it. */
  [[nodiscard]] HttpResponse Ask(int port, const HttpRequest &request) {
    HttpResponse response;
    bool done = false;
    this->client.Call(this->At(1, port), request, 1s,
                      [&](HttpClient::Reply reply) {
                        done = true;
                        auto *got = std::get_if<HttpResponse>(&reply);
                        if (got != nullptr) response = std::move(*got);
                      });
    static_cast<void>(this->Await([&done] { return done; }));
    return response;
  }

  /*! @brief Borrows or returns part of the club's rate, as a peer does. */
  void Borrow(BorrowRequest request) {
    request.slot = pollenring::SlotsOf("club", kSlots).front();
    request.workspace = "club";
    std::string content(1, static_cast<char>(pollenring::MessageKind::kBorrow));
    content += pollenring::Pack(request);
    support::SendBytes(this->At(1, 7002), SOCK_DGRAM,
                       pollenring::MessageTag(kSecret, content) + content);
  }

  /*! @brief Responds to all requests held by the target. */
  void Release() {
    for (auto &[request, responder] : std::exchange(this->held, {})) {
      responder->Send(support::Signed(request, 200));
    }
  }

  [[nodiscard]] bool Await(const std::function<bool()> &condition) {
    const pollenring::Time until = this->clock.Now() + 8s;
    while (!condition()) {
      if (this->clock.Now() >= until) return false;
      this->loop.After(2ms, [this] { this->loop.Stop(); });
      this->loop.Resume();
      this->loop.Run();
    }
    return true;
  }

  [[nodiscard]] std::size_t Held() const { return this->held.size(); }
  [[nodiscard]] std::uint64_t Connects() const {
    return this->client.Connects();
  }
  [[nodiscard]] support::FakeStore &Store() { return this->store; }
  [[nodiscard]] support::Daemon &Process() { return this->daemon; }
  void Hold(bool given) { this->holds = given; }

 private:
  [[nodiscard]] Address At(int index, int port) const {
    return *Address::Parse("127.41." + std::to_string(this->net) + "." +
                           std::to_string(index) + ":" + std::to_string(port));
  }

  [[nodiscard]] pollenring::Settings MakeSettings() const {
    pollenring::Settings settings;
    settings.zone = "z";
    settings.region = "r";
    settings.callers = this->At(1, 7000);
    settings.targets = this->At(1, 7001);
    settings.nodes = this->At(1, 7002);
    settings.operators = this->At(1, 7003);
    settings.ready = this->At(1, 7004);
    settings.platform = this->At(250, 7900);
    settings.node_secret = kSecret;
    settings.target_service = "deep";
    return settings;
  }

  int net;
  bool holds{};
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  HttpClient client{loop, {std::size_t{1} << 20U}};
  std::vector<std::pair<HttpRequest, std::shared_ptr<pollenring::Responder>>>
      held;
  support::FakeStore store;
  pollenring::HttpServer target;
  support::Daemon daemon;
};

[[nodiscard]] BorrowRequest MakeBorrow(std::uint64_t borrower) {
  BorrowRequest request;
  request.borrower = borrower;
  request.loan = 1;
  request.want = 110;
  request.urgent = 100;
  return request;
}

}  // namespace

TEST_CASE(
    "mesh daemon: a loan returned after the burst was lowered closes no caller "
    "connection") {
  DaemonWorld world{61};
  std::vector<int> statuses;
  const auto begin = [&](const std::string &id) {
    for (int i = 0; i < 4; ++i) {
      world.Begin(id + std::to_string(i), statuses);
    }
  };
  world.Hold(true);
  begin("first");
  REQUIRE(world.Await([&] { return world.Held() == 4; }));
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 4; }));
  const std::uint64_t connects = world.Connects();
  begin("kept");
  REQUIRE(world.Await([&] { return world.Held() == 4; }));
  CHECK(world.Connects() == connects);
  // Two nodes hold a loan while the operator lowers the burst; one returns it.
  world.Borrow(MakeBorrow(77));
  world.Borrow(MakeBorrow(78));
  world.Store().PutConfig(Replaced(Replaced(kConfig, "r3", "r4"),
                                   "\"burst\":1000", "\"burst\":60"));
  REQUIRE(world.Await([&] {
    const auto figures = world.Ask(7003, {"GET", "/metrics", {}, {}, {}});
    return figures.body.find("pollenring_config_version 4") !=
           std::string::npos;
  }));
  BorrowRequest repayment = MakeBorrow(77);
  repayment.loan = 2;
  repayment.want = 0;
  repayment.urgent = 0;
  repayment.returns = {{1, 110}};
  world.Borrow(repayment);
  for (int i = 0; i < 20 && !world.Process().Ended(); ++i) {
    static_cast<void>(world.Ask(7004, {"GET", "/readiness", {}, {}, {}}));
  }
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 8; }));
  INFO(world.Process().Log());
  CHECK(statuses == std::vector<int>(8, 200));
  CHECK_FALSE(world.Process().Ended());
}

TEST_CASE("mesh daemon: a target identifier that is not text is rejected") {
  DaemonWorld world{65};
  std::vector<int> statuses;
  world.Hold(true);
  world.Begin("open", statuses);
  REQUIRE(world.Await([&] { return world.Held() == 1; }));
  for (const std::string kind : {"Heartbeat", "Deregister"}) {
    const auto response = world.Ask(
        7001, {"POST", "/Instances." + kind + "/i-\xff\xfe", {}, "{}", {}});
    CHECK(response.status == 400);
  }
  world.Release();
  REQUIRE(world.Await([&] { return statuses.size() == 1; }));
  INFO(world.Process().Log());
  CHECK(statuses.front() == 200);
  CHECK_FALSE(world.Process().Ended());
  CHECK(world.Process().Log().find("error contained") == std::string::npos);
}
