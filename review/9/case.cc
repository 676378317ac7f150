// A node is stopped as planned while a request waits for a busy endpoint.

#include <unistd.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "../standins-2/harness.h"

namespace {

using review::AppEndpoint;
using review::Daemon;
using review::Message;
using review::Record;

constexpr double kGraceMs = 6000;
constexpr int kDeadlineMs = 9000;
/*! @brief Work of the first request, which keeps the only slot busy. */
constexpr double kLongWorkMs = 6800;
constexpr double kShortWorkMs = 200;

[[nodiscard]] std::string Configuration() {
  using Json = nlohmann::json;
  const Json route{{"name", "r-meetings"},  {"host", "meetings.example"},
                   {"prefix", "/meeting/"}, {"kind", "non_idempotent"},
                   {"timeout_ms", 9000},    {"target_latency_ms", 8000},
                   {"priority", 0},         {"service", "gather"},
                   {"attempts", 2},         {"allow_anonymous", false}};
  const auto service = [](const char *name) {
    return Json{{"name", name},
                {"health_path", "/health"},
                {"max_connections", 400},
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

/*! @brief Sends one request and waits for the end of its answer. */
void Send(Record &record, const Daemon &front, const std::string &id,
          const std::string &path, std::string &result) {
  const int fd = review::Connect(front.Outbound());
  const double sent_at = review::NowMs();
  const bool sent =
      fd >= 0 &&
      review::SendAll(fd, review::RequestText("POST", "meetings.example", path,
                                              id, kDeadlineMs, "seats=12"));
  if (!sent) {
    result = "not sent";
    return;
  }
  record.Line("client: sent " + id);
  review::Reader reader{fd};
  const auto response = reader.Read(sent_at + kDeadlineMs + 500);
  const std::string after =
      " after " + std::to_string(review::NowMs() - sent_at) + " ms";
  result = response ? response->start_line
                    : (reader.Ended() ? "closed without an answer"
                                      : "no answer at its deadline");
  record.Line("client: " + id + ": " + result + after);
  close(fd);
}

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
  Daemon back{{2, "ke-b", "gather", folder, store_address}};
  front.Start();
  back.Start();

  const auto answer = [&](AppEndpoint *&endpoint) {
    return [&](int fd, const Message &request) {
      const bool is_long = request.Path() == "/meeting/long";
      review::SleepMs(is_long ? kLongWorkMs : kShortWorkMs);
      record.Line("endpoint: done with " +
                  request.Header("x-pollenring-attempt-id"));
      return review::SendAll(fd, endpoint->Answer(request, 200, "booked"));
    };
  };
  AppEndpoint *gather_pointer = nullptr;
  AppEndpoint *shelf_pointer = nullptr;
  AppEndpoint gather{
      {"gather", "ke-b", "i-gather-1", 1, back.App(), back.Control()},
      record,
      answer(gather_pointer)};
  gather_pointer = &gather;
  AppEndpoint shelf{
      {"shelf", "ke-a", "i-shelf-1", 16, front.App(), front.Control()},
      record,
      answer(shelf_pointer)};
  shelf_pointer = &shelf;

  const bool up = review::WaitUntil(15000, [&] {
    return front.Ready() && back.Ready() && gather.Acknowledged() > 0 &&
           shelf.Acknowledged() > 0;
  });
  if (!up) {
    record.Line("the deployment did not come up");
    review::Exit(review::kExitCannotRun);
  }
  // Planned work only counts when nothing was disturbed for `contact_ms`.
  review::SleepMs(3500);

  std::string first;
  std::string second;
  std::thread first_client{
      [&] { Send(record, front, "a1", "/meeting/long", first); }};
  review::SleepMs(300);
  std::thread second_client{
      [&] { Send(record, front, "a2", "/meeting/7", second); }};
  review::SleepMs(300);
  if (review::Trouble()) {
    record.Line("platform: SIGTERM to the clients' node");
    const double stopped_at = review::NowMs();
    front.Signal(SIGTERM);
    if (front.WaitForEnd(kGraceMs)) {
      record.Line("platform: the node ended by itself " +
                  std::to_string(review::NowMs() - stopped_at) +
                  " ms after SIGTERM");
    } else {
      record.Line("platform: SIGKILL after grace_s");
      front.Signal(SIGKILL);
    }
  }
  first_client.join();
  second_client.join();
  const int runs = gather.Arrivals("a2");
  record.Line("endpoint: a2 was passed on " + std::to_string(runs) +
              " time(s)");
  const bool lost = second == "closed without an answer";
  record.Line(lost ? "LOST: a2 was read whole and its connection ended without "
                     "an answer"
                   : "held: a2 has an answer");
  review::Exit(lost ? review::kExitBroken : review::kExitHeld);
}
