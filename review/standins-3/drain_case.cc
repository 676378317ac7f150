// An endpoint leaves and has its acknowledgement; the daemon beside it is
// killed and starts again; a heartbeat from before the leaving arrives late.
//
// Variant `twice`: the endpoint had left once before under the same id.
// Variant `store`: the store is unavailable while the daemon starts again.
// Variant `writer`: no daemon is killed; a heartbeat of another writer arrives,
// which lacks fields, before the endpoint drains.

#include <cstdlib>
#include <memory>
#include <thread>

#include "fleet.h"

namespace review {
namespace {

enum class Variant { kTwice, kStore, kWriter };

constexpr char kId[] = "i-7f3a91c2";
constexpr char kOtherId[] = "i-02d9e6b4";
constexpr char kConfig[] =
    R"({"version":"r7","routes":[{"name":"r-1","host":"hulo84.example",)"
    R"("prefix":"/leny950/","kind":"idempotent","timeout_ms":6000,)"
    R"("target_latency_ms":1500,"priority":2,"service":"huvo11a",)"
    R"("attempts":2,"allow_anonymous":true},{"name":"r-2",)"
    R"("host":"hulo84.example","prefix":"/puka111/",)"
    R"("kind":"non_idempotent","timeout_ms":6000,)"
    R"("target_latency_ms":1500,"priority":0,"service":"huvo11a",)"
    R"("attempts":2,"allow_anonymous":true}],"services":[{"name":"huvo11a",)"
    R"("health_path":"/health","max_connections":1186,"protocol":"h1",)"
    R"("tls":false}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";
constexpr int kMemoryMb = 260;
constexpr int kSlots = 181;
constexpr int kWorkMs = 110;
constexpr int kClientsPerMachine = 4;
// Bounds of the site.
constexpr int kDrainMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kBeatMs = 1500;
// The disruptions.
constexpr int kBeatDelayMs = 2300;
constexpr int kKillAfterMs = 500;
constexpr int kDownMs = 500;
constexpr int kStoreDownMs = 2000;
constexpr int kCountedMs = 3000;
constexpr Millis kIdleTimeout{60'000};

/*! @brief One endpoint of the service; its incarnations share the address. */
class App {
 public:
  App(const Machine &machine, std::string id, Record &record)
      : machine{machine}, id{std::move(id)}, record{record} {
    new Server{machine.App(), [this](Connection &connection) {
                 Message request;
                 while (this->alive &&
                        connection.ReadHead(request, kIdleTimeout) &&
                        connection.ReadBody(request, kIdleTimeout)) {
                   const Message answer = this->Handle(request);
                   // What ran when the process ended has no answer.
                   if (!this->alive) return;
                   if (!connection.Write(FormatResponse(answer))) return;
                 }
               }};
  }

  Message Handle(const Message &request) {
    const auto value = [&request](const char *name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string{} : found->second;
    };
    const std::string attempt = value("x-pollenring-attempt-id");
    Message answer;
    answer.headers["x-pollenring-attempt-id"] = attempt;
    answer.headers["x-pollenring-instance-id"] = this->id;
    if (!this->alive || value("x-pollenring-expect-instance") != this->id) {
      answer.status = 421;
      return answer;
    }
    this->record.Line("endpoint " + this->machine.name + " runs " + attempt);
    if (this->counts) ++this->runs;
    Pause(kWorkMs);
    answer.status = 200;
    answer.headers["x-pollenring-response-stamp"] = "3e1b.07.5a2." + attempt;
    answer.headers["x-pollenring-server-load"] = "1,0,181";
    answer.body = "ok " + attempt;
    return answer;
  }

  int Beat(const std::string &state) {
    const int status = Heartbeat(this->machine, this->id, this->born, state,
                                 ++this->sequence, kSlots);
    this->record.Line("endpoint " + this->machine.name + " says " + state +
                      ", sequence " + std::to_string(this->sequence) +
                      ", answer " + std::to_string(status));
    return status;
  }

  const Machine &machine;
  std::string id;
  Record &record;
  std::int64_t born{};
  std::uint64_t sequence{};
  std::atomic<bool> alive{true};
  std::atomic<bool> counts{false};
  std::atomic<int> runs{0};
};

/*! @brief Sends a heartbeat as another writer may send it: under the id of an
 * endpoint, with a start time of its own, and without version, zone and cold
 * time. @return The status. */
int SendPartialHeartbeat(const Machine &to) {
  const std::string json =
      R"({"address":")" + to.App().Format() + R"(","born":)" +
      std::to_string(UnixMs()) + R"(,"info":{"service":")" + to.service +
      R"(","slots":181},"status":{"state":"ready",)" + R"("sequence":1}})";
  Message request{
      "POST", std::string{"/Instances.Heartbeat/"} + kId, 0, {}, json};
  request.headers["content-type"] = "application/json";
  return Call(to.Control(), request, to.Control().Format(), Millis{1000})
      .status;
}

