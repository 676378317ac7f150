#include "servers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <tuple>
#include <utility>

namespace review {
namespace {

using Json = nlohmann::json;
using Key = std::tuple<std::string, std::string, std::string>;

/*! @brief Target of a request: path and query parameters. */
struct Target {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
};

Target ParseTarget(const std::string &first) {
  Target target;
  const auto space = first.find(' ');
  const auto end = first.find(' ', space + 1);
  target.method = first.substr(0, space);
  std::string rest = first.substr(space + 1, end - space - 1);
  const auto mark = rest.find('?');
  target.path = rest.substr(0, mark);
  if (mark == std::string::npos) return target;
  rest = rest.substr(mark + 1) + '&';
  std::size_t from = 0;
  for (auto to = rest.find('&'); to != std::string::npos;
       from = to + 1, to = rest.find('&', from)) {
    const std::string part = rest.substr(from, to - from);
    const auto equals = part.find('=');
    if (equals == std::string::npos) continue;
    target.query[part.substr(0, equals)] = part.substr(equals + 1);
  }
  return target;
}

std::string Base64(const std::string &bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const bool present = i + k < bytes.size();
      group = group << 8U |
              (present ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool present = i + k <= bytes.size();
      text += present ? kDigits[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

/*! @brief The platform's store. */
class Store {
 public:
  explicit Store(const std::string &config) {
    this->Put({"op", "", "config"}, Base64(config));
  }

  std::string Handle(const Message &request) {
    const Target target = ParseTarget(request.first);
    const auto field = [&target](const char *name) {
      const auto found = target.query.find(name);
      return found == target.query.end() ? std::string{} : found->second;
    };
    std::unique_lock<std::mutex> lock{this->mutex};
    if (target.path == "/rows-tx") return this->Transact(request.body);
    Json rows = Json::array();
    if (target.path == "/rows-get") {
      const std::string from = field("from");
      const std::string to = field("target");
      for (const auto &[key, row] : this->rows) {
        const auto &[table, part, name] = key;
        if (table != field("table_name") || part != field("part")) continue;
        if (name < from || (!to.empty() && name >= to)) continue;
        rows.push_back(Describe(key, row));
      }
      return this->Reply(200, {{"rows", rows}, {"has_more", false}});
    }
    if (target.path != "/rows-feed") return Response(404, {}, "{}");
    const auto after = std::stoull(field("after"));
    const std::string table = field("table_name");
    const auto collect = [&] {
      rows = Json::array();
      for (const auto &[key, row] : this->rows) {
        if (std::get<0>(key) == table && row.second > after)
          rows.push_back(Describe(key, row));
      }
      return !rows.empty();
    };
    this->changed.wait_for(
        lock, std::chrono::milliseconds{std::stoi(field("wait_ms"))}, collect);
    return this->Reply(200, {{"rows", rows}, {"has_more", false}});
  }

 private:
  using Row = std::pair<std::string, std::uint64_t>;

  static Json Describe(const Key &key, const Row &row) {
    return {{"table_name", std::get<0>(key)}, {"part", std::get<1>(key)},
            {"key", std::get<2>(key)},        {"value", row.first},
            {"row_version", row.second},      {"is_deleted", false}};
  }

  static Key KeyOf(const Json &item) {
    return {item.at("table_name").get<std::string>(),
            item.value("part", std::string{}),
            item.at("key").get<std::string>()};
  }

  void Put(const Key &key, const std::string &value) {
    this->rows[key] = {value, ++this->version};
  }

  std::string Transact(const std::string &body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) return Response(400, {}, "{}");
    for (const auto &item : json.value("precondition", Json::array())) {
      const auto found = this->rows.find(KeyOf(item));
      const std::uint64_t is =
          found == this->rows.end() ? 0 : found->second.second;
      if (is != item.at("row_version").get<std::uint64_t>())
        return this->Reply(412, {{"rows", Json::array()}});
    }
    for (const auto &item : json.value("writes", Json::array()))
      this->Put(KeyOf(item), item.at("value").get<std::string>());
    for (const auto &item : json.value("remove", Json::array()))
      this->rows.erase(KeyOf(item));
    this->changed.notify_all();
    return this->Reply(200, Json::object());
  }

  [[nodiscard]] std::string Reply(int status, Json json) const {
    json["row_version"] = this->version;
    json["now_ms"] = NowMs();
    return Response(status, {"Content-Type: application/json", "Store-Era: 1"},
                    json.dump());
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows;
  std::uint64_t version{};
};

/*! @brief Accepts connections for ever, each with a thread of its own. */
template <typename Serve>
[[noreturn]] void AcceptAll(int listener, Serve serve) {
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      SleepMs(1);
      continue;
    }
    std::thread{[fd, serve] {
      serve(fd);
      close(fd);
    }}.detach();
  }
}

void SendHeartbeats(const ServerOptions &options) {
  const std::int64_t born = UnixMs();
  for (std::uint64_t sequence = 1;; ++sequence) {
    const Json beat{
        {"address", options.at.ip + ":" + std::to_string(options.at.port)},
        {"born", born},
        {"info",
         {{"service", options.service},
          {"version", "v1"},
          {"zone", options.zone},
          {"slots", options.slots}}},
        {"status",
         {{"state", "ready"}, {"sequence", sequence}, {"cold_left_ms", 0}}}};
    const std::string body = beat.dump();
    static_cast<void>(
        Ask(options.control,
            "POST /Instances.Heartbeat/" + options.id +
                " HTTP/1.1\r\nHost: control\r\n"
                "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            1000));
    // A beat each 1.5 s; more often until the node is up.
    SleepMs(sequence < 10 ? 300 : 1500);
  }
}

}  // namespace

void ServeStore(const Endpoint &at, const std::string &config) {
  static Store store{config};
  AcceptAll(Listen(at), [](int fd) {
    Reader reader{fd};
    while (const auto request = reader.Next()) {
      if (!WriteAll(fd, store.Handle(*request))) return;
    }
  });
}

void ServeEndpoint(const ServerOptions &options, const Record &record) {
  static std::atomic<int> running{0};
  const int listener = Listen(options.at);
  std::thread{[&options] { SendHeartbeats(options); }}.detach();
  AcceptAll(listener, [&options, &record](int fd) {
    Reader reader{fd};
    while (const auto request = reader.Next()) {
      const Target target = ParseTarget(request->first);
      const std::string id = request->Header("x-pollenring-attempt-id");
      const std::string echo = "X-Pollenring-Attempt-Id: " + id;
      const std::string expected =
          request->Header("x-pollenring-expect-instance");
      if (!expected.empty() && expected != options.id) {
        WriteAll(
            fd, Response(421, {echo, "X-Pollenring-Instance-Id: " + options.id},
                         {}));
        continue;
      }
      if (running.fetch_add(1) >= options.slots) {
        running.fetch_sub(1);
        WriteAll(fd, Response(503, {echo, "X-Pollenring-Not-Executed: 1"}, {}));
        continue;
      }
      record.Line("endpoint " + options.id + " runs " + id + " " +
                  request->first);
      SleepMs(options.work_ms);
      const auto bytes = target.query.find("bytes");
      const std::string body(
          bytes == target.query.end() ? 16 : std::stoul(bytes->second), 'p');
      running.fetch_sub(1);
      const bool sent = WriteAll(
          fd,
          Response(200, {echo, "X-Pollenring-Response-Stamp: s." + id}, body));
      record.Line("endpoint " + options.id +
                  (sent ? " answered " : " could not answer ") + id + " with " +
                  std::to_string(body.size()) + " bytes");
      if (!sent) return;
    }
  });
}

}  // namespace review
