// Uploads to endpoints that turn slow; the platform ends a daemon that exceeds
// its memory and starts it again.

#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "fleet.h"

namespace review {
namespace {

constexpr char kConfig[] =
    R"({"version":"r7","routes":[{"name":"r-1","host":"jepu9.example",)"
    R"("prefix":"/puka111/","kind":"non_idempotent","timeout_ms":6000,)"
    R"("target_latency_ms":1500,"priority":0,"service":"wuno96b",)"
    R"("attempts":2,"allow_anonymous":true}],"services":[{"name":"wuno96b",)"
    R"("health_path":"/health","max_connections":2272,"protocol":"h1",)"
    R"("tls":false}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";
constexpr char kAttemptId[] = "x-pollenring-attempt-id";
constexpr int kMemoryMb = 260;
constexpr std::size_t kBytesPerMb = 1024 * 1024;
constexpr int kSlots = 362;
constexpr int kBeatMs = 1500;
constexpr int kWorkMs = 500;
constexpr int kMachines = 5;
constexpr int kSlowEndpoints = 2;
constexpr std::size_t kSlowBytesPerS = 3 * kBytesPerMb;
constexpr int kWindows = 5;
constexpr int kWindowMs = 9000;
constexpr int kPauseMs = 3000;
constexpr std::size_t kBodyBytes = 12 * kBytesPerMb;
/*! @brief Between two uploads at one machine. */
constexpr int kPeriodMs = 250;
/*! @brief What the rule allows a machine. */
constexpr int kLostAllowed = 3;
constexpr Millis kIdleTimeout{60'000};

/*! @brief Ids of attempts, from all threads. */
class Attempts {
 public:
  void Add(const std::string &id) {
    const std::lock_guard<std::mutex> lock{this->mutex};
    this->ids.insert(id);
  }

  [[nodiscard]] bool Contains(const std::string &id) {
    const std::lock_guard<std::mutex> lock{this->mutex};
    return this->ids.count(id) > 0;
  }

 private:
  std::mutex mutex;
  std::set<std::string> ids;
};

/*! @brief An endpoint; it reads each request whole, works, and answers. */
class App {
 public:
  App(const Machine &machine, std::string id, Attempts &reached, Attempts &ran,
      Record &record)
      : machine{machine},
        id{std::move(id)},
        reached{reached},
        ran{ran},
        record{record} {
    new Server{machine.App(), [this](Connection &connection) {
                 Message request;
                 while (connection.ReadHead(request, kIdleTimeout)) {
                   this->reached.Add(request.headers[kAttemptId]);
                   const bool whole = connection.ReadBody(request, kIdleTimeout,
                                                          this->bytes_per_s);
                   if (!whole) return;
                   const Message answer = this->Run(request);
                   if (!connection.Write(FormatResponse(answer))) return;
                 }
               }};
  }

  Message Run(const Message &request) {
    const auto value = [&request](const char *name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string{} : found->second;
    };
    const std::string attempt = value(kAttemptId);
    Message answer;
    answer.headers[kAttemptId] = attempt;
    answer.headers["x-pollenring-instance-id"] = this->id;
    if (value("x-pollenring-expect-instance") != this->id) {
      answer.status = 421;
      return answer;
    }
    this->record.Line("endpoint " + this->machine.name + " runs " + attempt +
                      ", " + std::to_string(request.body.size()) + " bytes");
    this->ran.Add(attempt);
    const int running = ++this->running;
    Pause(kWorkMs);
    --this->running;
    answer.status = 200;
    answer.headers["x-pollenring-response-stamp"] = "3e1b.07.5a2." + attempt;
    answer.headers["x-pollenring-server-load"] =
        std::to_string(running) + ",0," + std::to_string(kSlots);
    answer.body = "ok " + attempt;
    return answer;
  }

  const Machine &machine;
  std::string id;
  Attempts &reached;
  Attempts &ran;
  Record &record;
  std::atomic<std::size_t> bytes_per_s{0};
  std::atomic<int> running{0};
};

/*! @brief What became of the uploads at one machine. */
struct Tally {
  std::atomic<int> served{0};
  std::atomic<int> lost{0};     /*!< Passed on; closed without an answer. */
  std::atomic<int> lost_run{0}; /*!< Those of them that an endpoint ran. */
  std::atomic<int> other{0};
};

/*! @brief Sends a short request and then an upload on one connection. */
void Upload(const Machine &at, const std::string &attempt,
            const std::string &body, Attempts &reached, Attempts &ran,
            Tally &tally, Record &record) {
  const auto connection = Connect(at.Outbound());
  if (!connection) return;
  const auto send = [&](const std::string &id, const std::string &content,
                        Message &answer) {
    Message request{"POST", "/puka111/2f", 0, {}, content};
    request.headers[kAttemptId] = id;
    request.headers["x-pollenring-deadline-ms"] = "6000";
    return connection->Write(FormatRequest(request, "jepu9.example")) &&
           connection->ReadHead(answer, Millis{8000});
  };
  Message answer;
  const bool kept = send(attempt + "-a", "short", answer) &&
                    connection->ReadBody(answer, Millis{1000}) &&
                    answer.status == 200 &&
                    answer.headers.count("connection") == 0;
  if (!kept) return;
  const bool answered = send(attempt, body, answer);
  const bool passed_on = reached.Contains(attempt);
  record.Line("client at " + at.name + " sent " + attempt + ", " +
              (answered    ? "answer " + std::to_string(answer.status)
               : passed_on ? "passed on, closed without an answer"
                           : "closed without an answer"));
  if (answered && answer.status == 200) {
    ++tally.served;
  } else if (answered) {
    ++tally.other;
  } else if (passed_on) {
    ++tally.lost;
    if (ran.Contains(attempt)) ++tally.lost_run;
  }
}

void Play(const std::string &record_path, bool trouble) {
  Record record{record_path};
  const std::string net = FindFreeNet();
  const std::string folder = MakeFolder();
  const Endpoint store_at{net + "8", 8545};
  Store store{store_at, record};
  store.PutConfig(kConfig);
  std::vector<Machine> machines;
  for (int i = 1; i <= kMachines; ++i) {
    machines.push_back({"machine-" + std::to_string(i), net + std::to_string(i),
                        "mid-a", "wuno96b"});
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<App>> apps;
  Attempts reached;
  Attempts ran;
  for (const Machine &machine : machines) {
    daemons.push_back(
        std::make_unique<Daemon>(machine, store_at, folder, kMemoryMb, record));
    apps.push_back(std::make_unique<App>(machine, "i-" + machine.name, reached,
                                         ran, record));
    daemons.back()->Start(true);
  }
  for (const auto &daemon : daemons) {
    if (!daemon->WaitReady(Millis{8000})) Finish("LOST", 2);
  }
  std::atomic<bool> playing{true};
  std::vector<std::thread> threads;
  for (const auto &app : apps) {
    threads.emplace_back([&playing, app = app.get()] {
      const std::int64_t born = UnixMs();
      for (std::uint64_t sequence = 1; playing; ++sequence) {
        Heartbeat(app->machine, app->id, born, "ready", sequence, kSlots);
        Pause(kBeatMs);
      }
    });
  }
  // The platform: ends a process that exceeds its memory, starts it again.
  std::vector<std::size_t> peaks(daemons.size());
  std::vector<int> ends(daemons.size());
  threads.emplace_back([&] {
    while (playing) {
      for (std::size_t i = 0; i < daemons.size(); ++i) {
        const std::size_t resident = daemons[i]->Resident();
        peaks[i] = std::max(peaks[i], resident);
        if (resident <= kMemoryMb * kBytesPerMb) continue;
        ++ends[i];
        record.Line("platform: " + daemons[i]->At().name + " holds " +
                    std::to_string(resident / kBytesPerMb) + " MB");
        daemons[i]->Kill();
        Pause(300);
        daemons[i]->Start(false);
      }
      Pause(5);
    }
  });
  std::vector<Tally> tallies(daemons.size());
  std::atomic<int> open{0};
  const std::string body(kBodyBytes, 'x');
  for (std::size_t at = 0; at < machines.size(); ++at) {
    threads.emplace_back([&, target = &machines[at], &tally = tallies[at]] {
      for (int i = 0; playing; ++i) {
        const std::string attempt = target->name + "-" + std::to_string(i);
        ++open;
        std::thread{[&, target, attempt] {
          Upload(*target, attempt, body, reached, ran, tally, record);
          --open;
        }}.detach();
        Pause(kPeriodMs);
      }
    });
  }
  Pause(4000);
  record.Line("4 s of the usual are over");
  for (int window = 0; window < kWindows; ++window) {
    const std::size_t pace = trouble ? kSlowBytesPerS : 0;
    for (int i = 0; i < kSlowEndpoints; ++i) {
      const int chosen = (window * kSlowEndpoints + i) % kMachines;
      apps[static_cast<std::size_t>(chosen)]->bytes_per_s = pace;
    }
    if (trouble) record.Line("two endpoints read slowly");
    Pause(kWindowMs);
    for (const auto &app : apps) app->bytes_per_s = 0;
    if (trouble) record.Line("they read as usual again");
    Pause(kPauseMs);
  }
  playing = false;
  for (auto &thread : threads) thread.join();
  for (int i = 0; i < 140 && open > 0; ++i) Pause(50);
  int served = 0;
  bool broken = false;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const Tally &tally = tallies[i];
    record.Line(daemons[i]->At().name + ": most " +
                std::to_string(peaks[i] / kBytesPerMb) + " MB, ended " +
                std::to_string(ends[i]) + " times; served " +
                std::to_string(tally.served) + ", passed on and closed " +
                "without an answer " + std::to_string(tally.lost) +
                " (run: " + std::to_string(tally.lost_run) + ")" +
                ", other answers " + std::to_string(tally.other));
    served += tally.served;
    broken = broken || tally.lost_run > kLostAllowed;
  }
  for (const auto &daemon : daemons) daemon->Kill();
  Finish("LOST", served == 0 ? 2 : broken ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char **argv) {
  return review::Run(argc, argv, review::Play);
}
