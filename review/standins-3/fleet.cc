#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 412;
constexpr int kUnknownCall = 404;
constexpr int kUnavailable = 503;
constexpr Millis kCallTimeout{1000};

constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string &bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool pad = i + j > bytes.size();
      text += pad ? '=' : kAlphabet[(group >> (18 - 6 * j)) & 63U];
    }
  }
  return text;
}

std::map<std::string, std::string> ParseQuery(const std::string &path) {
  std::map<std::string, std::string> query;
  std::size_t at = path.find('?');
  while (at != std::string::npos) {
    const std::size_t end = path.find('&', at + 1);
    const std::string item = path.substr(at + 1, end - at - 1);
    const std::size_t equals = item.find('=');
    query[item.substr(0, equals)] = item.substr(equals + 1);
    at = end;
  }
  return query;
}

Message JsonMessage(int status, const Json &json) {
  Message message;
  message.status = status;
  message.headers["content-type"] = "application/json";
  message.body = json.dump();
  return message;
}

}  // namespace

Record::Record(const std::string &path)
    : started{std::chrono::steady_clock::now()}, out{path} {}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            this->started)
      .count();
}

void Record::Line(const std::string &text) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ",
                static_cast<double>(this->Now()) / 1000);
  this->out << time << text << std::endl;
}

Store::Store(const Endpoint &at, Record &record) : record{record} {
  new Server{at, AnswerEach([this](const Message &request) {
               return this->Handle(request);
             })};
}

void Store::PutConfig(const std::string &json) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  this->rows[{"op", "config"}] = {ToBase64(json), ++this->last_version};
  this->changed.notify_all();
}

void Store::SetDown(bool given) {
  this->down = given;
  this->changed.notify_all();
}

Message Store::Handle(const Message &request) {
  if (this->down) return JsonMessage(kUnavailable, Json{{"error", "down"}});
  const std::string call = request.path.substr(0, request.path.find('?'));
  if (call == "/rows-tx") return this->Write(request.body);
  if (call == "/rows-get") return this->Rows(ParseQuery(request.path), false);
  if (call == "/rows-feed") return this->Rows(ParseQuery(request.path), true);
  return JsonMessage(kUnknownCall, Json{{"error", "unknown call"}});
}

Message Store::Write(const std::string &body) {
  const Json json = Json::parse(body);
  const std::lock_guard<std::mutex> lock{this->mutex};
  const auto key_of = [](const Json &item) {
    return Key{item.at("table_name").get<std::string>(),
               item.at("key").get<std::string>()};
  };
  for (const auto &item : json.value("precondition", Json::array())) {
    const auto found = this->rows.find(key_of(item));
    const std::uint64_t version =
        found == this->rows.end() ? 0 : found->second.version;
    if (version != item.at("row_version").get<std::uint64_t>())
      return JsonMessage(kConflict, Json{{"rows", Json::array()}});
  }
  const std::uint64_t version = ++this->last_version;
  for (const auto &item : json.value("writes", Json::array())) {
    const Key key = key_of(item);
    this->rows[key] = {item.at("value").get<std::string>(), version};
    this->record.Line("store: row written " + key.first + " " + key.second);
  }
  for (const auto &item : json.value("remove", Json::array()))
    this->rows.erase(key_of(item));
  this->changed.notify_all();
  return JsonMessage(kOk, Json{{"row_version", version}, {"now_ms", UnixMs()}});
}

Message Store::Rows(const std::map<std::string, std::string> &query,
                    bool feed) {
  const auto value = [&query](const char *name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
  };
  const std::string table = value("table_name");
  const std::string from = value("from");
  const std::string to = value("target");
  const std::uint64_t after = feed ? std::stoull(value("after")) : 0;
  const auto collect = [&] {
    Json found = Json::array();
    for (const auto &[key, row] : this->rows) {
      if (key.first != table || row.version <= after) continue;
      if (!feed && (key.second < from || (!to.empty() && key.second >= to)))
        continue;
      found.push_back({{"table_name", table},
                       {"part", ""},
                       {"key", key.second},
                       {"value", row.value},
                       {"row_version", row.version}});
    }
    return found;
  };
  std::unique_lock<std::mutex> lock{this->mutex};
  Json found = collect();
  if (feed) {
    const auto until =
        std::chrono::steady_clock::now() + Millis{std::stoll(value("wait_ms"))};
    while (found.empty() && !this->down &&
           this->changed.wait_until(lock, until) != std::cv_status::timeout) {
      found = collect();
    }
  }
  if (this->down) return JsonMessage(kUnavailable, Json{{"error", "down"}});
  return JsonMessage(kOk, Json{{"rows", found},
                               {"has_more", false},
                               {"row_version", this->last_version},
                               {"now_ms", UnixMs()}});
}

Daemon::Daemon(Machine machine, Endpoint store, std::string folder,
               int memory_mb, Record &record)
    : machine{std::move(machine)},
      store{std::move(store)},
      folder{std::move(folder)},
      memory_mb{memory_mb},
      record{record} {}

