#include "pollenring/storage/http_storage.h"

#include <nlohmann/json.hpp>

namespace pollenring {
namespace {

using Json = nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::milliseconds{800};
constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;

[[nodiscard]] HttpRequest Post(const std::string &path, std::string body) {
  return {
      "POST", path, {{"content-type", "application/json"}}, std::move(body)};
}

[[nodiscard]] Table::Rows ParseRows(const std::string &body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_array()) return StorageError::kUnavailable;
  std::vector<Row> rows;
  for (const auto &item : json) {
    rows.push_back({item.value("key", ""), item.value("version", 0ULL),
                    item.value("value", "")});
  }
  return rows;
}

[[nodiscard]] StorageError WriteErrorOf(CallError error) noexcept {
  return WasNotSent(error) ? StorageError::kUnavailable
                           : StorageError::kUnknown;
}

}  // namespace

void HttpTable::FetchRows(const std::string &path, std::string body,
                          std::function<void(Rows)> done) {
  this->client.Call(
      this->address, Post(path, std::move(body)), kCallTimeout,
      [done = std::move(done)](HttpClient::Reply reply) {
        const auto *response = std::get_if<HttpResponse>(&reply);
        if (response == nullptr || response->status != kOkStatus) {
          done(StorageError::kUnavailable);
          return;
        }
        done(ParseRows(response->body));
      });
}

void HttpTable::Read(const std::vector<std::string> &keys,
                     std::function<void(Rows)> done) {
  this->FetchRows("/table/read", Json{{"keys", keys}}.dump(), std::move(done));
}

void HttpTable::List(const std::string &prefix,
                     std::function<void(Rows)> done) {
  this->FetchRows("/table/list", Json{{"prefix", prefix}}.dump(),
                  std::move(done));
}

void HttpTable::Write(const std::vector<RowCondition> &conditions,
                      const std::vector<RowPut> &puts,
                      std::function<void(Written)> done) {
  Json body{{"if", Json::array()}, {"put", Json::array()}};
  for (const auto &condition : conditions) {
    body["if"].push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  for (const auto &put : puts) {
    body["put"].push_back({{"key", put.key}, {"value", put.value}});
  }
  this->client.Call(this->address, Post("/table/write", body.dump()),
                    kCallTimeout,
                    [done = std::move(done)](HttpClient::Reply reply) {
                      const auto *response = std::get_if<HttpResponse>(&reply);
                      if (response == nullptr) {
                        done(WriteErrorOf(std::get<CallError>(reply)));
                        return;
                      }
                      if (response->status == kOkStatus) {
                        done(WriteResult::kWritten);
                        return;
                      }
                      if (response->status == kConflictStatus) {
                        done(WriteResult::kConflict);
                        return;
                      }
                      done(StorageError::kUnavailable);
                    });
}

void HttpObjectStore::Put(const std::string &name, std::string content,
                          std::function<void(Stored)> done) {
  const HttpRequest request{"PUT", "/objects/" + name, {}, std::move(content)};
  this->client.Call(this->address, request, kCallTimeout,
                    [done = std::move(done)](HttpClient::Reply reply) {
                      const auto *response = std::get_if<HttpResponse>(&reply);
                      if (response == nullptr) {
                        done(WriteErrorOf(std::get<CallError>(reply)));
                        return;
                      }
                      if (response->status == kOkStatus) {
                        done(std::monostate{});
                        return;
                      }
                      done(StorageError::kUnavailable);
                    });
}

void HttpObjectStore::Get(const std::string &name,
                          std::function<void(Object)> done) {
  const HttpRequest request{"GET", "/objects/" + name, {}, {}};
  this->client.Call(this->address, request, kCallTimeout,
                    [done = std::move(done)](HttpClient::Reply reply) {
                      auto *response = std::get_if<HttpResponse>(&reply);
                      if (response == nullptr) {
                        done(StorageError::kUnavailable);
                        return;
                      }
                      if (response->status == kOkStatus) {
                        done(std::move(response->body));
                        return;
                      }
                      done(response->status == kNotFoundStatus
                               ? StorageError::kNotFound
                               : StorageError::kUnavailable);
                    });
}

}  // namespace pollenring
