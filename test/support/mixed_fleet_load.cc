// What the test does for a fleet's surroundings: targets, heartbeats,
// questions and callers.
#include <fmt/format.h>
#include <sys/wait.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "support/mixed_fleet.h"

namespace support {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using pollenring::CallError;
using pollenring::Duration;
using pollenring::FindHeader;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using pollenring::Time;

constexpr Duration kLoadInterval = 20ms;
constexpr Duration kResponseTime = 15ms;
constexpr Duration kSlowResponseTime = 500ms;
constexpr Duration kCallerTimeout = 3s;
constexpr Duration kPlatformTimeout = 1s;
constexpr int kMaxFailedChecks = 2;
constexpr int kTargetSlots = 16;
constexpr int kBurstCalls = 2 * kTargetSlots * MixedFleet::kZones;
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr const char *kSlowSuffix = "slow";

[[nodiscard]] std::int64_t ToNumber(std::string_view text) {
  std::int64_t number{};
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

[[nodiscard]] bool EndsWith(const std::string &text, std::string_view end) {
  return text.size() >= end.size() &&
         text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace

void MixedFleet::Serve(
    FleetNode &node, const HttpRequest &request,
    const std::shared_ptr<pollenring::Responder> &responder) {
  const std::string id{FindHeader(request.headers, "x-pollenring-attempt-id")};
  const auto expected =
      FindHeader(request.headers, "x-pollenring-expect-instance");
  if (!expected.empty() && expected != InstanceOf(node)) {
    responder->Send(
        {kMisdirected,
         {{"x-pollenring-attempt-id", id}, {"x-pollenring-not-executed", "1"}},
         {}});
    return;
  }
  this->journal.RecordRun(
      {id, node.number, node.build, this->Now(),
       std::string{FindHeader(request.headers, "x-pollenring-tenant")},
       std::string{FindHeader(request.headers, "x-pollenring-caller-service")},
       ToNumber(FindHeader(request.headers, "x-pollenring-deadline-ms"))});
  const Duration response_time =
      EndsWith(request.path, kSlowSuffix) ? kSlowResponseTime : kResponseTime;
  this->loop.After(response_time, [responder, id] {
    responder->Send({kOk,
                     {{"x-pollenring-attempt-id", id},
                      {"x-pollenring-response-stamp", "stamp"}},
                     id});
  });
}

void MixedFleet::SendHeartbeat(FleetNode &node) {
  const Json body{{"address", this->AddressOf(node.number, 8000).Format()},
                  {"born", node.incarnation},
                  {"info",
                   {{"service", ServiceOf(node.number)},
                    {"zone", node.zone},
                    {"version", "v1"},
                    {"slots", kTargetSlots}}},
                  {"status",
                   {{"state", node.draining ? "draining" : "ready"},
                    {"sequence", ++node.sequence},
                    {"cold_left_ms", 0}}}};
  // One that isn't acknowledged is followed by the next.
  this->platform.Call(
      this->AddressOf(node.number, 7001),
      {"POST", "/Instances.Heartbeat/" + InstanceOf(node), {}, body.dump(), {}},
      kPlatformTimeout, [](const HttpClient::Reply & /*reply*/) {});
}

void MixedFleet::CheckReadiness(FleetNode &node) {
  const pid_t pid = node.pid;
  this->platform.Call(
      this->AddressOf(node.number, 7004), {"GET", "/readiness", {}, {}, {}},
      kPlatformTimeout, [this, &node, pid](const HttpClient::Reply &reply) {
        if (node.pid != pid) return;
        const auto *response = std::get_if<HttpResponse>(&reply);
        if (response == nullptr || response->status != kOk) {
          if (++node.failed_checks >= kMaxFailedChecks)
            node.in_rotation = false;
          return;
        }
        node.failed_checks = 0;
        node.in_rotation = true;
        if (!node.starting) return;
        node.starting = false;
        this->journal.EndDisturbances(node.number, this->Now());
      });
}

void MixedFleet::CheckStatus(FleetNode &node) {
  const Time asked = this->Now();
  this->platform.Call(
      this->AddressOf(node.number, 7003), {"GET", "/status", {}, {}, {}},
      kPlatformTimeout, [this, &node, asked](const HttpClient::Reply &reply) {
        const auto *response = std::get_if<HttpResponse>(&reply);
        // Some landed builds have no such page.
        if (response == nullptr || response->status != kOk) return;
        this->CheckMembers(node.number, response->body, asked);
      });
}

void MixedFleet::CheckMembers(int number, const std::string &body, Time asked) {
  const Time from = asked - FleetJournal::kContact;
  const auto undisturbed = [&](const FleetNode &node) {
    return node.pid != 0 &&
           this->journal.Undisturbed(node.number, from, this->Now());
  };
  if (!undisturbed(this->At(number))) return;
  const Json status = Json::parse(body);
  for (const auto &other : this->nodes) {
    if (!undisturbed(other)) continue;
    const std::string address = this->AddressOf(other.number, 7002).Format();
    std::string seen = "missing";
    for (const auto &member : status.at("members")) {
      if (member.at("node") != address) continue;
      seen = member.at("state").get<std::string>();
      const bool ready = !other.draining && other.ready_since <= from;
      if (ready && member.at("targets").empty()) seen += " without its target";
    }
    if (seen == "alive") continue;
    this->journal.RecordViolation(
        FleetRule::kMember, asked,
        fmt::format("at node {} ({}), node {} ({}) is {}", number,
                    this->At(number).build, other.number, other.build, seen));
  }
}

void MixedFleet::WatchProcesses() {
  for (auto &node : this->nodes) {
    if (node.pid == 0 || node.stopping) continue;
    int status = 0;
    if (waitpid(node.pid, &status, WNOHANG) != node.pid) continue;
    this->journal.RecordViolation(
        FleetRule::kEnd, this->Now(),
        fmt::format("node {} ({}) ended unexpectedly with status {}",
                    node.number, node.build, status));
    ClearProcess(node);
  }
}

void MixedFleet::SendLoad() {
  if (!this->load_enabled) return;
  const std::array<Load, 5> loads{{
      {"GET", "/read/1", "deep", "club", 8, Expected::kServed},
      {"GET", "/read/slow", "deep", "club", 1, Expected::kServed},
      {"POST", "/write/1", "orders", "club", 8, Expected::kServed},
      {"POST", "/write/slow", "orders", "club", 1, Expected::kServed},
      {"GET", "/read/2", "deep", "tiny", 18, Expected::kMayBeRefused},
  }};
  const double tick_s = std::chrono::duration<double>{kLoadInterval}.count();
  for (const auto &node : this->nodes) {
    if (!node.in_rotation) continue;
    for (const auto &load : loads) {
      if (!this->random.Chance(load.per_s * tick_s)) continue;
      this->Send(load, node.number);
    }
  }
}

void MixedFleet::Burst(int number) {
  const std::string service = ServiceOf(number);
  const bool unsafe = service == "orders";
  const Load load{unsafe ? "POST" : "GET",
                  unsafe ? "/write/slow" : "/read/slow",
                  service,
                  "club",
                  0,
                  Expected::kMayBeRefused};
  for (int i = 0; i < kBurstCalls; ++i) {
    const int any = 1 + static_cast<int>(this->random.Index(kNodes));
    const int entry = i % 3 == 0 ? number : any;
    if (this->At(entry).in_rotation) this->Send(load, entry);
  }
}

void MixedFleet::Send(const Load &load, int number) {
  const std::string id = fmt::format("{:016x}", this->random.Bits());
  FleetCall call;
  call.entry = number;
  call.build = this->At(number).build;
  call.caller_service = ServiceOf(number);
  call.service = load.service;
  call.workspace = load.workspace;
  call.unsafe = load.method == "POST";
  call.expected = load.expected;
  call.sent = this->Now();
  this->journal.RecordCall(id, std::move(call));
  pollenring::HttpHeaders headers{
      {"x-pollenring-attempt-id", id},
      {"x-pollenring-deadline-ms",
       std::to_string(FleetJournal::kDeadline / 1ms)}};
  if (!load.workspace.empty()) {
    headers.push_back({"authorization", "Token key-of-" + load.workspace});
  }
  this->callers.Call(
      this->AddressOf(number, 7000),
      {load.method, load.path, std::move(headers), {}, "a.example"},
      kCallerTimeout, [this, id](const HttpClient::Reply &reply) {
        FleetCall &ended = this->journal.CallOf(id);
        ended.ended = this->Now();
        if (const auto *error = std::get_if<CallError>(&reply)) {
          ended.error = *error;
          return;
        }
        const auto &response = std::get<HttpResponse>(reply);
        ended.status = response.status;
        ended.body = response.body.substr(0, response.body.find('\n'));
      });
}

}  // namespace support
