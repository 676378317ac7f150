#include "support/mixed_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace support {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using pollenring::Address;
using pollenring::Duration;
using pollenring::HttpRequest;
using pollenring::Time;

constexpr Duration kHeartbeatInterval = 400ms;
constexpr Duration kReadinessInterval = 1s;
constexpr Duration kStatusInterval = 250ms;
constexpr Duration kProcessCheckInterval = 50ms;
constexpr Duration kLoadInterval = 20ms;
constexpr Duration kStopTimeout = 6s;
/*! @brief How long each target is the only one of its service. */
constexpr Duration kSoleTargetTime = 1500ms;
constexpr Duration kRecoveryTime = 1s;
constexpr Duration kMaxStartTime = 10s;
constexpr int kStoreIndex = 250;
constexpr const char *kHost = "a.example";

/*! @brief The rate is below the callers' demand and above the share that one of
 * two separate fleets would have. */
const FleetQuota kTinyQuota{"tiny", 40, 20};

[[nodiscard]] std::filesystem::path ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

[[nodiscard]] std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "pollenring-mixed-XXXXXX")
          .string();
  return mkdtemp(pattern.data());
}

}  // namespace

Build NewBuild() { return {"new", (ProgramFolder() / "pollenringd").string()}; }

Build LandedBuild(const std::string &commit) {
  const auto folder = ProgramFolder() / "versions" / commit / "out";
  return {commit, (folder / "pollenringd").string()};
}

MixedFleet::MixedFleet(int net, std::uint64_t seed,
                       std::set<std::string> builds_without_withdrawal)
    : net{net},
      folder{MakeFolder()},
      random{seed},
      journal{kTinyQuota, std::move(builds_without_withdrawal)},
      store{loop, this->AddressOf(kStoreIndex, 7900)} {
  std::signal(SIGPIPE, SIG_IGN);
  this->store.PutConfig(this->NextConfig());
  this->nodes.resize(kNodes);
  for (int i = 1; i <= kNodes; ++i) {
    FleetNode &node = this->At(i);
    node.number = i;
    node.zone = "z" + std::to_string(i % kZones);
    node.target = std::make_unique<pollenring::HttpServer>(
        this->loop, this->AddressOf(i, 8000), pollenring::HttpServerLimits{},
        [this, &node](const HttpRequest &request,
                      const std::shared_ptr<pollenring::Responder> &responder) {
          this->Serve(node, request, responder);
        });
    node.target->Open();
  }
  const auto each = [this](Duration period,
                           void (MixedFleet::*check)(FleetNode &)) {
    this->loop.Every(period, [this, check] {
      for (auto &node : this->nodes) {
        if (node.pid != 0) (this->*check)(node);
      }
    });
  };
  each(kHeartbeatInterval, &MixedFleet::SendHeartbeat);
  each(kReadinessInterval, &MixedFleet::CheckReadiness);
  each(kStatusInterval, &MixedFleet::CheckStatus);
  this->loop.Every(kProcessCheckInterval, [this] { this->WatchProcesses(); });
  this->loop.Every(kLoadInterval, [this] { this->SendLoad(); });
}

MixedFleet::~MixedFleet() {
  for (const auto &node : this->nodes) {
    if (node.pid == 0) continue;
    kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
  }
  const bool keep = std::getenv("POLLENRING_KEEP_LOGS") != nullptr;
  if (!keep) std::filesystem::remove_all(this->folder);
}

const char *MixedFleet::ServiceOf(int node) {
  return node <= kNodes / 2 ? "deep" : "orders";
}

std::int64_t MixedFleet::MillisecondsSinceCreation(Time at) const {
  return (at - this->created_at) / 1ms;
}

Address MixedFleet::AddressOf(int node, int port) const {
  return *Address::Parse(fmt::format("127.43.{}.{}:{}", this->net, node, port));
}

std::string MixedFleet::InstanceOf(const FleetNode &node) {
  return fmt::format("i-{}-{}", node.number, node.incarnation);
}

