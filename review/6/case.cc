// An endpoint rejects a request and sends that answer a second time, late.

#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "../standins-2/harness.h"

namespace {

using review::AppEndpoint;
using review::Daemon;
using review::Message;
using review::Record;

constexpr int kRequests = 1500;
/*! @brief One of so many requests is rejected once by each endpoint. */
constexpr int kRejectEvery = 250;
constexpr int kTargets = 3;
/*! @brief Endpoints that send rejections twice: two of the four in all. */
constexpr int kFaulty = 2;
constexpr double kWorkMs = 8;
constexpr int kDeadlineMs = 5000;
constexpr double kContactMs = 3000;

[[nodiscard]] std::string Configuration() {
  using Json = nlohmann::json;
  const Json route{{"name", "r-meetings"},  {"host", "meetings.example"},
                   {"prefix", "/meeting/"}, {"kind", "non_idempotent"},
                   {"timeout_ms", 5000},    {"target_latency_ms", 1500},
                   {"priority", 0},         {"service", "gather"},
                   {"attempts", 2},         {"allow_anonymous", false}};
  const auto service = [](const char *name) {
    return Json{{"name", name},
                {"health_path", "/health"},
                {"max_connections", 634},
                {"protocol", "h1"},
                {"tls", false}};
  };
  return Json{{"version", "r7"},
              {"routes", {route}},
              {"services", {service("gather"), service("shelf")}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 67108864},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

[[nodiscard]] std::string IdOf(int index) {
  return "m" + std::to_string(index);
}

/*! @brief What an endpoint remembers of its rejections. */
class Rejections {
 public:
  /*! @brief Whether to reject this arrival. */
  [[nodiscard]] bool Rejects(const std::string &id) {
    const std::lock_guard<std::mutex> lock{this->mutex};
    for (int i = kRejectEvery / 2; i < kRequests; i += kRejectEvery) {
      if (id == IdOf(i)) return this->rejected.insert(id).second;
    }
    return false;
  }

  /*! @brief Keeps the answer for a second sending on this connection. */
  void Keep(int fd, const std::string &answer) {
    const std::lock_guard<std::mutex> lock{this->mutex};
    this->kept[fd] = answer;
  }

  /*! @brief The answer to send before the next one on this connection. */
  [[nodiscard]] std::string Take(int fd) {
    const std::lock_guard<std::mutex> lock{this->mutex};
    const auto found = this->kept.find(fd);
    if (found == this->kept.end()) return {};
    std::string answer = std::move(found->second);
    this->kept.erase(found);
    return answer;
  }

 private:
  std::mutex mutex;
  std::set<std::string> rejected;
  std::map<int, std::string> kept;
};

}  // namespace

int main(int argc, char **argv) {
  if (argc < 2) return review::kExitCannotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record record{argv[1]};
  const std::string folder = review::TemporaryFolder();
  const review::Endpoint4 store_address{
      review::MachineIp(250), review::FreePort(review::MachineIp(250))};
  review::Store store{store_address, record};
  store.Put("op", "config", Configuration());

  Daemon front{{1, "ke-a", "shelf", folder, store_address}};
  front.Start();
  std::array<std::unique_ptr<Daemon>, kTargets> backs;
  std::array<std::unique_ptr<AppEndpoint>, kTargets> targets;
  std::array<Rejections, kTargets> rejections;
  std::mutex runs_mutex;
  std::map<std::string, int> runs;
  std::atomic<int> answers{0};
  std::atomic<int> doubled{0};
  for (std::size_t i = 0; i < kTargets; ++i) {
    const char *zone = i == 0 ? "ke-a" : "ke-b";
    backs[i] = std::make_unique<Daemon>(Daemon::Options{
        static_cast<int>(i) + 2, zone, "gather", folder, store_address});
    backs[i]->Start();
    const std::string name = "i-gather-" + std::to_string(i);
    targets[i] = std::make_unique<AppEndpoint>(
        AppEndpoint::Options{"gather", zone, name, 89, backs[i]->App(),
                             backs[i]->Control()},
        record, [&, i, name](int fd, const Message &request) {
          const std::string id = request.Header("x-pollenring-attempt-id");
          const std::string extra = rejections[i].Take(fd);
          if (!extra.empty()) {
            ++doubled;
            record.Line("endpoint " + name +
                        ": sends an earlier answer once more, as " + id +
                        " waits for its own");
            if (!review::SendAll(fd, extra)) return false;
          }
          ++answers;
          if (rejections[i].Rejects(id)) {
            record.Line("endpoint " + name + ": rejects " + id +
                        ", not executed");
            const std::string answer =
                "HTTP/1.1 503 Service Unavailable\r\n"
                "x-pollenring-attempt-id: " +
                id +
                "\r\nx-pollenring-not-executed: 1\r\n"
                "content-length: 0\r\n\r\n";
            const bool faulty = i < kFaulty && review::Trouble();
            if (faulty) rejections[i].Keep(fd, answer);
            return review::SendAll(fd, answer);
          }
          {
            const std::lock_guard<std::mutex> lock{runs_mutex};
            ++runs[id];
          }
          review::SleepMs(kWorkMs);
          record.Line("endpoint " + name + ": has run " + id);
          return review::SendAll(fd,
                                 targets[i]->Answer(request, 200, "booked"));
        });
  }
  AppEndpoint *shelf_pointer = nullptr;
  AppEndpoint shelf{
      {"shelf", "ke-a", "i-shelf-1", 60, front.App(), front.Control()},
      record,
      [&](int fd, const Message &request) {
        return review::SendAll(fd, shelf_pointer->Answer(request, 200, "page"));
      }};
  shelf_pointer = &shelf;

  const bool up = review::WaitUntil(15000, [&] {
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (!backs[i]->Ready() || targets[i]->Acknowledged() == 0) return false;
    }
    return front.Ready() && shelf.Acknowledged() > 0;
  });
  if (!up) {
    record.Line("the deployment did not come up");
    review::Exit(review::kExitCannotRun);
  }
  review::SleepMs(kContactMs);

  std::map<std::string, int> statuses;
  const int fd = review::Connect(front.Outbound());
  review::Reader reader{fd};
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = IdOf(i);
    const bool sent = review::SendAll(
        fd, review::RequestText("POST", "meetings.example", "/meeting/7", id,
                                kDeadlineMs, "seats=12"));
    const auto answer =
        sent ? reader.Read(review::NowMs() + kDeadlineMs + 500) : std::nullopt;
    statuses[id] = answer ? answer->Status() : 0;
    record.Line("client: " + id + ": " + std::to_string(statuses[id]));
    if (!answer) break;
  }
  review::SleepMs(500);
  bool broken = false;
  const std::lock_guard<std::mutex> lock{runs_mutex};
  for (const auto &[id, status] : statuses) {
    const int count = runs[id];
    const bool twice = count > 1;
    const bool refused = count > 0 && (status == 503 || status == 429);
    if (twice)
      record.Line("TWICE: " + id + " has run " + std::to_string(count) +
                  " times");
    if (refused)
      record.Line("REFUSED: " + id + " was answered " + std::to_string(status) +
                  " and has run");
    broken = broken || twice || refused;
  }
  record.Line("endpoints: " + std::to_string(doubled) + " of " +
              std::to_string(answers) + " answers were sent twice");
  if (!broken) record.Line("held: no request has run twice");
  review::Exit(broken ? review::kExitBroken : review::kExitHeld);
}
