#ifndef POLLENRING_TEST_SUPPORT_START_WORLD_H_
#define POLLENRING_TEST_SUPPORT_START_WORLD_H_

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "support/daemon.h"
#include "support/mesh_fleet.h"

namespace support {

/*! @brief Holds an address, as a process that is about to end does. */
class HeldAddress {
 public:
  /**
   * @brief Binds the address, and listens on it if the socket is TCP.
   * @param type `SOCK_STREAM` or `SOCK_DGRAM`.
   */
  HeldAddress(const pollenring::Address &address, int type)
      : fd{socket(AF_INET, type | SOCK_CLOEXEC, 0)} {
    const int on = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in native = address.Native();
    const bool bound =
        bind(this->fd, reinterpret_cast<const sockaddr *>(&native),
             sizeof(native)) == 0;
    REQUIRE(bound);
    if (type == SOCK_STREAM) REQUIRE(listen(this->fd, 1) == 0);
  }
  HeldAddress(const HeldAddress &) = delete;
  HeldAddress &operator=(const HeldAddress &) = delete;
  ~HeldAddress() { close(this->fd); }

 private:
  int fd;
};

/*! @brief A store, and daemons that a test starts when it likes. */
class StartWorld {
 public:
  /*! @brief Starts the store. @param net Third octet of the addresses. */
  explicit StartWorld(int net)
      : net{net}, store{this->loop, this->At(250, 7900)} {
    this->store.PutConfig(kConfig);
  }

  /*! @brief Settings of a daemon. @param index Last octet of its address. */
  [[nodiscard]] pollenring::Settings MakeSettings(
      int index, const std::string &service = "deep") const {
    pollenring::Settings settings;
    settings.zone = index % 2 == 0 ? "z0" : "z1";
    settings.region = "r";
    settings.callers = this->At(index, 7000);
    settings.targets = this->At(index, 7001);
    settings.nodes = this->At(index, 7002);
    settings.operators = this->At(index, 7003);
    settings.ready = this->At(index, 7004);
    settings.platform = this->At(250, 7900);
    settings.node_secret = "secret-of-the-start-test";
    settings.target_service = service;
    return settings;
  }

  /*! @brief Starts a daemon. */
  Daemon &Start(const pollenring::Settings &settings) {
    this->daemons.push_back(std::make_unique<Daemon>(settings));
    return *this->daemons.back();
  }

  /*! @brief Sends a request to one of a daemon's ports and awaits it. */
  [[nodiscard]] HttpResponse Ask(int index, int port,
                                 const HttpRequest &request,
                                 pollenring::Duration timeout = 1s) {
    HttpResponse response;
    bool done = false;
    this->client.Call(this->At(index, port), request, timeout,
                      [&](pollenring::HttpClient::Reply reply) {
                        done = true;
                        auto *got = std::get_if<HttpResponse>(&reply);
                        if (got != nullptr) response = std::move(*got);
                      });
    static_cast<void>(this->Await([&done] { return done; }, timeout + 1s));
    return response;
  }

  /*! @return Response of a daemon's readiness port; status 0 if none. */
  [[nodiscard]] HttpResponse Readiness(int index) {
    return this->Ask(index, 7004, {"GET", "/readiness", {}, {}, {}});
  }

  /*! @brief Sends a heartbeat of the target beside a daemon.
   * @return HTTP status, or 0 without a response. */
  [[nodiscard]] int Beat(int index, const std::string &service = "deep") {
    const nlohmann::json beat{{"address", this->At(index, 8000).Format()},
                              {"born", 5},
                              {"info", {{"service", service}, {"slots", 16}}},
                              {"status",
                               {{"state", "ready"},
                                {"sequence", ++this->beats},
                                {"cold_left_ms", 0}}}};
    return this
        ->Ask(index, 7001,
              {"POST",
               "/Instances.Heartbeat/i-" + std::to_string(index),
               {},
               beat.dump(),
               {}})
        .status;
  }

  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit) {
    const pollenring::Time until = this->clock.Now() + limit;
    while (!condition()) {
      if (this->clock.Now() >= until) return false;
      this->Run(2ms);
    }
    return true;
  }

  void Run(pollenring::Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Resume();
    this->loop.Run();
  }

  [[nodiscard]] pollenring::Time Now() const { return this->clock.Now(); }
  [[nodiscard]] FakeStore &Store() { return this->store; }

  /*! @brief Address of one of the ports. */
  [[nodiscard]] pollenring::Address At(int index, int port) const {
    return *pollenring::Address::Parse("127.41." + std::to_string(this->net) +
                                       "." + std::to_string(index) + ":" +
                                       std::to_string(port));
  }

 private:
  int net;
  int beats{};
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  FakeStore store;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

/*! @brief Lines of a daemon's log that report an event. */
[[nodiscard]] inline std::vector<nlohmann::json> EventsOf(
    const Daemon &daemon, const std::string &event) {
  std::vector<nlohmann::json> found;
  std::istringstream log{daemon.Log()};
  std::string line;
  while (std::getline(log, line)) {
    auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_object() && json.value("event", "") == event)
      found.push_back(std::move(json));
  }
  return found;
}

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_START_WORLD_H_
