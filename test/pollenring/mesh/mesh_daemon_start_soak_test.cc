#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "support/rejecting_target.h"
#include "support/seeds.h"
#include "support/start_world.h"

namespace {

using namespace std::chrono_literals;
using support::Daemon;
using support::HeldAddress;
using support::RejectingTarget;
using support::StartWorld;

constexpr int kMinDaemons = 2;
constexpr int kMoreDaemons = 7;
constexpr int kSteps = 30;
/*! @brief Daemons wait for an address for 6 s, their grace period. */
constexpr auto kMaxHold = 3s;
/*! @brief Time to come up once nothing is disturbed any more. */
constexpr auto kStartLimit = 15s;

/*! @brief A deployment whose start is disturbed; all draws follow the seed. */
class StartSoak : public StartWorld {
 public:
  explicit StartSoak(std::uint64_t seed)
      : StartWorld{200 + static_cast<int>(seed % 50)}, random{seed} {
    const int count =
        kMinDaemons + static_cast<int>(this->random.Index(kMoreDaemons));
    for (int index = 1; index <= count; ++index) {
      this->targets.push_back(std::make_unique<RejectingTarget>(
          this->At(index, 8000), std::set<std::string>{}, false));
      this->daemons.push_back(this->Make(index));
    }
  }

  /*! @brief Disturbs the start, in series that overlap. */
  void Disturb() {
    for (int step = 0; step < kSteps; ++step) {
      switch (this->random.Index(6)) {
        case 0:
          this->Restart(SIGKILL);
          break;
        case 1:
          this->Restart(SIGTERM);
          break;
        case 2:
          this->RestartBesideHeldAddress();
          break;
        case 3:
          this->Store().SetDelay(300ms * this->random.Index(4));
          break;
        case 4:
          this->Store().SetDown(this->random.Index(2) == 0);
          break;
        default:
          this->Signal(SIGHUP);
      }
      this->Run(20ms * this->random.Index(10));
      this->ReleaseAddresses();
      this->SendRequest();
    }
    this->Store().SetDelay({});
    this->Store().SetDown(false);
    this->held.clear();
    // A signal that arrives before its handler is set ends the process, which
    // the platform starts again.
    for (int index = 1; index <= this->Count(); ++index) {
      auto &daemon = this->daemons[index - 1];
      if (daemon->Ended() && !daemon->ExitCode()) daemon = this->Make(index);
    }
  }

  /*! @brief Waits until all daemons are ready and serve requests. */
  [[nodiscard]] bool AwaitStart() {
    const auto until = this->Now() + kStartLimit;
    for (int index = 1; index <= this->Count(); ++index) {
      const bool up = this->Await(
          [&] {
            return this->Readiness(index).status == 200 &&
                   this->Beat(index) == 200 && this->SendRequest(index) == 200;
          },
          until - this->Now());
      if (!up) {
        UNSCOPED_INFO("daemon " << index << ":\n"
                                << this->daemons[index - 1]->Log());
        return false;
      }
    }
    return true;
  }

  /*! @brief Unsafe requests that ran more often than their responses state. */
  [[nodiscard]] int Wrong() {
    std::map<std::string, int> runs;
    for (const auto &target : this->targets) {
      for (const auto &[id, count] : target->Runs()) runs[id] += count;
    }
    int wrong = 0;
    for (const auto &[id, status] : this->statuses) {
      const bool refused = status == 503 || status == 429;
      if (runs[id] > 1 || (refused && runs[id] > 0)) ++wrong;
    }
    return wrong;
  }

 private:
  /*! @brief An address that is in use for a while. */
  struct Hold {
    std::unique_ptr<HeldAddress> socket;
    pollenring::Time until{};
  };

  void ReleaseAddresses() {
    for (auto &[address, hold] : this->held) {
      if (this->Now() >= hold.until) hold.socket.reset();
    }
  }

  [[nodiscard]] int Count() const {
    return static_cast<int>(this->targets.size());
  }

  [[nodiscard]] std::unique_ptr<Daemon> Make(int index) const {
    return std::make_unique<Daemon>(this->MakeSettings(index));
  }

  [[nodiscard]] int Draw() {
    return 1 + static_cast<int>(this->random.Index(this->targets.size()));
  }

  void Signal(int number) { this->daemons[this->Draw() - 1]->Signal(number); }

  /*! @brief Ends a daemon and starts it again at once; one that was asked to
   * stop may still hold its addresses. */
  void Restart(int number) {
    const int index = this->Draw();
    auto &daemon = this->daemons[index - 1];
    daemon->Signal(number);
    this->leaving.push_back(std::move(daemon));
    daemon = this->Make(index);
  }

  void RestartBesideHeldAddress() {
    const int index = this->Draw();
    // Those still hold their addresses themselves.
    const bool one_leaves =
        std::any_of(this->leaving.begin(), this->leaving.end(),
                    [](const auto &daemon) { return !daemon->Ended(); });
    if (one_leaves) return;
    auto &daemon = this->daemons[index - 1];
    daemon->Signal(SIGKILL);
    static_cast<void>(this->Await([&] { return daemon->Ended(); }, 2s));
    const int port = 7000 + static_cast<int>(this->random.Index(5));
    const auto address = this->At(index, port);
    auto &hold = this->held[address];
    if (!hold.socket) {
      hold.socket = std::make_unique<HeldAddress>(address, SOCK_STREAM);
      hold.until = this->Now() + kMaxHold;
    }
    daemon = this->Make(index);
  }

  void SendRequest() { static_cast<void>(this->SendRequest(this->Draw())); }

  /*! @brief Sends an unsafe request, on an open connection if there is one.
   * @return The response's status; 0 without one. */
  int SendRequest(int index) {
    const std::string id = "s" + std::to_string(this->statuses.size());
    const int status =
        this->Ask(index, 7000,
                  {"POST", "/write/1", support::Headers(id), "x", "a.example"},
                  500ms)
            .status;
    this->statuses[id] = status;
    return status;
  }

  pollenring::SeededRandom random;
  std::vector<std::unique_ptr<RejectingTarget>> targets;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Daemon>> leaving;
  std::map<pollenring::Address, Hold> held;
  std::map<std::string, int> statuses;
};

}  // namespace

TEST_CASE("mesh daemon: a start that is disturbed comes up in the end") {
  // Guards against: a daemon that ends, or waits for good, after its start met
  // held addresses, a slow or absent store, signals and restarts.
  for (const auto seed : support::Seeds(3)) {
    INFO("seed " << seed);
    StartSoak soak{seed};
    soak.Disturb();
    CHECK(soak.AwaitStart());
    CHECK(soak.Wrong() == 0);
  }
}
