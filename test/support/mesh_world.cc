#include "support/mesh_world.h"

#include <openssl/evp.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

namespace support {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using pollenring::Address;
using pollenring::HttpRequest;
using pollenring::HttpResponse;

[[nodiscard]] std::string Base64(const std::string &bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  text.resize(static_cast<std::size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                      reinterpret_cast<const unsigned char *>(bytes.data()),
                      static_cast<int>(bytes.size()))));
  return text;
}

/*! @brief A field of the path's query; keys here need no escapes. */
[[nodiscard]] std::string Query(const std::string &path,
                                const std::string &name) {
  const auto at = path.find(name + '=');
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 1;
  return path.substr(begin, path.find('&', begin) - begin);
}

}  // namespace

FakeStore::FakeStore(pollenring::Loop &loop, const Address &address)
    : loop{loop},
      server{loop, address, pollenring::HttpServerLimits{},
             [this](const HttpRequest &request,
                    const std::shared_ptr<pollenring::Responder> &responder) {
               this->Handle(request, responder);
             }} {
  this->server.Open();
}

void FakeStore::PutConfig(const std::string &json) {
  this->rows[{"op", "config"}] = {++this->version, Base64(json)};
  this->Notify();
}

void FakeStore::Put(const std::string &key, const std::string &value) {
  this->rows[{"pollenring", key}] = {++this->version, Base64(value)};
  this->Notify();
}

bool FakeStore::Has(const std::string &prefix) const {
  return std::any_of(this->rows.begin(), this->rows.end(),
                     [&prefix](const auto &entry) {
                       return entry.first.first == "pollenring" &&
                              entry.first.second.rfind(prefix, 0) == 0;
                     });
}

void FakeStore::Withdraw(const std::string &zone, bool withdrawn) {
  this->rows[{"op", "evacuate/" + zone}] = {++this->version, Base64("{}"),
                                            !withdrawn};
  this->Notify();
}

void FakeStore::TakeCopy() {
  this->copy = this->rows;
  this->copy_version = this->version;
}

void FakeStore::ReturnFromCopy() {
  const auto lost = std::exchange(this->rows, this->copy);
  this->version = this->copy_version;
  ++this->era;
  for (const auto &[key, row] : lost) {
    const auto kept = this->rows.find(key);
    const bool known =
        kept != this->rows.end() && kept->second.version == row.version;
    if (key.first != "op" || known) continue;
    this->rows[key] = {++this->version, row.value, row.deleted};
  }
  this->Notify();
}

void FakeStore::Send(pollenring::Responder &responder, int status,
                     std::string body) const {
  responder.Send(
      {status, {{"store-era", std::to_string(this->era)}}, std::move(body)});
}

void FakeStore::Handle(
    const HttpRequest &request,
    const std::shared_ptr<pollenring::Responder> &responder) {
  const auto serve = [=] { this->Serve(request, responder); };
  if (this->delay <= pollenring::Duration{0}) return serve();
  this->loop.After(this->delay, serve);
}

void FakeStore::Serve(const HttpRequest &request,
                      const std::shared_ptr<pollenring::Responder> &responder) {
  if (this->down) {
    responder->Send({503, {}, {}});
    return;
  }
  if (this->fixed_response) {
    responder->Send({200, {}, *this->fixed_response});
    return;
  }
  if (request.path.rfind("/rows-get", 0) == 0) this->Get(request, *responder);
  if (request.path == "/rows-tx") this->Transact(request, *responder);
  if (request.path.rfind("/rows-feed", 0) == 0) this->Feed(request, responder);
}

std::string FakeStore::Rows(const std::string &table, std::uint64_t after,
                            const std::string &from,
                            const std::string &to) const {
  Json found = Json::array();
  for (const auto &[key, row] : this->rows) {
    const bool inside = key.first == table && row.version > after &&
                        key.second >= from && (to.empty() || key.second < to);
    // Only a feed tells of rows that are gone.
    if (!inside || (row.deleted && after == 0)) continue;
    Json item{{"table_name", key.first},
              {"part", ""},
              {"key", key.second},
              {"row_version", row.version}};
    if (row.deleted) item["is_deleted"] = true;
    if (!row.deleted) item["value"] = row.value;
    found.push_back(std::move(item));
  }
  if (after > 0 && found.empty()) return {};
  return Json{{"rows", found},
              {"has_more", false},
              {"row_version", this->version},
              {"now_ms", 1}}
      .dump();
}

void FakeStore::Get(const HttpRequest &request,
                    pollenring::Responder &responder) const {
  const std::string &path = request.path;
  this->Send(responder, 200,
             this->Rows(Query(path, "table_name"), 0, Query(path, "from"),
                        Query(path, "target")));
}

