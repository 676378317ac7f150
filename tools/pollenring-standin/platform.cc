#include "platform.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace standin {
namespace {

using Json = nlohmann::json;
using pollenring::HttpRequest;
using pollenring::HttpResponse;
using pollenring::Row;
using pollenring::Table;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::string_view kObjectPrefix = "/objects/";

[[nodiscard]] HttpResponse JsonResponse(int status, const Json &json) {
  return {status, {{"content-type", "application/json"}}, json.dump()};
}

[[nodiscard]] bool IsWrite(const HttpRequest &request) {
  return request.path == "/table/write" || request.method == "PUT";
}

}  // namespace

void Platform::Handle(const HttpRequest &request,
                      std::shared_ptr<pollenring::Responder> responder) {
  if (request.path == "/control") {
    this->Control(request.body);
    responder->Send(JsonResponse(kOk, Json{{"reads", this->table.Reads()},
                                           {"writes", this->table.Writes()}}));
    return;
  }
  if (this->down) {
    responder->Send(JsonResponse(kUnavailable, Json{{"error", "down"}}));
    return;
  }
  HttpResponse response = this->Perform(request);
  // The write takes effect but its response is dropped: the caller times out.
  if (this->drop_responses && IsWrite(request)) {
    this->loop.After(std::chrono::seconds{30}, [responder] {});
    return;
  }
  if (this->delay == pollenring::Duration{0}) {
    responder->Send(std::move(response));
    return;
  }
  this->loop.After(this->delay, [responder, response = std::move(response)] {
    responder->Send(response);
  });
}

void Platform::Control(const std::string &body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  this->down = json.value("down", this->down);
  this->drop_responses = json.value("lose_answers", this->drop_responses);
  const auto slow_ms = json.value("slow_ms", this->delay.count() / 1000);
  this->delay = std::chrono::milliseconds{slow_ms};
}

HttpResponse Platform::Perform(const HttpRequest &request) {
  const bool is_object_request =
      request.path.compare(0, kObjectPrefix.size(), kObjectPrefix) == 0;
  try {
    if (is_object_request) return this->Object(request);
    if (request.path == "/table/write") return this->Write(request.body);
    return this->Read(request);
  } catch (const Json::exception &error) {
    return JsonResponse(kBadRequest, Json{{"error", error.what()}});
  }
}

HttpResponse Platform::Write(const std::string &body) {
  const Json json = Json::parse(body);
  std::vector<pollenring::RowCondition> conditions;
  std::vector<pollenring::RowPut> puts;
  for (const auto &item : json.at("if")) {
    conditions.push_back({item.at("key").get<std::string>(),
                          item.at("version").get<std::uint64_t>()});
  }
  for (const auto &item : json.at("put")) {
    puts.push_back({item.at("key").get<std::string>(),
                    item.at("value").get<std::string>()});
  }
  HttpResponse response;
  this->table.Write(conditions, puts, [&response](Table::Written written) {
    const auto result = std::get<pollenring::WriteResult>(written);
    const bool done = result == pollenring::WriteResult::kWritten;
    response = JsonResponse(done ? kOk : kConflict, Json{{"written", done}});
  });
  return response;
}

HttpResponse Platform::Read(const HttpRequest &request) {
  const Json json = Json::parse(request.body);
  Json rows = Json::array();
  const auto collect = [&rows](Table::Rows result) {
    for (const auto &row : std::get<std::vector<Row>>(result)) {
      rows.push_back(
          {{"key", row.key}, {"version", row.version}, {"value", row.value}});
    }
  };
  if (request.path == "/table/list") {
    this->table.List(json.at("prefix").get<std::string>(), collect);
  } else {
    this->table.Read(json.at("keys").get<std::vector<std::string>>(), collect);
  }
  return JsonResponse(kOk, rows);
}

HttpResponse Platform::Object(const HttpRequest &request) {
  const std::string name = request.path.substr(kObjectPrefix.size());
  HttpResponse response;
  if (request.method == "PUT") {
    this->objects.Put(name, request.body,
                      [&response](pollenring::ObjectStore::Stored) {
                        response = JsonResponse(kOk, Json{{"stored", true}});
                      });
    return response;
  }
  this->objects.Get(name, [&response](pollenring::ObjectStore::Object object) {
    if (auto *content = std::get_if<std::string>(&object)) {
      response = {kOk, {}, std::move(*content)};
      return;
    }
    response = JsonResponse(kNotFound, Json{{"error", "no such object"}});
  });
  return response;
}

}  // namespace standin
