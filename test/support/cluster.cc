#include "support/cluster.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "pollenring/contract/check.h"
#include "pollenring/contract/json.h"
#include "pollenring/core/hash.h"

namespace support {
namespace {

using Json = nlohmann::json;
using pollenring::Address;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;

constexpr const char *kOperatorSecret = "operator-secret-of-tests";
constexpr const char *kTargetSecret = "target-secret-of-tests!";
constexpr std::size_t kMaxResponseBytes = std::size_t{40} * 1024 * 1024;
constexpr int kPlatformIndex = 250;

[[nodiscard]] std::string ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

}  // namespace

Cluster::Cluster(int net)
    : loop{clock}, client{loop, {kMaxResponseBytes}}, random{7}, net{net} {
  std::signal(SIGPIPE, SIG_IGN);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "pollenring-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->StartPlatform();
}

Cluster::~Cluster() {
  for (const auto &[name, pid] : this->processes) kill(pid, SIGKILL);
  for (const auto &[name, pid] : this->processes) waitpid(pid, nullptr, 0);
  const bool keep = std::getenv("POLLENRING_KEEP_LOGS") != nullptr;
  if (!keep) std::filesystem::remove_all(this->folder);
}

Address Cluster::At(int index, std::uint16_t port) const {
  const auto ip = (127U << 24U) | (40U << 16U) |
                  (static_cast<std::uint32_t>(this->net) << 8U) |
                  static_cast<std::uint32_t>(index);
  return {ip, port};
}

void Cluster::Start(const std::string &name,
                    const std::vector<std::string> &arguments) {
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = this->folder + "/" + name + ".log";
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 2);
    dup2(fd, 1);
    std::vector<char *> argv;
    for (const auto &argument : arguments) {
      argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  this->processes[name] = pid;
}

void Cluster::StartPlatform() {
  this->Start("platform",
              {ProgramFolder() + "/pollenring-standin", "platform", "--listen",
               this->At(kPlatformIndex, 7900).Format()});
}

void Cluster::StartNode(int index, const std::string &zone) {
  const std::string name = "node" + std::to_string(index);
  const std::string path = this->folder + "/" + name + ".toml";
  std::ofstream{path}
      << "[node]\nzone = \"" << zone
      << "\"\nregion = \"r\"\nslots = 12\n[listen]\ncallers = \""
      << this->At(index, 7000).Format() << "\"\ntargets = \""
      << this->At(index, 7001).Format() << "\"\nnodes = \""
      << this->At(index, 7002).Format() << "\"\noperators = \""
      << this->At(index, 7003).Format()
      << "\"\n[secrets]\nnodes = \"node-secret-of-the-tests\"\n"
      << "operators = \"" << kOperatorSecret << "\"\ntargets = \""
      << kTargetSecret << "\"\n[platform]\naddress = \""
      << this->At(kPlatformIndex, 7900).Format() << "\"\n";
  this->Start(name, {ProgramFolder() + "/pollenringd", "--settings", path});
}

void Cluster::StartTarget(int index, const TargetSpec &spec) {
  this->Start("target" + std::to_string(index),
              {ProgramFolder() + "/pollenring-standin", "target", "--listen",
               this->At(index, 8000).Format(), "--node",
               this->At(index, 7001).Format(), "--secret", kTargetSecret,
               "--service", spec.service, "--slots", std::to_string(spec.slots),
               "--latency-ms", std::to_string(spec.latency_ms), "--calls",
               spec.calls, "--seed", std::to_string(index)});
}

void Cluster::Signal(const std::string &process, int signal) {
  const auto found = this->processes.find(process);
  if (found == this->processes.end()) return;
  kill(found->second, signal);
  if (signal != SIGKILL) return;
  waitpid(found->second, nullptr, 0);
  this->processes.erase(found);
}

std::optional<int> Cluster::AwaitEnd(const std::string &process,
                                     std::chrono::seconds limit) {
  const pid_t pid = this->processes.at(process);
  int status = 0;
  const bool ended =
      this->Await([&] { return waitpid(pid, &status, WNOHANG) == pid; }, limit);
  if (!ended) return std::nullopt;
  this->processes.erase(process);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Cluster::Await(const std::function<bool()> &condition,
                    std::chrono::milliseconds limit) {
  const auto until = this->clock.Now() + limit;
  while (!condition()) {
    if (this->clock.Now() > until) return false;
    this->Run(std::chrono::milliseconds{20});
  }
  return true;
}

void Cluster::Run(std::chrono::milliseconds length) {
  bool over = false;
  this->loop.After(length, [&] {
    over = true;
    this->loop.Stop();
  });
  while (!over) {
    this->loop.Resume();
    this->loop.Run();
  }
}

bool Cluster::AwaitReady(const std::vector<int> &nodes, int targets) {
  return this->Await(
      [&] {
        std::uint64_t version = 0;
        for (const int node : nodes) {
          const Json status = this->Status(node);
          if (!status.is_object()) return false;
          if (status.value("slots_without_holder", 1) != 0) return false;
          // Alone a node has no witness but itself, so nobody to succeed it.
          const bool alone = nodes.size() == 1;
          const auto fragile = status.value("slots_without_witness", 1);
          if (fragile != 0 && !alone) return false;
          const auto own = status.value("config_version", 0ULL);
          if (version != 0 && own != version) return false;
          version = own;
          int seen = 0;
          for (const auto &member : status.at("members")) {
            if (member.value("state", "") != "alive") continue;
            seen += static_cast<int>(member.at("targets").size());
          }
          if (seen != targets) return false;
        }
        return true;
      },
      std::chrono::seconds{40});
}

std::optional<HttpResponse> Cluster::Call(const Address &to,
                                          const HttpRequest &request,
                                          std::chrono::milliseconds timeout) {
  std::optional<HttpResponse> response;
  bool ended = false;
  this->client.Call(to, request, timeout, [&](HttpClient::Reply reply) {
    if (auto *received = std::get_if<HttpResponse>(&reply))
      response = std::move(*received);
    ended = true;
    this->loop.Stop();
  });
  while (!ended) {
    this->loop.Resume();
    this->loop.Run();
  }
  return response;
}

std::optional<HttpResponse> Cluster::Get(int node, const std::string &path,
                                         const std::string &key) {
  return this->Call(this->Callers(node),
                    {"GET", path, {{"pollenring-key", key}}, {}});
}

std::optional<HttpResponse> Cluster::Post(int node, const std::string &path,
                                          const std::string &key,
                                          const std::string &id,
                                          const std::string &body) {
  return this->Call(this->Callers(node),
                    {"POST",
                     path,
                     {{"pollenring-key", key}, {"pollenring-request-id", id}},
                     body});
}

std::optional<HttpResponse> Cluster::Operator(int node,
                                              const std::string &method,
                                              const std::string &path,
                                              const Json &body) {
  const HttpRequest request{
      method,
      path,
      {{"authorization", std::string{"Bearer "} + kOperatorSecret}},
      body.is_null() ? std::string{} : body.dump()};
  return this->Call(this->At(node, 7003), request);
}

Json Cluster::Status(int node) {
  const auto response = this->Operator(node, "GET", "/status");
  if (!response) return nullptr;
  return Json::parse(response->body, nullptr, false);
}

Json Cluster::Report(int target) {
  const auto response =
      this->Call(this->At(target, 8000), {"GET", "/.standin/report", {}, {}});
  if (!response) return Json::object();
  return Json::parse(response->body, nullptr, false);
}

void Cluster::ControlPlatform(const Json &body) {
  const auto response = this->Call(this->At(kPlatformIndex, 7900),
                                   {"POST", "/control", {}, body.dump()});
  static_cast<void>(response);
}

void Cluster::ControlTarget(int target, const Json &body) {
  const auto response = this->Call(
      this->At(target, 8000), {"POST", "/.standin/control", {}, body.dump()});
  static_cast<void>(response);
}

int Cluster::Publish(int node,
                     const std::map<std::string, std::string> &documents) {
  const auto base = this->Status(node).value("config_version", 0ULL);
  const auto response = this->Operator(node, "POST", "/publish",
                                       Json{{"author", "test"},
                                            {"base_version", base},
                                            {"documents", documents}});
  return response ? response->status : 0;
}

std::string Cluster::IssueKey(int node, const std::string &workspace) {
  const std::string key = "prk_" + pollenring::RandomHex(32);
  const auto response =
      this->Operator(node, "POST", "/keys",
                     Json{{"author", "test"},
                          {"digest", pollenring::Sha256Hex(key)},
                          {"workspace", workspace}});
  return response && response->status == 200 ? key : "";
}

int Cluster::WithdrawKey(int node, const std::string &key) {
  const auto response =
      this->Operator(node, "POST", "/keys",
                     Json{{"author", "test"},
                          {"digest", pollenring::Sha256Hex(key)},
                          {"workspace", ""}});
  return response ? response->status : 0;
}

std::map<std::string, std::string> GraphDocuments() {
  const std::vector<pollenring::SourceFile> files{
      {"workspaces.toml",
       "[[workspace]]\nname = \"club\"\nrate = \"200/s\"\nburst = 200\n"
       "[[workspace]]\nname = \"tiny\"\nrate = \"20/s\"\nburst = 10\n"},
      {"front.toml",
       "service = \"front\"\ncallers = [\"public\"]\n[[route]]\nmethod = "
       "\"GET\"\npath = \"/\"\n[[route]]\nmethod = \"GET\"\npath = "
       "\"/about\"\nopen = true\n"},
      {"middle.toml",
       "service = \"middle\"\ncallers = [\"front\"]\n[[route]]\nmethod = "
       "\"GET\"\npath = \"/\"\n"},
      {"back.toml",
       "service = \"back\"\ncallers = [\"middle\", \"public\"]\n[[route]]\n"
       "method = \"GET\"\npath = \"/\"\ndeadline = \"20s\"\n"},
      {"orders.toml",
       "service = \"orders\"\ncallers = [\"public\"]\n[[route]]\nmethod = "
       "\"POST\"\npath = \"/\"\nimportance = \"critical\"\nidempotent = "
       "false\nretries = 0\ndeadline = \"4s\"\n"}};
  pollenring::Diagnostics diagnostics;
  const auto set = pollenring::ReadContracts(files, diagnostics);
  return pollenring::ToDocuments(set);
}

void StartGraph(Cluster &cluster) {
  const char *zones[] = {"a", "b", "c"};
  for (int i = 1; i <= 6; ++i) cluster.StartNode(i, zones[(i - 1) % 3]);
  cluster.StartTarget(1, {"front", 16, 2, "middle:/x"});
  cluster.StartTarget(2, {"front", 16, 2, "middle:/x"});
  cluster.StartTarget(3, {"middle", 16, 2, "back:/x"});
  cluster.StartTarget(4, {"middle", 16, 2, "back:/x"});
  cluster.StartTarget(5, {"back", 16, 2, ""});
  cluster.StartTarget(6, {"orders", 16, 2, ""});
}

}  // namespace support
