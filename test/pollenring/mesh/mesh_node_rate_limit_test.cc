#include <catch2/catch.hpp>
#include <deque>

#include "support/mesh_fleet.h"

namespace {

using namespace std::chrono_literals;
using pollenring::HttpRequest;
using pollenring::Time;
using support::Headers;
using support::Signed;
using World = support::MeshFleet;

/*! @brief Requests per second that limited targets state. */
constexpr int kPerSecond = 10;
constexpr auto kWindow = 4s;
/*! @brief What a target may get in a window. */
constexpr std::size_t kAllowed = kPerSecond * 4 * 3 / 2 + 5;

/*! @brief Arrivals at a target in a sliding window. */
class Arrivals {
 public:
  void Add() {
    const Time now = this->clock.Now();
    this->times.push_back(now);
    while (this->times.front() <= now - kWindow) this->times.pop_front();
    this->most = std::max(this->most, this->times.size());
  }

  /*! @brief Starts over, as the limit binds only now. */
  void Reset() {
    this->times.clear();
    this->most = 0;
  }

  std::size_t most{};

 private:
  pollenring::SystemClock clock;
  std::deque<Time> times;
};

/*! @brief Sends 100 requests a second. @return Those answered with 200. */
[[nodiscard]] int SendFor(World &world, std::chrono::milliseconds length) {
  int served = 0;
  int open = 0;
  for (auto passed = 0ms; passed < length; passed += 10ms) {
    if (passed % 1s == 0ms) {
      for (int i = 1; i <= 3; ++i) CHECK(world.Beat(i) == 200);
    }
    ++open;
    world.BeginCall(1, "/read/1", Headers("l" + std::to_string(passed.count())),
                    [&](const pollenring::HttpResponse &response) {
                      --open;
                      if (response.status == 200) ++served;
                    });
    world.Run(10ms);
  }
  CHECK(world.Await([&open] { return open == 0; }, 3s));
  return served;
}

}  // namespace

TEST_CASE("mesh: a target gets no more requests than the rate that it states") {
  const bool all_limited = GENERATE(false, true);
  CAPTURE(all_limited);
  bool limited = false;
  std::map<std::string, Arrivals> arrivals;
  World world{all_limited ? 81 : 82, [&](const HttpRequest &request) {
                auto response = Signed(request, 200);
                const std::string instance{FindHeader(
                    request.headers, "x-pollenring-expect-instance")};
                arrivals[instance].Add();
                if (limited && (all_limited || instance == "i-3")) {
                  response.headers.push_back(
                      {"server-limit", std::to_string(kPerSecond) + ".0"});
                }
                return response;
              }};
  limited = true;
  [[maybe_unused]] const int before = SendFor(world, 500ms);
  for (auto &[instance, counted] : arrivals) counted.Reset();
  const int served = SendFor(world, 5s);
  CHECK(arrivals["i-3"].most <= kAllowed);
  if (all_limited) {
    CHECK(arrivals["i-2"].most <= kAllowed);
    // Targets get what they take.
    CHECK(served >= 2 * kPerSecond * 4);
  } else {
    // The other target has capacity for all.
    CHECK(served >= 495);
  }
  // Once they no longer state it, they get everything again.
  limited = false;
  world.Run(500ms);
  [[maybe_unused]] const int after = SendFor(world, 500ms);
  CHECK(SendFor(world, 500ms) >= 48);
}

TEST_CASE(
    "mesh: a target gets no calls once a response states that it leaves") {
  bool leaving = false;
  std::map<std::string, int> served;
  World world{83, [&](const HttpRequest &request) {
                auto response = Signed(request, 200);
                const std::string instance{FindHeader(
                    request.headers, "x-pollenring-expect-instance")};
                ++served[instance];
                if (leaving && instance == "i-3")
                  response.headers.push_back({"server-leaving", "1"});
                return response;
              }};
  leaving = true;
  REQUIRE(world.Await(
      [&] {
        const int before = served["i-3"];
        const auto response = world.Call(1, "GET", "/read/1", Headers("l"));
        REQUIRE(response.status == 200);
        CHECK(FindHeader(response.headers, "server-leaving").empty());
        return served["i-3"] > before;
      },
      3s));
  const int before = served["i-3"];
  // A heartbeat that was sent earlier.
  REQUIRE(world.Beat(3) == 200);
  for (int i = 0; i < 40; ++i) {
    CHECK(world.Call(1, "GET", "/read/1", Headers("d" + std::to_string(i)))
              .status == 200);
  }
  CHECK(served["i-3"] == before);
  // Its node remembers that across a restart.
  CHECK(world.Await([&] { return world.Store().Has("departed/"); }, 2s));
}
