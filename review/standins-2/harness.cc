#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {
namespace {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

const SteadyClock::time_point kStart = SteadyClock::now();
constexpr double kHeartbeatMs = 1500;
constexpr double kHeartbeatTimeoutMs = 1000;
constexpr std::size_t kReadBytes = 65536;
/*! @brief A run is over before the 120 s that a script may take. */
constexpr double kMaxRunMs = 110000;
constexpr int kFirstPort = 8540;
constexpr int kLastPort = 9540;
constexpr int kPortsOfNode = 6;

std::mutex pids_mutex;
std::atomic<bool> ending{false};
std::vector<pid_t> pids;
std::string temporary_folder; /*!< Removed at the end. */

[[nodiscard]] sockaddr_in Native(const Endpoint4 &at) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(at.port);
  inet_pton(AF_INET, at.ip.c_str(), &native.sin_addr);
  return native;
}

/*! @brief Whether a port takes a TCP and a UDP socket. */
[[nodiscard]] bool IsFree(const Endpoint4 &at) {
  const sockaddr_in native = Native(at);
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&native),
                            sizeof(native)) == 0;
    close(fd);
    if (!bound) return false;
  }
  return true;
}

/*! @brief First of some free ports in a row. */
[[nodiscard]] std::uint16_t FreePorts(const std::string &ip, int count) {
  for (int first = kFirstPort; first < kLastPort; first += count) {
    bool free = true;
    for (int i = 0; i < count && free; ++i)
      free = IsFree({ip, static_cast<std::uint16_t>(first + i)});
    if (free) return static_cast<std::uint16_t>(first);
  }
  Exit(kExitCannotRun);
}

[[nodiscard]] std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

[[nodiscard]] std::string Word(const std::string &line, std::size_t index) {
  std::istringstream stream{line};
  std::string word;
  for (std::size_t i = 0; i <= index; ++i) {
    word.clear();
    stream >> word;
  }
  return word;
}

[[nodiscard]] std::map<std::string, std::string> ParseQuery(
    const std::string &path) {
  std::map<std::string, std::string> query;
  const auto mark = path.find('?');
  if (mark == std::string::npos) return query;
  std::istringstream stream{path.substr(mark + 1)};
  std::string pair;
  while (std::getline(stream, pair, '&')) {
    const auto equals = pair.find('=');
    if (equals == std::string::npos) continue;
    query[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return query;
}

[[nodiscard]] std::string Base64(const std::string &bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      text += padding ? '=' : kDigits[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return text;
}

[[nodiscard]] const char *Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 412:
      return "Precondition Failed";
    case 421:
      return "Misdirected Request";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

[[nodiscard]] std::string JsonAnswer(int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) +
         "\r\ncontent-type: application/json\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>{SteadyClock::now() - kStart}
      .count();
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(double ms) {
  if (ms <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{ms});
}

Record::Record(const std::string &path) : file{std::fopen(path.c_str(), "w")} {
  if (this->file != nullptr) return;
  std::perror(path.c_str());
  std::_Exit(kExitCannotRun);
}

Record::~Record() { std::fclose(this->file); }

void Record::Line(const std::string &text) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  std::fprintf(this->file, "%9.1f ms  %s\n", NowMs(), text.c_str());
  std::fflush(this->file);
}

std::string MachineIp(int index) {
  // Loopback addresses of their own keep the ports of two runs apart.
  const int net = 64 + static_cast<int>(getpid() % 150);
  const int part = 1 + static_cast<int>(getpid() / 150 % 250);
  return "127." + std::to_string(net) + "." + std::to_string(part) + "." +
         std::to_string(index);
}

std::uint16_t FreePort(const std::string &ip) { return FreePorts(ip, 1); }

int Listen(const Endpoint4 &at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = Native(at);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&native),
                          sizeof(native)) == 0;
  if (bound && listen(fd, 512) == 0) return fd;
  std::fprintf(stderr, "can't listen on %s\n", at.Text().c_str());
  Exit(kExitCannotRun);
}

