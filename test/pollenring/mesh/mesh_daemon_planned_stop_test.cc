#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "support/daemon_world.h"
#include "support/open_request.h"

namespace {

using namespace std::chrono_literals;
using support::DaemonWorld;
using support::kConfig;
using support::OpenRequest;
using support::Replaced;

constexpr int kSlots = 16; /*!< Of the target. */

/*! @brief Requests that no deadline ends before the stop. */
void AllowTime(DaemonWorld &world) {
  std::string config = Replaced(kConfig, "r3", "r4");
  for (const std::string figure : {"1500", "1500", "500", "500"}) {
    config = Replaced(config, ":" + figure + ",", ":9000,");
  }
  world.Store().PutConfig(config);
  REQUIRE(world.Await([&] {
    const auto figures = world.Ask(7003, {"GET", "/metrics", {}, {}, {}});
    return figures.body.find("pollenring_config_version 4") !=
           std::string::npos;
  }));
}

/*! @brief A request whose route is not idempotent. */
[[nodiscard]] std::string Write(const std::string &id) {
  return "POST /write/1 HTTP/1.1\r\nhost: a.example\r\n"
         "authorization: Token key-of-the-club\r\n"
         "x-pollenring-attempt-id: " +
         id +
         "\r\nx-pollenring-deadline-ms: 9000\r\n"
         "content-length: 4\r\n\r\nbody";
}

}  // namespace

TEST_CASE("mesh daemon: a planned stop answers every request that was read") {
  // Guards against: requests that wait, beside a busy target or behind another
  // one on their connection, end with a closed connection.
  DaemonWorld world{94};
  AllowTime(world);
  world.Hold(true);
  std::vector<std::unique_ptr<OpenRequest>> running;
  std::vector<std::unique_ptr<OpenRequest>> waiting;
  for (int i = 1; i < kSlots; ++i) {
    running.push_back(std::make_unique<OpenRequest>(
        world.At(1, 7000), Write("r" + std::to_string(i))));
  }
  OpenRequest pipelined{world.At(1, 7000), Write("first") + Write("second")};
  REQUIRE(world.Await([&] { return world.Held() == kSlots; }));
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(std::make_unique<OpenRequest>(
        world.At(1, 7000), Write("w" + std::to_string(i))));
  }
  world.Process().Signal(SIGTERM);
  REQUIRE(world.Await([&] { return world.Process().Ended(); }));
  INFO(world.Process().Log());
  CHECK(world.Held() == kSlots);
  const auto statuses = [](OpenRequest &request) {
    request.Read();
    return request.Statuses();
  };
  for (const auto &request : running)
    CHECK(statuses(*request) == std::vector<int>{502});
  for (const auto &request : waiting)
    CHECK(statuses(*request) == std::vector<int>{503});
  CHECK(statuses(pipelined) == std::vector<int>{502, 503});
}

TEST_CASE("mesh daemon: a planned stop ends after the responses are written") {
  // Guards against: a response that its caller reads slowly is cut off in the
  // middle, although the grace period has not passed.
  constexpr std::size_t kLong = std::size_t{8} << 20U;
  DaemonWorld world{95};
  AllowTime(world);
  world.SetLongBytes(kLong);
  OpenRequest slow{world.At(1, 7000),
                   "GET " + std::string{support::kLongPath} +
                       " HTTP/1.1\r\nhost: a.example\r\n"
                       "authorization: Token key-of-the-club\r\n"
                       "x-pollenring-attempt-id: slow\r\n"
                       "x-pollenring-deadline-ms: 9000\r\n\r\n",
                   4096};
  REQUIRE(world.Await([&] { return slow.Read(1000) && slow.Size() > 0; }));
  world.Process().Signal(SIGTERM);
  // Beyond the time in which the daemon accepts requests.
  static_cast<void>(
      world.Await([&] { return world.Process().Ended(); }, 3300ms));
  CHECK_FALSE(world.Process().Ended());
  REQUIRE(world.Await([&] { return !slow.Read(); }));
  INFO(world.Process().Log());
  CHECK(slow.Statuses() == std::vector<int>{200});
  CHECK(slow.Size() > kLong);
  CHECK(world.Await([&] { return world.Process().Ended(); }, 3s));
}