void FakeStore::Transact(const HttpRequest &request,
                         pollenring::Responder &responder) {
  const Json body = Json::parse(request.body);
  for (const auto &item : body["precondition"]) {
    const auto found = this->rows.find({item["table_name"], item["key"]});
    const std::uint64_t current =
        found == this->rows.end() ? 0 : found->second.version;
    if (current != item["row_version"].get<std::uint64_t>()) {
      this->Send(responder, 412, "{}");
      return;
    }
  }
  ++this->version;
  for (const auto &item : body["writes"]) {
    this->rows[{item["table_name"], item["key"]}] = {this->version,
                                                     item["value"]};
  }
  this->Send(responder, 200, "{}");
  this->Notify();
}

void FakeStore::Feed(const HttpRequest &request,
                     const std::shared_ptr<pollenring::Responder> &responder) {
  const std::uint64_t after = std::stoull(Query(request.path, "after"));
  if (after < this->oldest || after > this->version) {
    this->Send(*responder, 410, {});
    return;
  }
  this->watches.push_back(
      {Query(request.path, "table_name"), after, responder, responder});
  const pollenring::Duration wait =
      std::chrono::milliseconds{std::stoll(Query(request.path, "wait_ms"))};
  this->loop.After(wait, [this, weak = std::weak_ptr{responder}] {
    const auto held = weak.lock();
    if (!held || this->watches_unresponsive) return;
    this->Send(
        *held, 200,
        R"({"rows":[],"row_version":)" + std::to_string(this->version) + "}");
  });
  this->Notify();
}

void FakeStore::Notify() {
  if (this->watches_unresponsive) return;
  std::vector<Watch> kept;
  for (auto &watch : this->watches) {
    const std::string found = this->Rows(watch.table, watch.after, {}, {});
    if (found.empty()) {
      kept.push_back(std::move(watch));
      continue;
    }
    this->Send(*watch.held, 200, found);
  }
  this->watches = std::move(kept);
}

MeshWorld::MeshWorld(int net) : net{net} {
  // As the daemon does: a write to a closed connection is an error, no end.
  std::signal(SIGPIPE, SIG_IGN);
  this->store = std::make_unique<FakeStore>(this->loop, this->At(250, 7900));
}

Address MeshWorld::At(int index, int port) const {
  return *Address::Parse("127.41." + std::to_string(this->net) + "." +
                         std::to_string(index) + ":" + std::to_string(port));
}

int MeshWorld::Start(const std::string &service, Endpoint endpoint,
                     const std::string &region, const std::vector<int> &seeds) {
  const int index = static_cast<int>(this->nodes.size()) + 1;
  auto member = std::make_unique<Member>();
  member->service = service;
  pollenring::Settings &settings = member->settings;
  settings.routes = pollenring::RouteForm::kHost;
  settings.zone = "z" + std::to_string(index % 2);
  settings.region = region;
  settings.callers = this->At(index, 7000);
  settings.targets = this->At(index, 7001);
  settings.nodes = this->At(index, 7002);
  settings.operators = this->At(index, 7003);
  settings.ready = this->At(index, 7004);
  settings.platform = this->At(250, 7900);
  settings.node_secret = kSecret;
  settings.target_service = service;
  settings.first_start = true;
  settings.grace = this->grace;
  for (const int seed : seeds) settings.seeds.push_back(this->At(seed, 7002));
  member->target = std::make_unique<pollenring::HttpServer>(
      this->loop, this->At(index, 8000), pollenring::HttpServerLimits{},
      [this, endpoint = std::move(endpoint)](
          const HttpRequest &request,
          const std::shared_ptr<pollenring::Responder> &responder) {
        HttpResponse response = endpoint(request);
        if (this->response_delay <= pollenring::Duration{0}) {
          responder->Send(std::move(response));
          return;
        }
        this->loop.After(this->response_delay,
                         [responder, response = std::move(response)]() mutable {
                           responder->Send(std::move(response));
                         });
      });
  member->target->Open();
  member->client = std::make_unique<pollenring::HttpClient>(
      this->loop, pollenring::HttpClientLimits{std::size_t{1} << 24U});
  member->store_client = std::make_unique<pollenring::StoreClient>(
      *member->client, settings.platform, member->store_timeout, this->clock);
  member->store =
      std::make_unique<pollenring::platform::Store>(*member->store_client);
  member->node = std::make_unique<pollenring::MeshNode>(
      settings,
      pollenring::MeshParts{this->loop, *member->client, *member->store,
                            *member->store, this->policies, this->callers,
                            this->targets, this->heartbeats, this->random,
                            nullptr, &member->store_timeout});
  this->nodes.push_back(std::move(member));
  return index;
}