int Connect(const Endpoint4 &to, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in native = Native(to);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&native),
              sizeof(native)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string Message::Header(std::string_view name) const {
  for (const auto &[key, value] : this->headers) {
    if (key == name) return value;
  }
  return {};
}

int Message::Status() const {
  return std::atoi(Word(this->start_line, 1).c_str());
}

std::string Message::Method() const { return Word(this->start_line, 0); }

std::string Message::Path() const { return Word(this->start_line, 1); }

bool Reader::Fill(double deadline_ms, std::size_t most) {
  const double left = deadline_ms - NowMs();
  if (left <= 0) return false;
  pollfd state{this->fd, POLLIN, 0};
  if (poll(&state, 1, static_cast<int>(left) + 1) <= 0) return false;
  char bytes[kReadBytes];
  const ssize_t size = recv(this->fd, bytes, std::min(most, sizeof(bytes)), 0);
  if (size <= 0) {
    this->ended = true;
    return false;
  }
  this->buffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Reader::Read(double deadline_ms, double bytes_per_s) {
  this->cut = false;
  this->received = 0;
  this->announced = 0;
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (this->Fill(deadline_ms, kReadBytes)) continue;
    this->cut = !this->buffer.empty();
    return std::nullopt;
  }
  Message message;
  std::istringstream head{this->buffer.substr(0, end)};
  this->buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, message.start_line);
  if (!message.start_line.empty()) message.start_line.pop_back();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers.emplace_back(Lower(line.substr(0, colon)), value);
  }
  const std::string length = message.Header("content-length");
  this->announced = static_cast<std::size_t>(std::atoll(length.c_str()));
  const double begun = NowMs();
  while (this->buffer.size() < this->announced) {
    std::size_t most = kReadBytes;
    if (bytes_per_s > 0) {
      const double due = begun + 1000.0 *
                                     static_cast<double>(this->buffer.size()) /
                                     bytes_per_s;
      SleepMs(due - NowMs());
      most = static_cast<std::size_t>(std::max(1024.0, bytes_per_s / 100));
    }
    this->received = this->buffer.size();
    if (this->Fill(deadline_ms, most)) continue;
    this->cut = true;
    return std::nullopt;
  }
  this->received = this->announced;
  message.body = this->buffer.substr(0, this->announced);
  this->buffer.erase(0, this->announced);
  return message;
}

Server::Server(const Endpoint4 &at, Handler handler)
    : listener{Listen(at)}, handler{std::move(handler)} {
  std::thread{[this] {
    while (true) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread{[this, fd] {
        this->handler(fd);
        close(fd);
      }}.detach();
    }
  }}.detach();
}

Store::Store(const Endpoint4 &at, Record &record) : record{record} {
  this->server =
      std::make_unique<Server>(at, [this](int fd) { this->Serve(fd); });
}

void Store::Put(const std::string &table, const std::string &key,
                const std::string &value) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  this->tables[table][{"", key}] = {Base64(value), ++this->version, false};
  this->record.Line("store: operator wrote " + table + "/" + key);
  this->changed.notify_all();
}

void Store::Serve(int fd) {
  Reader reader{fd};
  while (auto request = reader.Read(NowMs() + 120000)) {
    int status = 200;
    const std::string body = this->Handle(*request, status);
    if (!SendAll(fd, JsonAnswer(status, body))) return;
  }
}

std::string Store::Handle(const Message &request, int &status) {
  if (this->busy) {
    status = 503;
    return "{}";
  }
  const std::string path = request.Path();
  const auto query = ParseQuery(path);
  if (path.rfind("/rows-get", 0) == 0) return this->Get(query);
  if (path.rfind("/rows-feed", 0) == 0) return this->Feed(query);
  if (path.rfind("/rows-tx", 0) == 0)
    return this->Transact(request.body, status);
  status = 404;
  return "{}";
}

