#include "pollenring/config/change.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenring {
namespace {

using Json = nlohmann::json;

[[nodiscard]] bool HasPrefix(const std::string &name,
                             const std::vector<std::string> &prefixes) {
  return std::any_of(prefixes.begin(), prefixes.end(), [&](const auto &prefix) {
    return name.compare(0, prefix.size(), prefix) == 0;
  });
}

}  // namespace

std::string ConfigChange::ToJson() const {
  Json list = Json::array();
  for (const auto &document : this->documents) {
    list.push_back({{"name", document.name},
                    {"before", document.before},
                    {"after", document.after}});
  }
  const Json json{{"version", this->version},
                  {"nonce", this->nonce},
                  {"author", this->author},
                  {"wall_ms", this->wall_ms},
                  {"documents", std::move(list)}};
  return json.dump();
}

std::optional<ConfigChange> ConfigChange::FromJson(const std::string &text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    ConfigChange change;
    change.version = json.at("version").get<std::uint64_t>();
    change.nonce = json.at("nonce").get<std::string>();
    change.author = json.at("author").get<std::string>();
    change.wall_ms = json.at("wall_ms").get<std::int64_t>();
    for (const auto &item : json.at("documents")) {
      change.documents.push_back({item.at("name").get<std::string>(),
                                  item.at("before").get<std::string>(),
                                  item.at("after").get<std::string>()});
    }
    return change;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string ConfigSnapshot::ToJson() const {
  return Json{{"version", this->version}, {"documents", this->documents}}
      .dump();
}

std::optional<ConfigSnapshot> ConfigSnapshot::FromJson(
    const std::string &text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    return ConfigSnapshot{json.at("version").get<std::uint64_t>(),
                          json.at("documents").get<Documents>()};
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::vector<DocumentChange> DiffDocuments(
    const Documents &before, const Documents &after,
    const std::vector<std::string> &prefixes) {
  std::vector<DocumentChange> changes;
  for (const auto &[name, text] : before) {
    if (after.count(name) > 0 || !HasPrefix(name, prefixes)) continue;
    changes.push_back({name, text, {}});
  }
  for (const auto &[name, text] : after) {
    const auto found = before.find(name);
    const std::string old = found == before.end() ? "" : found->second;
    if (old == text) continue;
    changes.push_back({name, old, text});
  }
  return changes;
}

}  // namespace pollenring