std::string MixedFleet::NextConfig() {
  // Each version removes one route and adds one.
  const int version = ++this->config_version;
  Json routes = Json::array();
  const auto add = [&routes](const std::string &name, const char *service,
                             const char *kind, bool open) {
    routes.push_back({{"name", name},
                      {"host", kHost},
                      {"prefix", "/" + name + "/"},
                      {"kind", kind},
                      {"timeout_ms", 1500},
                      {"target_latency_ms", 700},
                      {"priority", 1},
                      {"attempts", 2},
                      {"service", service},
                      {"allow_anonymous", open}});
  };
  add("read", "deep", "idempotent", false);
  add("write", "orders", "non_idempotent", false);
  add(fmt::format("news-{}", version), "deep", "idempotent", true);
  const Json tenants{{{"name", "club"}, {"api_keys", {"key-of-club"}}},
                     {{"name", kTinyQuota.workspace},
                      {"api_keys", {"key-of-" + kTinyQuota.workspace}},
                      {"rate_per_s", kTinyQuota.rate_per_s},
                      {"burst", kTinyQuota.burst}}};
  return Json{{"version", fmt::format("r{}", 3 * version)},
              {"routes", routes},
              {"services", {{{"name", "deep"}}, {{"name", "orders"}}}},
              {"tenants", tenants}}
      .dump();
}

std::string MixedFleet::WriteSettings(const FleetNode &node, bool first) {
  // Only settings that all landed builds accept.
  const auto at = [&](int port) {
    return this->AddressOf(node.number, port).Format();
  };
  const std::string store_at = this->AddressOf(kStoreIndex, 7900).Format();
  const std::string path = fmt::format("{}/{}.toml", this->folder, node.number);
  std::ofstream{path} << fmt::format(
      "[node]\nroutes = \"host\"\nzone = \"{}\"\nregion = \"r\"\n"
      "first_start = {}\n[listen]\ncallers = \"{}\"\ntargets = \"{}\"\n"
      "ready = \"{}\"\nnodes = \"{}\"\noperators = \"{}\"\n[target]\n"
      "service = \"{}\"\n[secrets]\nnodes = \"deployment-at-{}\"\n[platform]\n"
      "address = \"{}\"\n",
      node.zone, first, at(7000), at(7001), at(7004), at(7002), at(7003),
      ServiceOf(node.number), store_at, store_at);
  return path;
}

void MixedFleet::Start(int number, const Build &build, bool first) {
  FleetNode &node = this->At(number);
  const std::string settings = this->WriteSettings(node, first);
  const std::string log = fmt::format("{}/{}.log", this->folder, number);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    // The child must not inherit sockets of the store and the targets.
    close_range(3, ~0U, 0);
    execl(build.program.c_str(), "pollenringd", "--settings", settings.c_str(),
          nullptr);
    _exit(127);
  }
  this->journal.BeginDisturbance(number, DisturbanceCause::kStart, this->Now());
  node.pid = pid;
  node.build = build.name;
  node.starting = true;
  node.failed_checks = 0;
}

void MixedFleet::AwaitReady(int number) {
  const FleetNode &node = this->At(number);
  const bool ready =
      this->Await([&node] { return !node.starting; }, kMaxStartTime);
  if (ready) return;
  this->journal.RecordViolation(
      FleetRule::kEnd, this->Now(),
      fmt::format("node {} ({}) was not ready in time", number, node.build));
}

void MixedFleet::Stop(int number) {
  FleetNode &node = this->At(number);
  if (node.pid == 0) return;
  this->journal.BeginDisturbance(number, DisturbanceCause::kStop, this->Now());
  node.stopping = true;
  kill(node.pid, SIGTERM);
  int status = 0;
  const bool ended = this->Await(
      [&] { return waitpid(node.pid, &status, WNOHANG) == node.pid; },
      kStopTimeout);
  if (!ended) {
    this->journal.RecordViolation(
        FleetRule::kEnd, this->Now(),
        fmt::format("node {} ({}) did not exit in time after SIGTERM", number,
                    node.build));
    kill(node.pid, SIGKILL);
    waitpid(node.pid, &status, 0);
  } else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    this->journal.RecordViolation(
        FleetRule::kEnd, this->Now(),
        fmt::format("node {} ({}) ended with status {} after SIGTERM", number,
                    node.build, status));
  }
  ClearProcess(node);
}