std::string Store::Get(const std::map<std::string, std::string> &query) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  const auto text = [&query](const char *name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
  };
  Json rows = Json::array();
  for (const auto &[key, row] : this->tables[text("table_name")]) {
    if (row.deleted || key.first != text("part")) continue;
    if (key.second < text("from")) continue;
    if (!text("target").empty() && key.second >= text("target")) continue;
    rows.push_back({{"table_name", text("table_name")},
                    {"part", key.first},
                    {"key", key.second},
                    {"value", row.value},
                    {"row_version", row.version}});
  }
  return Json{{"rows", rows},
              {"has_more", false},
              {"row_version", this->version},
              {"now_ms", static_cast<std::int64_t>(NowMs())}}
      .dump();
}

std::string Store::Feed(const std::map<std::string, std::string> &query) {
  const std::string table = query.at("table_name");
  const auto after =
      static_cast<std::uint64_t>(std::atoll(query.at("after").c_str()));
  const int wait_ms = std::atoi(query.at("wait_ms").c_str());
  std::unique_lock<std::mutex> lock{this->mutex};
  std::map<std::uint64_t, Json> rows;
  const auto collect = [&] {
    for (const auto &[key, row] : this->tables[table]) {
      if (row.version <= after) continue;
      rows[row.version] = {{"table_name", table},
                           {"part", key.first},
                           {"key", key.second},
                           {"value", row.value},
                           {"row_version", row.version}};
      if (row.deleted) rows[row.version]["is_deleted"] = true;
    }
    return !rows.empty();
  };
  this->changed.wait_for(lock, std::chrono::milliseconds{wait_ms}, collect);
  Json listed = Json::array();
  for (const auto &[version, row] : rows) listed.push_back(row);
  return Json{{"rows", listed},
              {"has_more", false},
              {"row_version", this->version},
              {"now_ms", static_cast<std::int64_t>(NowMs())}}
      .dump();
}

std::string Store::Transact(const std::string &body, int &status) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    status = 400;
    return "{}";
  }
  const auto row_of = [this](const Json &item) -> Row & {
    return this->tables[item.at("table_name").get<std::string>()][{
        item.value("part", std::string{}), item.at("key").get<std::string>()}];
  };
  for (const auto &item : json.at("precondition")) {
    const Row &row = row_of(item);
    const std::uint64_t held = row.deleted ? 0 : row.version;
    if (held == item.at("row_version").get<std::uint64_t>()) continue;
    status = 412;
    return Json{{"rows", Json::array()}, {"row_version", this->version}}.dump();
  }
  ++this->version;
  for (const auto &item : json.at("writes")) {
    const auto table = item.at("table_name").get<std::string>();
    if (table == "op" || table == "servers") {
      status = 403;
      return "{}";
    }
    row_of(item) = {item.at("value").get<std::string>(), this->version, false};
  }
  for (const auto &item : json.at("remove")) {
    row_of(item) = {{}, this->version, true};
  }
  this->changed.notify_all();
  return Json{{"row_version", this->version},
              {"now_ms", static_cast<std::int64_t>(NowMs())}}
      .dump();
}

AppEndpoint::AppEndpoint(Options given, Record &record, Work work)
    : options{std::move(given)},
      record{record},
      work{std::move(work)},
      born{WallMs()} {
  this->server = std::make_unique<Server>(this->options.address,
                                          [this](int fd) { this->Serve(fd); });
  std::thread{[this] { this->Beat(); }}.detach();
}

void AppEndpoint::Beat() {
  while (this->beats) {
    const double begun = NowMs();
    if (this->SendBeat(++this->sequence)) ++this->acknowledged;
    const bool early = this->acknowledged == 0;
    SleepMs(begun + (early ? 200 : kHeartbeatMs) - NowMs());
  }
}

