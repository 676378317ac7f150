#include "pollenring/node/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <optional>

namespace pollenring {
namespace {

constexpr std::size_t kMinSecretChars = 16;
constexpr std::int64_t kMaxSlots = 16384;
constexpr double kMinGraceSeconds = 0.5;
constexpr double kMaxGraceSeconds = 3600;
constexpr std::uint64_t kMinMemoryMb = 32;
constexpr std::uint64_t kMaxMemoryMb = std::uint64_t{1} << 24U;
constexpr double kMinBufferShare = 0.1;
constexpr double kMaxBufferShare = 0.8;

/*! @brief Reads settings; reports errors with their source locations. */
class SettingsReader {
 public:
  SettingsReader(const toml::table &root, const std::string &file,
                 Diagnostics &diagnostics)
      : root{root}, file{file}, diagnostics{diagnostics} {}

  void RejectUnknownKeys(std::string_view section,
                         std::initializer_list<std::string_view> known) {
    const toml::table *table = this->Section(section);
    if (table == nullptr) return;
    for (const auto &[key, value] : *table) {
      const auto found = std::find(known.begin(), known.end(), key.str());
      if (found != known.end()) continue;
      this->Report(value, "unknown key '" + std::string{key.str()} + "'");
    }
  }

  [[nodiscard]] std::string ReadText(std::string_view section,
                                     std::string_view key) {
    const toml::node *node = this->Find(section, key);
    if (node == nullptr) return {};
    const auto value = node->value_exact<std::string>();
    if (value && !value->empty()) return *value;
    this->Report(*node, "'" + std::string{key} + "' must be a non-empty text");
    return {};
  }

  [[nodiscard]] std::string ReadSecret(std::string_view key) {
    const toml::node *node = this->Find("secrets", key);
    if (node == nullptr) return {};
    auto value = node->value_exact<std::string>().value_or("");
    if (value.size() < kMinSecretChars) {
      this->Report(*node, "'" + std::string{key} +
                              "' must be a text of 16 characters or more");
    }
    return value;
  }

  [[nodiscard]] Address ReadAddress(std::string_view section,
                                    std::string_view key) {
    const toml::node *node = this->Find(section, key);
    if (node == nullptr) return {};
    return this->ToAddress(*node, key);
  }

  [[nodiscard]] std::vector<Address> ReadAddresses(std::string_view section,
                                                   std::string_view key) {
    std::vector<Address> addresses;
    const toml::table *table = this->Section(section);
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node == nullptr) return addresses;
    const toml::array *array = node->as_array();
    if (array == nullptr) {
      this->Report(*node, "'" + std::string{key} + "' must be a list");
      return addresses;
    }
    for (const auto &element : *array) {
      addresses.push_back(this->ToAddress(element, key));
    }
    return addresses;
  }

  /*! @brief Reads a number of 0 or more. @return It, or the default. */
  [[nodiscard]] double ReadNumber(std::string_view section,
                                  std::string_view key, double fallback) {
    const toml::table *table = this->Section(section);
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node == nullptr) return fallback;
    const auto value = node->value<double>();
    if (value && *value >= 0) return *value;
    this->Report(*node, "'" + std::string{key} + "' must be 0 or more");
    return fallback;
  }

  /*! @brief Reads a duration in seconds. @return It, or the default. */
  [[nodiscard]] Duration ReadSeconds(std::string_view section,
                                     std::string_view key, Duration fallback) {
    const toml::table *table = this->Section(section);
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node == nullptr) return fallback;
    const auto value = node->value<double>();
    if (value && *value >= kMinGraceSeconds && *value <= kMaxGraceSeconds) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>{*value});
    }
    this->Report(
        *node, "'" + std::string{key} + "' must be from 0.5 to 3600 (seconds)");
    return fallback;
  }

  void ReadLimits(MemoryLimits &limits) {
    const toml::table *table = this->Section("limits");
    if (table == nullptr) return;
    if (const toml::node *node = table->get("memory_mb")) {
      const double value = node->value<double>().value_or(0);
      const bool valid = value >= kMinMemoryMb && value <= kMaxMemoryMb;
      if (valid) limits.memory_mb = static_cast<std::uint64_t>(value);
      if (!valid)
        this->Report(*node, "'memory_mb' must be from 32 to 16777216");
    }
    if (const toml::node *node = table->get("buffer_share")) {
      const double value = node->value<double>().value_or(0);
      const bool valid = value >= kMinBufferShare && value <= kMaxBufferShare;
      if (valid) limits.buffer_share = value;
      if (!valid) this->Report(*node, "'buffer_share' must be from 0.1 to 0.8");
    }
  }

  [[nodiscard]] RouteForm ReadRouteForm() {
    const toml::table *table = this->Section("node");
    const toml::node *node = table == nullptr ? nullptr : table->get("routes");
    if (node == nullptr) return RouteForm::kServicePath;
    const auto form =
        kRouteFormNames.Parse(node->value_exact<std::string>().value_or(""));
    if (form) return *form;
    this->Report(*node, "'routes' must be \"service-path\" or \"host\"");
    return RouteForm::kServicePath;
  }

  [[nodiscard]] bool ReadFlag(std::string_view section, std::string_view key) {
    const toml::table *table = this->Section(section);
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node == nullptr) return false;
    const auto value = node->value_exact<bool>();
    if (!value)
      this->Report(*node, "'" + std::string{key} +
                              "' must be true "
                              "or false");
    return value.value_or(false);
  }

  void ReadSlots(std::uint32_t &slots) {
    const toml::table *table = this->Section("node");
    const toml::node *node = table == nullptr ? nullptr : table->get("slots");
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= 1 && *value <= kMaxSlots) {
      slots = static_cast<std::uint32_t>(*value);
      return;
    }
    this->Report(*node, "'slots' must be from 1 to 16384");
  }

 private:
  [[nodiscard]] const toml::table *Section(std::string_view name) const {
    const toml::node *node = this->root.get(name);
    return node == nullptr ? nullptr : node->as_table();
  }

  [[nodiscard]] const toml::node *Find(std::string_view section,
                                       std::string_view key) {
    const toml::table *table = this->Section(section);
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node != nullptr) return node;
    const toml::table &near = table == nullptr ? this->root : *table;
    this->Report(near, "'" + std::string{section} + "." + std::string{key} +
                           "' is missing");
    return nullptr;
  }

  [[nodiscard]] Address ToAddress(const toml::node &node,
                                  std::string_view key) {
    const auto text = node.value_exact<std::string>().value_or("");
    const auto address = Address::Parse(text);
    if (address) return *address;
    this->Report(node, "'" + std::string{key} +
                           "' must be an IPv4 address and a port, such as "
                           "\"127.0.0.1:7000\"");
    return {};
  }

  void Report(const toml::node &node, std::string message) {
    const auto &begin = node.source().begin;
    this->diagnostics.push_back(
        {{this->file, begin.line, begin.column}, std::move(message)});
  }

  const toml::table &root;
  const std::string &file;
  Diagnostics &diagnostics;
};

}  // namespace