void MixedFleet::ClearProcess(FleetNode &node) {
  node.pid = 0;
  node.stopping = false;
  node.starting = false;
  node.in_rotation = false;
}

void MixedFleet::Kill(int number) {
  FleetNode &node = this->At(number);
  if (node.pid == 0) return;
  this->journal.BeginDisturbance(number, DisturbanceCause::kKill, this->Now());
  kill(node.pid, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  ClearProcess(node);
}

void MixedFleet::Pause(int number) {
  FleetNode &node = this->At(number);
  if (node.pid == 0) return;
  this->journal.BeginDisturbance(number, DisturbanceCause::kPause, this->Now());
  kill(node.pid, SIGSTOP);
}

void MixedFleet::Resume(int number) {
  const FleetNode &node = this->At(number);
  if (node.pid == 0) return;
  kill(node.pid, SIGCONT);
  this->journal.EndDisturbances(number, this->Now());
}

void MixedFleet::RestartTarget(int number) {
  FleetNode &node = this->At(number);
  ++node.incarnation;
  node.sequence = 0;
  node.draining = false;
  node.ready_since = this->Now();
}

void MixedFleet::LeaveOneZoneInTurn() {
  for (int zone = 0; zone < kZones; ++zone) {
    const std::string stays = "z" + std::to_string(zone);
    for (auto &node : this->nodes) node.draining = node.zone != stays;
    this->journal.RecordChange(this->Now());
    this->Run(FleetJournal::kContact + kSoleTargetTime);
    for (auto &node : this->nodes) {
      if (node.draining) this->RestartTarget(node.number);
    }
    this->journal.RecordChange(this->Now());
    this->Run(kRecoveryTime);
  }
}

void MixedFleet::BeginLoad() { this->load_enabled = true; }

void MixedFleet::Run(Duration length) {
  bool over = false;
  this->loop.After(length, [&over, this] {
    over = true;
    this->loop.Stop();
  });
  while (!over) {
    this->loop.Resume();
    this->loop.Run();
  }
}

bool MixedFleet::Await(const std::function<bool()> &condition, Duration limit) {
  const Time until = this->Now() + limit;
  while (!condition()) {
    if (this->Now() > until) return false;
    this->Run(20ms);
  }
  return true;
}

void MixedFleet::ChangeConfig() {
  const std::string gone = fmt::format("/news-{}/", this->config_version);
  this->store.PutConfig(this->NextConfig());
  const std::string there = fmt::format("/news-{}/", this->config_version);
  this->journal.RecordChange(this->Now());
  this->Run(FleetJournal::kConfigApply);
  for (const auto &node : this->nodes) {
    if (node.pid == 0) continue;
    this->Send({"GET", gone, "deep", "", 0, Expected::kRouteAbsent},
               node.number);
    this->Send({"GET", there, "deep", "", 0, Expected::kRoutePresent},
               node.number);
  }
}

void MixedFleet::Withdraw(int zone, bool withdrawn) {
  const std::string name = "z" + std::to_string(zone);
  std::set<int> inside;
  for (const auto &node : this->nodes) {
    if (node.zone == name) inside.insert(node.number);
  }
  this->store.Withdraw(name, withdrawn);
  this->journal.RecordWithdrawal(inside, withdrawn, this->Now());
}

void MixedFleet::CheckReached(Time from) {
  const auto pairs = this->journal.Reached(from);
  for (const auto &entry : this->nodes) {
    for (const auto &other : this->nodes) {
      if (pairs.count({entry.number, other.number}) > 0) continue;
      this->journal.RecordViolation(
          FleetRule::kMember, this->Now(),
          fmt::format("no undisturbed call of node {} ({}) reached the target "
                      "of node {} "
                      "({})",
                      entry.number, entry.build, other.number, other.build));
    }
  }
}

}  // namespace support
