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

  void Report(std::string_view key, const std::string &message) {
    const toml::node *node = this->table.get(key);
    const auto &begin =
        (node == nullptr ? this->table.source() : node->source()).begin;
    this->diagnostics.push_back(
        {{this->file, begin.line, begin.column}, message});
  }

  void Text(std::string_view key, std::string &value) {
    if (!this->table.contains(key)) return;
    const auto given = this->table[key].value_exact<std::string>();
    if (given) value = *given;
    if (!given) this->Report(key, "must be a text");
  }

  void Number(std::string_view key, double &value) {
    if (!this->table.contains(key)) return;
    const auto given = this->table[key].value<double>();
    if (given) value = *given;
    if (!given) this->Report(key, "must be a number");
  }

  void ReadDuration(std::string_view key, Duration &value) {
    std::string text;
    this->Text(key, text);
    if (text.empty()) return;
    const auto span = pollenring::ParseDuration(text);
    if (span) value = *span;
    if (!span) this->Report(key, "needs a unit, such as \"2s\"");
  }

  void Rate(std::string_view key, double &value) {
    std::string text;
    this->Text(key, text);
    if (text.empty()) return;
    const auto rate = pollenring::ParseRate(text);
    if (rate) value = *rate;
    if (!rate) this->Report(key, "needs a unit, such as \"50/s\"");
  }

  [[nodiscard]] Address Where(std::string_view key) {
    std::string text;
    this->Text(key, text);
    const auto address = Address::Parse(text);
    if (!address) this->Report(key, "must be an address");
    return address.value_or(Address{});
  }

 private:
  const toml::table &table;
  const std::string &file;
  Diagnostics &diagnostics;
};

[[nodiscard]] Caller ReadCaller(Reader reader) {
  Caller caller;
  reader.Text("workspace", caller.workspace);
  reader.Text("key", caller.key);
  reader.Rate("rate", caller.rate);
  reader.Number("burst", caller.burst);
  reader.Rate("demand", caller.demand);
  reader.Number("surge", caller.surge);
  reader.Text("method", caller.method);
  reader.Text("path", caller.path);
  reader.Text("body", caller.body);
  return caller;
}

[[nodiscard]] SlowTarget ReadSlow(Reader reader) {
  SlowTarget slow;
  slow.address = reader.Where("address");
  reader.Number("latency_ms", slow.latency_ms);
  reader.Number("normal_ms", slow.normal_ms);
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
  if (scenario.nodes.empty()) reader.Report("nodes", "must list addresses");
  reader.ReadDuration("length", scenario.length);
  reader.ReadDuration("trigger_from", scenario.trigger_from);
  reader.ReadDuration("trigger_to", scenario.trigger_to);
  reader.ReadDuration("timeout", scenario.timeout);
  reader.ReadDuration("retry_pause", scenario.retry_pause);
  reader.Rate("capacity", scenario.capacity);
  double number = scenario.retries;
  reader.Number("retries", number);
  scenario.retries = static_cast<int>(number);
  number = static_cast<double>(scenario.seed);
  reader.Number("seed", number);
  scenario.seed = static_cast<std::uint64_t>(number);
  const auto each = [&](const char *name, auto read) {
    const auto *array = root[name].as_array();
    if (array == nullptr) return;
    for (const auto &item : *array) {
      const auto *table = item.as_table();
      if (table != nullptr) read(Reader{*table, file.name, diagnostics});
    }
  };
  each("caller", [&](const Reader &item) {
    scenario.callers.push_back(ReadCaller(item));
  });
  each("slow",
       [&](const Reader &item) { scenario.slow.push_back(ReadSlow(item)); });
  return scenario;
}

}  // namespace load