void Play(Variant variant, const std::string &record_path, bool trouble) {
  Record record{record_path};
  const std::string net = FindFreeNet();
  const std::string folder = MakeFolder();
  const Endpoint store_at{net + "8", 8545};
  Store store{store_at, record};
  store.PutConfig(kConfig);
  const Machine first{"first", net + "1", "mid-a", "huvo11a"};
  const Machine second{"second", net + "2", "mid-b", "huvo11a"};
  Daemon first_node{first, store_at, folder, kMemoryMb, record};
  Daemon second_node{second, store_at, folder, kMemoryMb, record};
  App app{first, kId, record};
  App other{second, kOtherId, record};
  first_node.Start(true);
  second_node.Start(true);
  const bool ready =
      first_node.WaitReady(Millis{8000}) && second_node.WaitReady(Millis{8000});
  if (!ready) Finish("DRAIN", 2);
  std::atomic<bool> playing{true};
  other.born = UnixMs();
  std::thread other_beats{[&] {
    while (playing) {
      other.Beat("ready");
      Pause(kBeatMs);
    }
  }};
  std::atomic<int> served{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 2 * kClientsPerMachine; ++i) {
    const Machine *machine = i % 2 == 0 ? &first : &second;
    const bool repeatable = i / 2 % 2 == 0;
    clients.emplace_back([&, i, machine, repeatable] {
      for (int n = 0; playing; ++n) {
        const std::string attempt =
            machine->name + "-" + std::to_string(i) + "-" + std::to_string(n);
        Message request{repeatable ? "GET" : "POST",
                        repeatable ? "/leny950/2f" : "/puka111/2f",
                        0,
                        {},
                        repeatable ? "" : "an order"};
        request.headers["x-pollenring-attempt-id"] = attempt;
        request.headers["x-pollenring-deadline-ms"] = "2000";
        const Message answer =
            Call(machine->Outbound(), request, "hulo84.example", Millis{2500});
        if (answer.status == 200) ++served;
        if (!repeatable && answer.status == 502) ++lost;
        record.Line("client at " + machine->name + " sent " + request.method +
                    " " + attempt + ", answer " +
                    std::to_string(answer.status));
        Pause(20);
      }
    });
  }
  const auto beat_for = [&](int periods, const std::string &state) {
    for (int i = 0; i < periods; ++i) {
      app.Beat(state);
      Pause(kBeatMs);
    }
  };
  const auto deregister = [&] {
    const int status = Deregister(first, kId, app.born);
    record.Line("endpoint first deregisters, answer " + std::to_string(status));
    return status;
  };

  app.born = UnixMs();
  if (variant == Variant::kTwice) {
    // The first incarnation comes, drains and ends; the second has its id.
    beat_for(2, "ready");
    beat_for(2, "draining");
    deregister();
    app.alive = false;
    record.Line("endpoint first has ended");
    Pause(1000);
    app.born = UnixMs();
    app.sequence = 0;
    app.alive = true;
    record.Line("endpoint first starts again under its id");
  }
  beat_for(2, "ready");
  if (variant == Variant::kWriter && trouble) {
    record.Line("a heartbeat of another writer arrives, answer " +
                std::to_string(SendPartialHeartbeat(first)));
  }
  const std::uint64_t late_sequence = ++app.sequence;
  if (variant != Variant::kWriter) {
    record.Line(
        "endpoint first sends a heartbeat that will be late, sequence " +
        std::to_string(late_sequence));
  }
  Pause(300);
  const bool drains = variant == Variant::kWriter;
  const int acknowledged = drains ? app.Beat("draining") : deregister();
  const std::int64_t left_at = record.Now();
  std::thread draining_beats{[&] {
    while (drains && app.alive) {
      Pause(kBeatMs);
      if (app.alive) app.Beat("draining");
    }
  }};
  std::thread late_beat{[&] {
    if (drains) return;
    Pause(kBeatDelayMs - 300);
    const int status =
        Heartbeat(first, kId, app.born, "ready", late_sequence, kSlots);
    record.Line("the late heartbeat arrives, answer " + std::to_string(status));
  }};
  std::int64_t calm_from = left_at;
  const bool restarts = trouble && !drains;
  if (restarts) {
    Pause(kKillAfterMs);
    const bool store_fails = variant == Variant::kStore;
    if (store_fails) {
      store.SetDown(true);
      record.Line("the store is unavailable");
    }
    first_node.Kill();
    Pause(kDownMs);
    first_node.Start(false);
    if (store_fails) {
      Pause(kStoreDownMs - kDownMs);
      store.SetDown(false);
      record.Line("the store is back");
    }
    calm_from = record.Now();
  }
  const std::int64_t counted_from =
      std::max(left_at + kDrainMs,
               restarts ? calm_from + kContactMs : left_at) +
      300;
  Pause(static_cast<int>(counted_from - record.Now()));
  record.Line("counted from here on: all machines are in touch, and " +
              std::to_string(record.Now() - left_at) +
              " ms have passed since the acknowledgement");
  const int served_before = served;
  const int lost_before = lost;
  app.counts = true;
  Pause(kCountedMs);
  app.counts = false;
  app.alive = false;
  record.Line("endpoint first has ended");
  Pause(500);
  record.Line("the endpoint ran " + std::to_string(app.runs) +
              " requests in the 3 s before its end");
  const int served_meanwhile = served - served_before;
  record.Line("clients were served " + std::to_string(served_meanwhile) +
              " times since then; orders that ended with 502: " +
              std::to_string(lost - lost_before));
  playing = false;
  late_beat.join();
  draining_beats.join();
  other_beats.join();
  for (auto &client : clients) client.join();
  first_node.Kill();
  second_node.Kill();
  const bool played = acknowledged == 200 && served_meanwhile > 0;
  Finish("DRAIN", !played ? 2 : app.runs > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char **argv) {
  using review::Variant;
  const std::string name = argc > 2 ? argv[2] : "twice";
  const Variant variant = name == "store"    ? Variant::kStore
                          : name == "writer" ? Variant::kWriter
                                             : Variant::kTwice;
  return review::Run(argc, argv,
                     [variant](const std::string &record_path, bool trouble) {
                       review::Play(variant, record_path, trouble);
                     });
}
