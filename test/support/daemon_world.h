#ifndef POLLENRING_TEST_SUPPORT_DAEMON_WORLD_H_
#define POLLENRING_TEST_SUPPORT_DAEMON_WORLD_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "pollenring/core/hash.h"
#include "pollenring/node/bus.h"
#include "pollenring/share/borrow.h"
#include "pollenring/share/slots_of.h"
#include "support/daemon.h"
#include "support/mesh_fleet.h"
#include "support/raw_bytes.h"

namespace support {

inline constexpr const char *kDaemonSecret = "secret-of-the-daemon-test";
inline constexpr pollenring::SlotId kDaemonSlots = 32;
/*! @brief Path whose response has the size set by `SetLongBytes`. */
inline constexpr const char *kLongPath = "/read/long";

/*! @brief A daemon with a store and a target that can delay its responses. */
class DaemonWorld {
 public:
  /**
   * @brief Starts the store, the target and the daemon.
   * @param net Third octet of the addresses.
   * @param max_descriptors Limit on the daemon's descriptors; 0 for none.
   * @param max_memory Limit on the daemon's memory in bytes; 0 for none.
   */
  explicit DaemonWorld(int net, std::size_t max_descriptors = 0,
                       std::size_t max_memory = 0)
      : net{net},
        store{this->loop, this->At(250, 7900)},
        target{this->loop, this->At(1, 8000), pollenring::HttpServerLimits{},
               [this](const HttpRequest &request,
                      const std::shared_ptr<pollenring::Responder> &responder) {
                 this->held.emplace_back(request, responder);
                 if (!this->holds) this->Release();
               }},
        daemon{this->MakeSettings(), max_descriptors, max_memory} {
    this->store.PutConfig(kConfig);
    this->target.Open();
    REQUIRE(this->Await([&] {
      return this->Ask(7004, {"GET", "/readiness", {}, {}, {}}).status == 200;
    }));
    this->Beat();
  }

  /*! @brief Sends the target's heartbeat, without which it expires. */
  void Beat() {
    const nlohmann::json beat{{"address", this->At(1, 8000).Format()},
                              {"born", 5},
                              {"info", {{"service", "deep"}, {"slots", 16}}},
                              {"status",
                               {{"state", "ready"},
                                {"sequence", ++this->beats},
                                {"cold_left_ms", 0}}}};
    REQUIRE(this->Ask(7001,
                      {"POST", "/Instances.Heartbeat/i-1", {}, beat.dump(), {}})
                .status == 200);
  }

  /*! @brief Sends a request to the port for callers. @param statuses Receives
   * the response's status, or 0 when its connection ends without one. */
  void Begin(const std::string &id, std::vector<int> &statuses) {
    this->client.Call(this->At(1, 7000),
                      {"GET", "/read/1", Headers(id), {}, "a.example"}, 3s,
                      [&statuses](pollenring::HttpClient::Reply reply) {
                        const auto *got = std::get_if<HttpResponse>(&reply);
                        statuses.push_back(got == nullptr ? 0 : got->status);
                      });
  }

  /*! @brief Sends a request to one of the daemon's ports and awaits it. */
  [[nodiscard]] HttpResponse Ask(int port, const HttpRequest &request) {
    HttpResponse response;
    bool done = false;
    this->client.Call(this->At(1, port), request, 1s,
                      [&](pollenring::HttpClient::Reply reply) {
                        done = true;
                        auto *got = std::get_if<HttpResponse>(&reply);
                        if (got != nullptr) response = std::move(*got);
                      });
    static_cast<void>(this->Await([&done] { return done; }));
    return response;
  }

  /*! @brief Sends a request on a connection of its own. @return The status, or
   * 0 without a response in 2 s. */
  [[nodiscard]] int AskAnew(int port, const std::string &path) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = this->At(1, port).Native();
    std::string received;
    if (connect(fd, reinterpret_cast<const sockaddr *>(&native),
                sizeof(native)) == 0) {
      const std::string request =
          "GET " + path +
          " HTTP/1.1\r\nhost: a.example\r\n"
          "authorization: Token key-of-the-club\r\n\r\n";
      send(fd, request.data(), request.size(), MSG_NOSIGNAL);
      static_cast<void>(this->Await(
          [&] {
            std::array<char, 4096> buffer{};
            const auto size =
                recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size > 0)
              received.append(buffer.data(), static_cast<std::size_t>(size));
            return size >= 0;
          },
          2s));
    }
    close(fd);
    const std::size_t code = std::string{"HTTP/1.1 "}.size();
    return received.size() < code + 3 ? 0 : std::stoi(received.substr(code, 3));
  }

  /*! @brief Borrows or returns part of the club's rate, as a peer does. */
  void Borrow(pollenring::BorrowRequest request) {
    request.slot = pollenring::SlotsOf("club", kDaemonSlots).front();
    request.workspace = "club";
    std::string content(1, static_cast<char>(pollenring::MessageKind::kBorrow));
    content += pollenring::Pack(request);
    SendBytes(this->At(1, 7002), SOCK_DGRAM,
              pollenring::MessageTag(kDaemonSecret, content) + content);
  }

  /*! @brief Responds to all requests held by the target. */
  void Release() {
    for (auto &[request, responder] : std::exchange(this->held, {})) {
      HttpResponse response = Signed(request, 200);
      if (request.path == kLongPath)
        response.body.assign(this->long_bytes, 'x');
      responder->Send(std::move(response));
    }
  }

  [[nodiscard]] bool Await(const std::function<bool()> &condition,
                           pollenring::Duration limit = 8s) {
    const pollenring::Time until = this->clock.Now() + limit;
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
  [[nodiscard]] FakeStore &Store() { return this->store; }
  [[nodiscard]] Daemon &Process() { return this->daemon; }
  void Hold(bool given) { this->holds = given; }
  /*! @brief Sets the size of the response to `kLongPath`. */
  void SetLongBytes(std::size_t given) { this->long_bytes = given; }

  /*! @brief Address of one of the ports. @param index 1 for the daemon. */
  [[nodiscard]] pollenring::Address At(int index, int port) const {
    return *pollenring::Address::Parse("127.41." + std::to_string(this->net) +
                                       "." + std::to_string(index) + ":" +
                                       std::to_string(port));
  }

 private:
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
    settings.node_secret = kDaemonSecret;
    settings.target_service = "deep";
    return settings;
  }

  int net;
  bool holds{};
  std::size_t long_bytes{};
  int beats{};
  pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {std::size_t{1} << 20U}};
  std::vector<std::pair<HttpRequest, std::shared_ptr<pollenring::Responder>>>
      held;
  FakeStore store;
  pollenring::HttpServer target;
  Daemon daemon;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_DAEMON_WORLD_H_
