#include "pollenring/lease/slot_row.h"

#include <nlohmann/json.hpp>

namespace pollenring {
namespace {

using Json = nlohmann::json;

[[nodiscard]] Json ToJson(const ProcessRef &ref) {
  return {{"node", ref.node}, {"process", ref.process}};
}

[[nodiscard]] ProcessRef RefFrom(const Json &json) {
  return {json.at("node").get<NodeId>(),
          json.at("process").get<std::uint64_t>()};
}

}  // namespace

std::string SlotRow::ToJson() const {
  Json list = Json::array();
  for (const auto &witness : this->witnesses) {
    list.push_back(pollenring::ToJson(witness));
  }
  const Json json{{"epoch", this->epoch},
                  {"holder", pollenring::ToJson(this->holder)},
                  {"witnesses", std::move(list)}};
  return json.dump();
}

std::optional<SlotRow> SlotRow::FromJson(const std::string &text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    SlotRow row;
    row.epoch = json.at("epoch").get<std::uint64_t>();
    row.holder = RefFrom(json.at("holder"));
    for (const auto &item : json.at("witnesses")) {
      row.witnesses.push_back(RefFrom(item));
    }
    return row;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string SlotRowKey(SlotId slot) { return "slot/" + std::to_string(slot); }

}  // namespace pollenring
