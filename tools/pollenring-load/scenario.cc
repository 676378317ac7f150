#include "scenario.h"

#include <toml++/toml.h>

namespace load {
namespace {

using pollenring::Address;
using pollenring::Diagnostics;
using pollenring::Duration;

/*! @brief Reads values of a TOML table and reports invalid ones. */
class Reader {
 public:
  Reader(const toml::table &table, const std::string &file,
         Diagnostics &diagnostics)
      : table{table}, file{file}, diagnostics{diagnostics} {}

  void ReportError(std::string_view key, const std::string &message) {
    const toml::node *node = this->table.get(key);
    const auto &begin =
        (node == nullptr ? this->table.source() : node->source()).begin;
    this->diagnostics.push_back(
        {{this->file, begin.line, begin.column}, message});
  }

  void ReadText(std::string_view key, std::string &value) {
    if (!this->table.contains(key)) return;
    const auto parsed = this->table[key].value_exact<std::string>();
    if (parsed) value = *parsed;
    if (!parsed) this->ReportError(key, "must be a string");
  }

  void ReadNumber(std::string_view key, double &value) {
    if (!this->table.contains(key)) return;
    const auto parsed = this->table[key].value<double>();
    if (parsed) value = *parsed;
    if (!parsed) this->ReportError(key, "must be a number");
  }

  void ReadDuration(std::string_view key, Duration &value) {
    std::string text;
    this->ReadText(key, text);
    if (text.empty()) return;
    const auto duration = pollenring::ParseDuration(text);
    if (duration) value = *duration;
    if (!duration) this->ReportError(key, "needs a unit, such as \"2s\"");
  }

  void ReadRate(std::string_view key, double &value) {
    std::string text;
    this->ReadText(key, text);
    if (text.empty()) return;
    const auto rate = pollenring::ParseRate(text);
    if (rate) value = *rate;
    if (!rate) this->ReportError(key, "needs a unit, such as \"50/s\"");
  }

  [[nodiscard]] Address ReadAddress(std::string_view key) {
    std::string text;
    this->ReadText(key, text);
    const auto address = Address::Parse(text);
    if (!address) this->ReportError(key, "must be an address");
    return address.value_or(Address{});
  }

 private:
  const toml::table &table;
  const std::string &file;
  Diagnostics &diagnostics;
};

[[nodiscard]] Caller ReadCaller(Reader reader) {
  Caller caller;
  reader.ReadText("workspace", caller.workspace);
  reader.ReadText("key", caller.key);
  reader.ReadRate("rate", caller.rate);
  reader.ReadNumber("burst", caller.burst);
  reader.ReadRate("demand", caller.demand);
  reader.ReadNumber("surge", caller.surge);
  reader.ReadText("method", caller.method);
  reader.ReadText("path", caller.path);
  reader.ReadText("body", caller.body);
  return caller;
}

[[nodiscard]] SlowTarget ReadSlow(Reader reader) {
  SlowTarget slow;
  slow.address = reader.ReadAddress("address");
  reader.ReadNumber("latency_ms", slow.latency_ms);
  reader.ReadNumber("normal_ms", slow.normal_ms);
  return slow;
}

}  // namespace

Scenario ReadScenario(const pollenring::SourceFile &file,
                      Diagnostics &diagnostics) {
  Scenario scenario;
  toml::table root;
  try {
    root = toml::parse(file.text, file.name);
  } catch (const toml::parse_error &error) {
    const auto &begin = error.source().begin;
    diagnostics.push_back({{file.name, begin.line, begin.column},
                           std::string{error.description()}});
    return scenario;
  }
  Reader reader{root, file.name, diagnostics};
  if (const auto *nodes = root["nodes"].as_array()) {
    for (const auto &item : *nodes) {
      const auto address =
          Address::Parse(item.value_exact<std::string>().value_or(""));
      if (address) scenario.nodes.push_back(*address);
    }
  }
  if (scenario.nodes.empty())
    reader.ReportError("nodes", "must list addresses");
  reader.ReadDuration("length", scenario.length);
  reader.ReadDuration("trigger_from", scenario.trigger_from);
  reader.ReadDuration("trigger_to", scenario.trigger_to);
  reader.ReadDuration("timeout", scenario.timeout);
  reader.ReadDuration("retry_pause", scenario.retry_pause);
  reader.ReadRate("capacity", scenario.capacity);
  double number = scenario.retries;
  reader.ReadNumber("retries", number);
  scenario.retries = static_cast<int>(number);
  number = static_cast<double>(scenario.seed);
  reader.ReadNumber("seed", number);
  scenario.seed = static_cast<std::uint64_t>(number);
  const auto for_each_table = [&](const char *name, auto read_table) {
    const auto *array = root[name].as_array();
    if (array == nullptr) return;
    for (const auto &item : *array) {
      const auto *table = item.as_table();
      if (table != nullptr) read_table(Reader{*table, file.name, diagnostics});
    }
  };
  for_each_table("caller", [&](const Reader &item) {
    scenario.callers.push_back(ReadCaller(item));
  });
  for_each_table("slow", [&](const Reader &item) {
    scenario.slow.push_back(ReadSlow(item));
  });
  return scenario;
}

}  // namespace load
