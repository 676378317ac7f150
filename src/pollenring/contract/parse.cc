#include "pollenring/contract/parse.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>

namespace pollenring {
namespace {

constexpr int kMaxRetries = 10;
constexpr double kSecondsPerMinute = 60.0;

struct Number {
  double value;
  std::string_view unit;
};

[[nodiscard]] std::optional<Number> SplitNumber(std::string_view text) {
  double value = 0;
  const auto *end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || value < 0) return std::nullopt;
  return Number{value,
                text.substr(static_cast<std::size_t>(rest - text.data()))};
}

/*! @brief Reads the fields of one TOML table and reports errors. */
class TableReader {
 public:
  TableReader(const toml::table &table, const std::string &file,
              Diagnostics &diagnostics)
      : table{table}, file{file}, diagnostics{diagnostics} {}

  [[nodiscard]] SourceLocation LocationOf(const toml::node &node) const {
    const auto &begin = node.source().begin;
    return {this->file, begin.line, begin.column};
  }

  void Report(const toml::node &node, std::string message) const {
    this->diagnostics.push_back({this->LocationOf(node), std::move(message)});
  }

  /*! @brief Reports every unknown key. */
  void ReportUnknownKeys(std::initializer_list<std::string_view> known) const {
    for (const auto &[key, value] : this->table) {
      const auto found = std::find(known.begin(), known.end(), key.str());
      if (found != known.end()) continue;
      this->Report(value, "unknown key '" + std::string{key.str()} + "'");
    }
  }

  [[nodiscard]] std::optional<std::string> Text(std::string_view key,
                                                bool required) const {
    const toml::node *node = this->table.get(key);
    if (node == nullptr) {
      if (required) this->ReportMissing(key);
      return std::nullopt;
    }
    auto value = node->value_exact<std::string>();
    if (value && !value->empty()) return value;
    this->Report(*node, "'" + std::string{key} + "' must be a non-empty text");
    return std::nullopt;
  }

  void Flag(std::string_view key, bool &value) const {
    const toml::node *node = this->table.get(key);
    if (node == nullptr) return;
    const auto parsed = node->value_exact<bool>();
    if (parsed) {
      value = *parsed;
      return;
    }
    this->Report(*node, "'" + std::string{key} + "' must be true or false");
  }

  void Count(std::string_view key, int max, int &value) const {
    const toml::node *node = this->table.get(key);
    if (node == nullptr) return;
    const auto parsed = node->value_exact<std::int64_t>();
    if (parsed && *parsed >= 0 && *parsed <= max) {
      value = static_cast<int>(*parsed);
      return;
    }
    this->Report(*node, "'" + std::string{key} + "' must be from 0 to " +
                            std::to_string(max));
  }

  [[nodiscard]] const toml::node *Node(std::string_view key) const {
    return this->table.get(key);
  }

  void ReportMissing(std::string_view key) const {
    this->Report(this->table, "'" + std::string{key} + "' is missing");
  }