int MeshWorld::Beat(int index, const std::string &state,
                    std::chrono::milliseconds cold_left, int started_at_ms) {
  Member &member = *this->nodes.at(static_cast<std::size_t>(index - 1));
  const Json body{{"address", this->At(index, 8000).Format()},
                  {"born", started_at_ms},
                  {"info", {{"service", member.service}, {"slots", 4}}},
                  {"status",
                   {{"state", state},
                    {"sequence", ++member.sequence},
                    {"cold_left_ms", cold_left.count()}}}};
  const auto response = this->Request(
      this->At(index, 7001), {"POST",
                              "/Instances.Heartbeat/" + member.Instance(index),
                              {},
                              body.dump(),
                              {}});
  return response ? response->status : 0;
}

int MeshWorld::Deregister(int index) {
  const auto response = this->Request(
      this->At(index, 7001),
      {"POST", "/Instances.Deregister/i-" + std::to_string(index), {}, {}, {}});
  return response ? response->status : 0;
}

void MeshWorld::RenewInstance(int index) {
  Member &member = *this->nodes.at(static_cast<std::size_t>(index - 1));
  ++member.renewals;
  member.sequence = 0;
}

void MeshWorld::StopTarget(int index) {
  this->nodes.at(static_cast<std::size_t>(index - 1))->target->Close();
}

HttpResponse MeshWorld::Call(int index, const std::string &method,
                             const std::string &path,
                             pollenring::HttpHeaders headers,
                             const std::string &host) {
  const auto response = this->Request(
      this->At(index, 7000), {method, path, std::move(headers), {}, host});
  return response.value_or(HttpResponse{});
}

void MeshWorld::BeginCall(int index, const std::string &path,
                          pollenring::HttpHeaders headers,
                          std::function<void(HttpResponse)> done) {
  this->client.Call(
      this->At(index, 7000), {"GET", path, std::move(headers), {}, "a.example"},
      3s, [done = std::move(done)](pollenring::HttpClient::Reply reply) {
        auto *received = std::get_if<HttpResponse>(&reply);
        done(received == nullptr ? HttpResponse{} : std::move(*received));
      });
}

std::optional<pollenring::CallReply> MeshWorld::CallNode(
    int index, const pollenring::CallEnvelope &envelope,
    pollenring::WireVersion version) {
  std::optional<pollenring::CallReply> reply;
  bool done = false;
  this->link.Call(
      this->At(index, 7002), "call", pollenring::Frame(envelope, {}, version),
      3s, [&](pollenring::LinkClient::Reply given) {
        if (auto *text = std::get_if<std::string>(&given)) {
          auto framed =
              pollenring::Unframe<pollenring::CallReply>(std::move(*text));
          const bool same_version = framed && framed->version == version;
          if (same_version) reply = std::move(framed->head);
        }
        done = true;
      });
  static_cast<void>(this->Await([&done] { return done; }, 4s));
  return reply;
}

int MeshWorld::Ready(int index) {
  const auto response =
      this->Request(this->At(index, 7004), {"GET", "/readiness", {}, {}, {}});
  return response ? response->status : 0;
}

std::string MeshWorld::GetOperatorPage(int index, const std::string &path) {
  const auto response =
      this->Request(this->At(index, 7003), {"GET", path, {}, {}, {}});
  return response ? response->body : std::string{};
}

int MeshWorld::PostToOperator(int index, const std::string &path) {
  const auto response =
      this->Request(this->At(index, 7003), {"POST", path, {}, {}, {}});
  return response ? response->status : 0;
}

std::optional<HttpResponse> MeshWorld::Request(const Address &to,
                                               const HttpRequest &request) {
  std::optional<HttpResponse> response;
  bool done = false;
  this->client.Call(to, request, 3s, [&](pollenring::HttpClient::Reply reply) {
    if (auto *received = std::get_if<HttpResponse>(&reply)) {
      response = std::move(*received);
    }
    done = true;
  });
  static_cast<void>(this->Await([&done] { return done; }, 4s));
  return response;
}

bool MeshWorld::Await(const std::function<bool()> &condition,
                      pollenring::Duration limit) {
  const pollenring::Time until = this->clock.Now() + limit;
  while (!condition()) {
    if (this->clock.Now() >= until) return false;
    this->Run(2ms);
  }
  return true;
}

void MeshWorld::Run(pollenring::Duration length) {
  this->loop.After(length, [this] { this->loop.Stop(); });
  this->loop.Resume();
  this->loop.Run();
}

}  // namespace support