Daemon::~Daemon() { this->Kill(); }

void Daemon::Start(bool first_start) {
  const std::string path = this->folder + "/" + this->machine.name + ".toml";
  const std::string &ip = this->machine.ip;
  std::ofstream{path} << "[node]\nroutes = \"host\"\nzone = \""
                      << this->machine.zone
                      << "\"\nregion = \"midlands\"\nfirst_start = "
                      << (first_start ? "true" : "false")
                      << "\ngrace_s = 6\n\n[listen]\ncallers = \"" << ip
                      << ":8548\"\ntargets = \"" << ip << ":8540\"\nready = \""
                      << ip << ":8546\"\nnodes = \"" << ip
                      << ":7000\"\noperators = \"" << ip
                      << ":7003\"\n\n[target]\nservice = \""
                      << this->machine.service
                      << "\"\n\n[limits]\nmemory_mb = " << this->memory_mb
                      << "\n[secrets]\nnodes = \"deployment-at-"
                      << this->store.Format()
                      << "\"\n\n[platform]\naddress = \""
                      << this->store.Format() << "\"\n";
  const std::string log = this->folder + "/" + this->machine.name + ".log";
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("POLLENRING_CONFIG", path.c_str(), 1);
    execl("target/pollenringd", "target/pollenringd", "--settings",
          path.c_str(), nullptr);
    _exit(127);
  }
  this->pid = child;
  this->record.Line("platform: " + this->machine.name + " started");
}

void Daemon::Kill() {
  const pid_t ended = this->pid.exchange(0);
  if (ended <= 0) return;
  kill(ended, SIGKILL);
  waitpid(ended, nullptr, 0);
  this->record.Line("platform: " + this->machine.name + " killed");
}

std::size_t Daemon::Resident() const {
  const pid_t process = this->pid;
  if (process <= 0) return 0;
  std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
  std::string word;
  while (status >> word) {
    if (word != "RssAnon:") continue;
    std::size_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes * 1024;
  }
  return 0;
}

bool Daemon::WaitReady(Millis timeout) const {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < until) {
    const Message request{"GET", "/readiness", 0, {}, {}};
    const Message answer =
        Call(this->machine.Ready(), request, "ready", kCallTimeout);
    if (answer.status == kOk) return true;
    Pause(50);
  }
  return false;
}

std::string FindFreeNet() {
  for (int i = 0; i < 200; ++i) {
    const int number = (getpid() * 7 + i) % 50000;
    const std::string net = "127." + std::to_string(20 + number / 250) + "." +
                            std::to_string(1 + number % 250) + ".";
    bool free = true;
    for (int host = 1; host <= 8; ++host) {
      for (const int port : {7000, 7003, 8540, 8545, 8546, 8547, 8548})
        free = free && IsFree({net + std::to_string(host), port});
    }
    if (free) return net;
  }
  throw std::runtime_error{"no free loopback addresses"};
}

std::string MakeFolder() {
  const char *base = std::getenv("TMPDIR");
  std::string path = std::string{base == nullptr ? "/tmp" : base} +
                     "/pollenring-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr)
    throw std::runtime_error{"no temporary folder"};
  return path;
}

int Heartbeat(const Machine &to, const std::string &id, std::int64_t born,
              const std::string &state, std::uint64_t sequence, int slots) {
  const Json json{
      {"address", to.App().Format()},
      {"born", born},
      {"info",
       {{"service", to.service},
        {"version", "v1"},
        {"zone", to.zone},
        {"slots", slots}}},
      {"status",
       {{"state", state}, {"sequence", sequence}, {"cold_left_ms", 0}}}};
  Message request{"POST", "/Instances.Heartbeat/" + id, 0, {}, json.dump()};
  request.headers["content-type"] = "application/json";
  return Call(to.Control(), request, to.Control().Format(), kCallTimeout)
      .status;
}

int Deregister(const Machine &to, const std::string &id, std::int64_t born) {
  Message request{"POST",
                  "/Instances.Deregister/" + id,
                  0,
                  {},
                  Json{{"born", born}}.dump()};
  request.headers["content-type"] = "application/json";
  return Call(to.Control(), request, to.Control().Format(), kCallTimeout)
      .status;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Pause(int ms) {
  if (ms > 0) std::this_thread::sleep_for(Millis{ms});
}

void Finish(const std::string &rule, int result) {
  const std::string verdict = result == 1   ? " broken"
                              : result == 0 ? " held"
                                            : " not judged";
  std::cout << rule << verdict << '\n' << std::flush;
  std::_Exit(result);
}

int Run(int argc, char **argv,
        const std::function<void(const std::string &, bool)> &play) {
  const char *trouble = std::getenv("TROUBLE");
  try {
    play(argc > 1 ? argv[1] : "record.txt",
         trouble == nullptr || std::string{trouble} != "0");
  } catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
  }
  std::_Exit(2);
}

}  // namespace review
