#include "commands.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "operator_client.h"
#include "pollenring/config/change.h"
#include "pollenring/contract/check.h"
#include "pollenring/contract/json.h"
#include "pollenring/core/hash.h"

namespace cli {
namespace {

using Json = nlohmann::json;
using pollenring::Diagnostics;
using pollenring::Documents;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kApiKeyBytes = 32;
constexpr std::size_t kDigestHexDigits = 64;
constexpr std::string_view kApiKeyPrefix = "prk_";

/*! @brief Reads the given files and, recursively, the TOML files of folders. */
[[nodiscard]] std::vector<pollenring::SourceFile> ReadFiles(
    const std::vector<std::string> &paths, Diagnostics &diagnostics) {
  namespace fs = std::filesystem;
  std::vector<std::string> names;
  for (const auto &path : paths) {
    if (!fs::is_directory(path)) {
      names.push_back(path);
      continue;
    }
    for (const auto &entry : fs::recursive_directory_iterator(path)) {
      if (entry.path().extension() != ".toml") continue;
      names.push_back(entry.path().string());
    }
  }
  std::sort(names.begin(), names.end());
  std::vector<pollenring::SourceFile> files;
  for (const auto &name : names) {
    std::ifstream stream{name};
    if (!stream) {
      diagnostics.push_back({{name, 0, 0}, "can't be read"});
      continue;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    files.push_back({name, text.str()});
  }
  return files;
}

[[nodiscard]] std::optional<Documents> LoadContracts(
    const CommonOptions &common, const std::vector<std::string> &paths) {
  Diagnostics diagnostics;
  const auto files = ReadFiles(paths, diagnostics);
  const auto set = pollenring::ReadContracts(files, diagnostics);
  if (diagnostics.empty()) return pollenring::ToDocuments(set);
  if (common.json) {
    Json list = Json::array();
    for (const auto &diagnostic : diagnostics) {
      list.push_back({{"file", diagnostic.location.file},
                      {"line", diagnostic.location.line},
                      {"column", diagnostic.location.column},
                      {"message", diagnostic.message}});
    }
    std::cout << Json{{"findings", std::move(list)}}.dump(2) << '\n';
    return std::nullopt;
  }
  for (const auto &diagnostic : diagnostics)
    std::cerr << diagnostic.Format() << '\n';
  std::cerr << diagnostics.size() << " finding(s); nothing was changed\n";
  return std::nullopt;
}

[[nodiscard]] std::optional<OperatorResponse> SendRequest(
    const CommonOptions &common, const std::string &method,
    const std::string &path, const Json &body = nullptr) {
  const auto address = pollenring::Address::Parse(common.node);
  if (!address) {
    std::cerr << "pollenring: --node must be the address of an operator port, "
                 "such as 127.0.0.1:7003\n";
    return std::nullopt;
  }
  const OperatorClient client{*address, common.secret};
  auto response = client.Call(method, path, body);
  if (!response) {
    std::cerr << "pollenring: no response from " << common.node
              << "; try another node. 'pollenring audit' shows whether a "
                 "change was made\n";
  }
  return response;
}

/*! @brief Prints the error of a refused request and maps it to an exit code. */
[[nodiscard]] ExitCode ReportRefusal(const OperatorResponse &response) {
  const std::string reason =
      response.body.is_object() ? response.body.value("error", "refused") : "";
  std::cerr << "pollenring: " << reason << '\n';
  return response.status == kUnavailable ? ExitCode::kUnreachable
                                         : ExitCode::kRefused;
}

void PrintChange(std::ostream &out, const Json &change) {
  for (const auto &document : change.at("documents")) {
    const auto before = document.value("before", "");
    const auto after = document.value("after", "");
    const char *mark = before.empty() ? "+" : after.empty() ? "-" : "~";
    out << "  " << mark << ' ' << document.value("name", "") << '\n';
    if (!before.empty()) out << "      was " << before << '\n';
    if (!after.empty()) out << "      now " << after << '\n';
  }
}

/*! @brief Prints the result of a change and maps it to an exit code. */
[[nodiscard]] ExitCode ReportCommit(const CommonOptions &common,
                                    const OperatorResponse &response) {
  const Json &body = response.body;
  if (!body.is_object() || !body.contains("result"))
    return ReportRefusal(response);
  if (common.json) std::cout << body.dump(2) << '\n';
  const std::string result = body.value("result", "");
  const auto version = body.value("version", 0ULL);
  std::ostream &out = common.json ? std::cerr : std::cout;
  if (response.status == kOk) {
    out << (result == "unchanged" ? "unchanged" : "accepted") << ", version "
        << version << '\n';
    return ExitCode::kOk;
  }
  if (response.status == kAccepted) {
    out << "committed as version " << version
        << ", but not yet confirmed in zone(s):";
    for (const auto &zone : body.value("unconfirmed_zones", Json::array())) {
      out << ' ' << zone.get<std::string>();
    }
    out << "\nIt takes force there as soon as they are reached; check with "
           "'pollenring status'\n";
    return ExitCode::kUnconfirmed;
  }
  if (response.status == kConflict) {
    out << "not changed: another operator came first. Since your base:\n";
    for (const auto &other : body.value("others", Json::array())) {
      out << "version " << other.value("version", 0ULL) << " by "
          << other.value("author", "") << '\n';
      PrintChange(out, other);
    }
    out << "Run 'pollenring diff' and publish again\n";
    return ExitCode::kConflict;
  }
  if (result == "unknown") {
    out << "unknown: the platform did not say whether the change was made; "
           "see 'pollenring audit' once it answers\n";
    return ExitCode::kUnconfirmed;
  }
  out << "not changed: the platform does not answer; try again later\n";
  return ExitCode::kUnreachable;
}

struct ActiveConfig {
  std::uint64_t version{};
  Documents documents;
};

[[nodiscard]] std::optional<ActiveConfig> FetchActiveConfig(
    const CommonOptions &common, ExitCode &code) {
  const auto response = SendRequest(common, "GET", "/config");
  if (!response) {
    code = ExitCode::kUnreachable;
    return std::nullopt;
  }
  if (response->status != kOk) {
    code = ReportRefusal(*response);
    return std::nullopt;
  }
  return ActiveConfig{response->body.at("version").get<std::uint64_t>(),
                      response->body.at("documents").get<Documents>()};
}

[[nodiscard]] ExitCode ChangeKey(const CommonOptions &common,
                                 const std::string &digest,
                                 const std::string &workspace) {
  const auto response = SendRequest(common, "POST", "/keys",
                                    Json{{"author", common.author},
                                         {"digest", digest},
                                         {"workspace", workspace}});
  if (!response) return ExitCode::kUnreachable;
  return ReportCommit(common, *response);
}

}  // namespace

ExitCode Check(const CommonOptions &common,
               const std::vector<std::string> &paths) {
  const auto documents = LoadContracts(common, paths);
  if (!documents) return ExitCode::kFindings;
  if (common.json) {
    std::cout << Json{{"findings", Json::array()}}.dump(2) << '\n';
  } else {
    std::cout << "no findings in " << documents->size() << " document(s)\n";
  }
  return ExitCode::kOk;
}

ExitCode Publish(const CommonOptions &common,
                 const std::vector<std::string> &paths) {
  const auto documents = LoadContracts(common, paths);
  if (!documents) return ExitCode::kFindings;
  ExitCode code = ExitCode::kOk;
  const auto active = FetchActiveConfig(common, code);
  if (!active) return code;
  const auto response = SendRequest(common, "POST", "/publish",
                                    Json{{"author", common.author},
                                         {"base_version", active->version},
                                         {"documents", *documents}});
  if (!response) return ExitCode::kUnconfirmed;
  return ReportCommit(common, *response);
}

ExitCode Diff(const CommonOptions &common,
              const std::vector<std::string> &paths) {
  const auto documents = LoadContracts(common, paths);
  if (!documents) return ExitCode::kFindings;
  ExitCode code = ExitCode::kOk;
  const auto active = FetchActiveConfig(common, code);
  if (!active) return code;
  pollenring::ConfigChange change;
  change.version = active->version + 1;
  change.documents = pollenring::DiffDocuments(
      active->documents, *documents,
      {pollenring::kContractPrefix, pollenring::kWorkspacePrefix});
  const Json json = Json::parse(change.ToJson());
  if (common.json) {
    std::cout << json.dump(2) << '\n';
    return ExitCode::kOk;
  }
  std::cout << change.documents.size() << " change(s) against version "
            << active->version << '\n';
  PrintChange(std::cout, json);
  return ExitCode::kOk;
}

ExitCode Status(const CommonOptions &common) {
  const auto response = SendRequest(common, "GET", "/status");
  if (!response) return ExitCode::kUnreachable;
  if (response->status != kOk) return ReportRefusal(*response);
  const Json &body = response->body;
  if (common.json) {
    std::cout << body.dump(2) << '\n';
    return ExitCode::kOk;
  }
  std::cout << "node " << body.value("node", "") << " in zone "
            << body.value("zone", "") << ", configuration version "
            << body.value("config_version", 0ULL)
            << (body.value("fresh", false) ? "" : ", NOT FRESH")
            << (body.value("leaving", false) ? ", leaving" : "") << '\n'
            << "requests " << body.value("requests", 0ULL) << ", refusals "
            << body.value("refusals", 0ULL) << ", in progress "
            << body.value("in_progress", 0ULL) << ", slots without holder "
            << body.value("slots_without_holder", 0ULL) << '\n';
  for (const auto &zone : body.value("zones_withdrawn", Json::array())) {
    std::cout << "zone " << zone.value("zone", "") << " withdrawn for "
              << std::lround(zone.value("for_s", 0.0)) << " s\n";
  }
  for (const auto &member : body.value("members", Json::array())) {
    std::cout << "  " << member.value("node", "") << "  "
              << member.value("zone", "") << "  " << member.value("state", "")
              << "  messages " << member.value("messages", "unknown")
              << "  holds " << member.value("slots_held", 0ULL) << " slot(s)";
    for (const auto &target : member.value("targets", Json::array())) {
      std::cout << "  " << target.value("service", "") << '('
                << target.value("slots", 0) << ' ' << target.value("state", "")
                << ')';
    }
    std::cout << '\n';
  }
  return ExitCode::kOk;
}

ExitCode IssueKey(const CommonOptions &common, const std::string &workspace) {
  const std::string key =
      std::string{kApiKeyPrefix} + pollenring::RandomHex(kApiKeyBytes);
  const auto code = ChangeKey(common, pollenring::Sha256Hex(key), workspace);
  const bool issued = code == ExitCode::kOk || code == ExitCode::kUnconfirmed;
  if (!issued) return code;
  if (common.json) {
    std::cout << Json{{"key", key}, {"workspace", workspace}}.dump() << '\n';
  } else {
    std::cout << "key for " << workspace << " (shown this once): " << key
              << '\n';
  }
  return code;
}

ExitCode WithdrawKey(const CommonOptions &common, const std::string &key) {
  const bool is_api_key =
      key.compare(0, kApiKeyPrefix.size(), kApiKeyPrefix) == 0;
  const std::string digest = is_api_key ? pollenring::Sha256Hex(key) : key;
  if (digest.size() != kDigestHexDigits) {
    std::cerr << "pollenring: keys withdraw needs a key or its digest as shown "
                 "by 'pollenring keys list'\n";
    return ExitCode::kUsage;
  }
  return ChangeKey(common, digest, {});
}

ExitCode ListKeys(const CommonOptions &common) {
  ExitCode code = ExitCode::kOk;
  const auto active = FetchActiveConfig(common, code);
  if (!active) return code;
  const std::string prefix{pollenring::kKeyPrefix};
  Json list = Json::array();
  for (const auto &[name, workspace] : active->documents) {
    if (name.compare(0, prefix.size(), prefix) != 0) continue;
    const std::string digest = name.substr(prefix.size());
    if (!common.json) std::cout << digest << "  " << workspace << '\n';
    list.push_back({{"digest", digest}, {"workspace", workspace}});
  }
  if (common.json) std::cout << Json{{"keys", list}}.dump(2) << '\n';
  return ExitCode::kOk;
}

ExitCode Audit(const CommonOptions &common) {
  const auto response = SendRequest(common, "GET", "/audit");
  if (!response) return ExitCode::kUnreachable;
  if (response->status != kOk) return ReportRefusal(*response);
  if (common.json) {
    std::cout << response->body.dump(2) << '\n';
    return ExitCode::kOk;
  }
  for (const auto &entry : response->body.value("entries", Json::array())) {
    std::cout << entry.value("wall_ms", 0LL) << "  version "
              << entry.value("version", 0ULL) << "  "
              << entry.value("author", "") << "  "
              << (entry.contains("refused")
                      ? "refused: " + entry.value("refused", "")
                      : std::string{"committed"})
              << '\n';
    PrintChange(std::cout, entry);
  }
  return ExitCode::kOk;
}

ExitCode Drain(const CommonOptions &common) {
  const auto response = SendRequest(common, "POST", "/drain", Json::object());
  if (!response) return ExitCode::kUnreachable;
  if (response->status != kAccepted) return ReportRefusal(*response);
  std::cout << "the node leaves; it ends once nothing is in progress\n";
  return ExitCode::kOk;
}

}  // namespace cli