bool AppEndpoint::SendBeat(int number) {
  const Json json{
      {"address", this->options.address.Text()},
      {"born", this->born},
      {"info",
       {{"service", this->options.service},
        {"version", "v1"},
        {"zone", this->options.zone},
        {"slots", this->options.slots}}},
      {"status",
       {{"state", "ready"}, {"sequence", number}, {"cold_left_ms", 0}}}};
  return this->Post("/Instances.Heartbeat/" + this->options.instance,
                    json.dump());
}

bool AppEndpoint::Deregister() {
  return this->Post("/Instances.Deregister/" + this->options.instance,
                    Json{{"born", this->born}}.dump());
}

bool AppEndpoint::Post(const std::string &path, const std::string &body) {
  const int fd = Connect(this->options.control);
  if (fd < 0) return false;
  const bool sent =
      SendAll(fd, "POST " + path +
                      " HTTP/1.1\r\nhost: " + this->options.control.Text() +
                      "\r\ncontent-type: application/json\r\ncontent-length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  Reader reader{fd};
  const auto answer =
      sent ? reader.Read(NowMs() + kHeartbeatTimeoutMs) : std::nullopt;
  close(fd);
  return answer && answer->Status() == 200;
}

void AppEndpoint::Serve(int fd) {
  Reader reader{fd};
  while (auto request = reader.Read(NowMs() + 120000)) {
    const std::string id = request->Header("x-pollenring-attempt-id");
    const std::string expected =
        request->Header("x-pollenring-expect-instance");
    if (!expected.empty() && expected != this->options.instance) {
      this->record.Line("endpoint " + this->options.instance + ": 421 to " +
                        id);
      if (!SendAll(fd, this->Answer(*request, 421, ""))) return;
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock{this->mutex};
      ++this->arrivals[id];
    }
    this->record.Line("endpoint " + this->options.instance + ": gets " + id +
                      " " + request->Method() + " " + request->Path());
    if (!this->work(fd, *request)) return;
  }
}

std::string AppEndpoint::Answer(const Message &request, int status,
                                const std::string &body) const {
  const std::string id = request.Header("x-pollenring-attempt-id");
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     Reason(status) + "\r\nx-pollenring-attempt-id: " + id +
                     "\r\ncontent-length: " + std::to_string(body.size()) +
                     "\r\n";
  if (status == 421) {
    text += "x-pollenring-instance-id: " + this->options.instance + "\r\n";
  } else {
    text += "x-pollenring-response-stamp: " + this->options.instance + "." +
            id + "\r\n";
  }
  return text + "\r\n" + body;
}

int AppEndpoint::Arrivals(const std::string &id) {
  const std::lock_guard<std::mutex> lock{this->mutex};
  const auto found = this->arrivals.find(id);
  return found == this->arrivals.end() ? 0 : found->second;
}

Daemon::Daemon(Options given)
    : options{std::move(given)},
      ip{MachineIp(this->options.machine)},
      port{FreePorts(this->ip, kPortsOfNode)} {}

Daemon::~Daemon() {
  if (this->pid > 0) kill(this->pid, SIGKILL);
}

Endpoint4 Daemon::Control() const { return {this->ip, this->port}; }
Endpoint4 Daemon::ReadyAddress() const {
  return {this->ip, static_cast<std::uint16_t>(this->port + 1)};
}
Endpoint4 Daemon::App() const {
  return {this->ip, static_cast<std::uint16_t>(this->port + 2)};
}
Endpoint4 Daemon::Outbound() const {
  return {this->ip, static_cast<std::uint16_t>(this->port + 3)};
}

void Daemon::Start() {
  const std::string name =
      this->options.folder + "/node-" + std::to_string(this->options.machine);
  const std::string settings = name + ".toml";
  // The template of the deploy file, filled in for this machine.
  std::ofstream{settings} << "[node]\nroutes = \"host\"\nzone = \""
                          << this->options.zone
                          << "\"\nregion = \"sk-east\"\nfirst_start = "
                          << (this->options.first_start ? "true" : "false")
                          << "\ngrace_s = 6\n\n[listen]\ncallers = \""
                          << this->Outbound().Text() << "\"\ntargets = \""
                          << this->Control().Text() << "\"\nready = \""
                          << this->ReadyAddress().Text() << "\"\nnodes = \""
                          << this->ip << ":" << this->port + 4
                          << "\"\noperators = \"" << this->ip << ":"
                          << this->port + 5 << "\"\n\n[target]\nservice = \""
                          << this->options.service
                          << "\"\n\n[limits]\nmemory_mb = "
                          << this->options.memory_mb
                          << "\n[secrets]\nnodes = \"deployment-at-"
                          << this->options.store.Text()
                          << "\"\n\n[platform]\naddress = \""
                          << this->options.store.Text() << "\"\n";
  this->options.first_start = false;
  const pid_t started = fork();
  if (started == 0) {
    // It ends with the driver, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("POLLENRING_CONFIG", settings.c_str(), 1);
    const int log =
        open((name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl("target/pollenringd", "target/pollenringd", "--settings",
          settings.c_str(), nullptr);
    std::_Exit(kExitCannotRun);
  }
  this->pid = started;
  const std::lock_guard<std::mutex> lock{pids_mutex};
  pids.push_back(started);
}

void Daemon::Signal(int number) const {
  if (this->pid > 0) kill(this->pid, number);
}

bool Daemon::Running() {
  if (this->pid <= 0) return false;
  if (waitpid(this->pid, nullptr, WNOHANG) == 0) return true;
  const std::lock_guard<std::mutex> lock{pids_mutex};
  pids.erase(std::remove(pids.begin(), pids.end(), this->pid.load()),
             pids.end());
  this->pid = -1;
  return false;
}

bool Daemon::WaitForEnd(double ms) {
  return WaitUntil(ms, [this] { return !this->Running(); });
}

double Daemon::StatusMb(std::string_view field) const {
  std::ifstream file{"/proc/" + std::to_string(this->pid) + "/status"};
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(field, 0) == 0)
      return std::atof(Word(line, 1).c_str()) / 1024;
  }
  return 0;
}

double Daemon::ResidentMb() const { return this->StatusMb("VmRSS:"); }

double Daemon::PeakMb() const { return this->StatusMb("VmHWM:"); }

bool Daemon::Ready() const {
  const int fd = Connect(this->ReadyAddress());
  if (fd < 0) return false;
  Reader reader{fd};
  const bool sent = SendAll(fd, "GET /readiness HTTP/1.1\r\nhost: " +
                                    this->ReadyAddress().Text() + "\r\n\r\n");
  const auto answer = sent ? reader.Read(NowMs() + 1000) : std::nullopt;
  close(fd);
  return answer && answer->Status() == 200;
}

bool WaitUntil(double ms, const std::function<bool()> &holds) {
  const double until = NowMs() + ms;
  while (!holds()) {
    if (NowMs() >= until) return false;
    SleepMs(20);
  }
  return true;
}

std::string RequestText(const std::string &method, const std::string &host,
                        const std::string &path, const std::string &id,
                        int deadline_ms, const std::string &body) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Pollenring-Attempt-Id: " + id +
      "\r\nX-Pollenring-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

bool Ending() { return ending; }

void Exit(int code) {
  ending = true;
  {
    const std::lock_guard<std::mutex> lock{pids_mutex};
    for (const pid_t pid : pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (!temporary_folder.empty())
    std::filesystem::remove_all(temporary_folder, ignored);
  std::_Exit(code);
}

std::string TemporaryFolder() {
  std::string path =
      std::filesystem::temp_directory_path() / "pollenring-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) Exit(kExitCannotRun);
  temporary_folder = path;
  std::thread{[] {
    SleepMs(kMaxRunMs);
    Exit(kExitCannotRun);
  }}.detach();
  return path;
}

bool Trouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

}  // namespace review