Settings ReadSettings(const SourceFile &file, Diagnostics &diagnostics) {
  Settings settings;
  toml::table root;
  try {
    root = toml::parse(file.text, file.name);
  } catch (const toml::parse_error &error) {
    const auto &begin = error.source().begin;
    diagnostics.push_back({{file.name, begin.line, begin.column},
                           std::string{error.description()}});
    return settings;
  }
  for (const auto &[key, value] : root) {
    constexpr std::array<std::string_view, 7> kSections{
        "node",   "listen", "secrets", "platform",
        "target", "limits", "features"};
    const bool known = std::find(kSections.begin(), kSections.end(),
                                 key.str()) != kSections.end();
    if (known && value.is_table()) continue;
    const auto &begin = value.source().begin;
    diagnostics.push_back({{file.name, begin.line, begin.column},
                           "unknown section '" + std::string{key.str()} + "'"});
  }
  SettingsReader reader{root, file.name, diagnostics};
  reader.RejectUnknownKeys("node", {"zone", "region", "seeds", "slots",
                                    "routes", "first_start", "grace_s"});
  reader.RejectUnknownKeys(
      "listen", {"callers", "targets", "nodes", "operators", "ready"});
  reader.RejectUnknownKeys("target", {"service", "cold_over", "cold_slack"});
  reader.RejectUnknownKeys("secrets", {"nodes", "operators", "targets"});
  reader.RejectUnknownKeys("platform", {"address"});
  reader.RejectUnknownKeys("limits", {"memory_mb", "buffer_share"});
  reader.ReadLimits(settings.limits);
  reader.RejectUnknownKeys("features", {"learned_capacity", "whole_requests"});
  settings.features.learned_capacity =
      reader.ReadFlag("features", "learned_capacity");
  settings.features.whole_requests =
      reader.ReadFlag("features", "whole_requests");
  settings.routes = reader.ReadRouteForm();
  settings.zone = reader.ReadText("node", "zone");
  settings.region = reader.ReadText("node", "region");
  settings.seeds = reader.ReadAddresses("node", "seeds");
  reader.ReadSlots(settings.slots);
  settings.callers = reader.ReadAddress("listen", "callers");
  settings.targets = reader.ReadAddress("listen", "targets");
  settings.nodes = reader.ReadAddress("listen", "nodes");
  settings.operators = reader.ReadAddress("listen", "operators");
  settings.node_secret = reader.ReadSecret("nodes");
  if (settings.routes == RouteForm::kHost) {
    settings.ready = reader.ReadAddress("listen", "ready");
    settings.target_service = reader.ReadText("target", "service");
    settings.first_start = reader.ReadFlag("node", "first_start");
    settings.grace = reader.ReadSeconds("node", "grace_s", settings.grace);
    ColdStartHeadroom &headroom = settings.cold_start_headroom;
    headroom.over = reader.ReadNumber("target", "cold_over", headroom.over);
    headroom.slack = reader.ReadNumber("target", "cold_slack", headroom.slack);
  } else {
    settings.operator_secret = reader.ReadSecret("operators");
    settings.target_secret = reader.ReadSecret("targets");
  }
  settings.platform = reader.ReadAddress("platform", "address");
  return settings;
}

}  // namespace pollenring