 private:
  const toml::table &table;
  const std::string &file;
  Diagnostics &diagnostics;
};

void ReadDeadline(const TableReader &reader, Route &route) {
  const auto text = reader.Text("deadline", false);
  if (!text) return;
  const auto duration = ParseDuration(*text);
  if (duration && *duration > Duration{0}) {
    route.deadline = *duration;
    return;
  }
  reader.Report(*reader.Node("deadline"),
                "'deadline' needs a unit, such as \"250ms\" or \"2s\"");
}

void ReadImportance(const TableReader &reader, Route &route) {
  const auto text = reader.Text("importance", false);
  if (!text) return;
  const auto importance = kImportanceNames.Parse(*text);
  if (importance) {
    route.importance = *importance;
    return;
  }
  reader.Report(*reader.Node("importance"),
                "'importance' must be low, normal, high or critical");
}

[[nodiscard]] Route ReadRoute(const TableReader &reader) {
  reader.ReportUnknownKeys({"method", "path", "importance", "idempotent",
                            "open", "deadline", "retries"});
  Route route;
  route.method = reader.Text("method", true).value_or("");
  route.path_prefix = reader.Text("path", true).value_or("");
  if (!route.path_prefix.empty() && route.path_prefix.front() != '/') {
    reader.Report(*reader.Node("path"), "'path' must start with '/'");
  }
  route.idempotent = route.method == "GET" || route.method == "HEAD";
  ReadImportance(reader, route);
  reader.Flag("idempotent", route.idempotent);
  reader.Flag("open", route.keyless);
  ReadDeadline(reader, route);
  reader.Count("retries", kMaxRetries, route.retries);
  return route;
}

[[nodiscard]] WorkspaceRateLimit ReadWorkspace(const TableReader &reader,
                                               const toml::table &table) {
  reader.ReportUnknownKeys({"name", "rate", "burst"});
  WorkspaceRateLimit workspace;
  workspace.location = reader.LocationOf(table);
  workspace.name = reader.Text("name", true).value_or("");
  if (const auto text = reader.Text("rate", true)) {
    const auto rate = ParseRate(*text);
    if (rate) workspace.rate = *rate;
    if (!rate) {
      reader.Report(*reader.Node("rate"),
                    "'rate' needs a unit, such as \"50/s\" or \"600/min\"");
    }
  }
  const toml::node *burst = reader.Node("burst");
  if (burst == nullptr) reader.ReportMissing("burst");
  if (burst == nullptr) return workspace;
  const auto value = burst->value<double>();
  if (value && *value >= 1) workspace.burst = *value;
  if (workspace.burst == 0) reader.Report(*burst, "'burst' must be 1 or more");
  return workspace;
}

template <typename Read>
void ForEachTable(const toml::table &root, std::string_view key,
                  const TableReader &reader, Read read) {
  const toml::node *node = root.get(key);
  if (node == nullptr) return;
  const toml::array *array = node->as_array();
  if (array == nullptr) {
    reader.Report(*node, "'" + std::string{key} + "' must be written as [[" +
                             std::string{key} + "]]");
    return;
  }
  for (const auto &element : *array) {
    const toml::table *table = element.as_table();
    if (table == nullptr) {
      reader.Report(element, "a table is expected here");
      continue;
    }
    read(*table);
  }
}

[[nodiscard]] std::vector<std::string> ReadCallers(const TableReader &reader) {
  const toml::node *node = reader.Node("callers");
  std::vector<std::string> callers;
  if (node == nullptr) {
    reader.ReportMissing("callers");
    return callers;
  }
  const toml::array *array = node->as_array();
  if (array == nullptr) {
    reader.Report(*node, "'callers' must be a list of names");
    return callers;
  }
  for (const auto &element : *array) {
    const auto name = element.value_exact<std::string>();
    if (!name) reader.Report(element, "a caller must be a name");
    if (name) callers.push_back(*name);
  }
  return callers;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  struct DurationUnit {
    std::string_view name;
    double micros;
  };
  constexpr std::array<DurationUnit, 4> kUnits{
      {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}}};
  const auto number = SplitNumber(text);
  if (!number) return std::nullopt;
  for (const auto &unit : kUnits) {
    if (unit.name != number->unit) continue;
    return Duration{static_cast<std::int64_t>(number->value * unit.micros)};
  }
  return std::nullopt;
}

std::optional<double> ParseRate(std::string_view text) {
  const auto number = SplitNumber(text);
  if (!number) return std::nullopt;
  if (number->unit == "/s") return number->value;
  if (number->unit == "/min") return number->value / kSecondsPerMinute;
  return std::nullopt;
}

void ParseContractFile(const SourceFile &file, ContractSet &set,
                       Diagnostics &diagnostics) {
  toml::table root;
  try {
    root = toml::parse(file.text, file.name);
  } catch (const toml::parse_error &error) {
    const auto &begin = error.source().begin;
    diagnostics.push_back({{file.name, begin.line, begin.column},
                           std::string{error.description()}});
    return;
  }
  const TableReader reader{root, file.name, diagnostics};
  reader.ReportUnknownKeys({"service", "callers", "route", "workspace"});
  ForEachTable(root, "workspace", reader, [&](const toml::table &table) {
    const TableReader table_reader{table, file.name, diagnostics};
    set.workspaces.push_back(ReadWorkspace(table_reader, table));
  });
  const bool declares_service =
      root.contains("service") || root.contains("route");
  if (!declares_service) return;
  Contract contract;
  contract.location = reader.LocationOf(root);
  contract.service = reader.Text("service", true).value_or("");
  contract.callers = ReadCallers(reader);
  ForEachTable(root, "route", reader, [&](const toml::table &table) {
    contract.routes.push_back(
        ReadRoute(TableReader{table, file.name, diagnostics}));
  });
  if (contract.routes.empty()) reader.ReportMissing("route");
  set.contracts.push_back(std::move(contract));
}

}  // namespace pollenring
