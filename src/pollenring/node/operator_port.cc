#include "pollenring/node/operator_port.h"

#include <utility>
#include <vector>

#include "pollenring/contract/json.h"
#include "pollenring/core/hash.h"
#include "pollenring/log/log.h"

namespace pollenring {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kDigestHexChars = 64;
constexpr std::size_t kMaxAuditRows = 500;

[[nodiscard]] HttpResponse JsonResponse(int status, const Json &json) {
  return {status, {{"content-type", "application/json"}}, json.dump() + "\n"};
}

[[nodiscard]] HttpResponse ErrorResponse(int status,
                                         const std::string &message) {
  return JsonResponse(status, Json{{"error", message}});
}

[[nodiscard]] Json ToJson(const ConfigChange &change) {
  return Json::parse(change.ToJson());
}

[[nodiscard]] int StatusOf(const PublishReport &report) noexcept {
  switch (report.commit.result) {
    case CommitResult::kCommitted:
      return report.Accepted() ? kOk : kAccepted;
    case CommitResult::kConflict:
      return kConflict;
    default:
      return kUnavailable;
  }
}

[[nodiscard]] Json ToJson(const PublishReport &report) {
  Json others = Json::array();
  for (const auto &other : report.commit.conflicts)
    others.push_back(ToJson(other));
  return {{"result", kCommitResultNames.Name(report.commit.result)},
          {"accepted", report.Accepted()},
          {"version", report.commit.change.version},
          {"unconfirmed_zones", report.unconfirmed_zones},
          {"others", std::move(others)}};
}

/*! @brief Checks documents that came over the wire; throws when malformed. */
void CheckDocuments(const Documents &documents) {
  Policy policy;
  for (const auto &[name, text] : documents) policy.Apply(name, text);
}

}  // namespace

OperatorPort::OperatorPort(std::string secret, ConfigService &config,
                           Table &table, const Metrics &metrics, Hooks hooks)
    : secret{std::move(secret)},
      config{config},
      table{table},
      metrics{metrics},
      hooks{std::move(hooks)} {}

void OperatorPort::Handle(HttpRequest request, ResponderPtr responder) {
  const auto presented = FindHeader(request.headers, "authorization");
  if (!EqualConstantTime(presented, "Bearer " + this->secret)) {
    responder->Send(
        ErrorResponse(kUnauthorized, "operator secret missing or wrong"));
    return;
  }
  const std::string operation = request.method + " " + request.path;
  if (operation == "GET /status") {
    responder->Send(JsonResponse(kOk, this->hooks.status()));
  } else if (operation == "GET /metrics") {
    responder->Send({kOk,
                     {{"content-type", "text/plain; version=0.0.4"}},
                     this->metrics.Expose()});
  } else if (operation == "GET /config") {
    this->Documents(responder);
  } else if (operation == "GET /audit") {
    this->Audit(responder);
  } else if (operation == "POST /publish") {
    this->Publish(request, responder);
  } else if (operation == "POST /keys") {
    this->ChangeKey(request, responder);
  } else if (operation == "POST /drain") {
    this->hooks.drain();
    responder->Send(JsonResponse(kAccepted, Json{{"draining", true}}));
  } else {
    responder->Send(
        ErrorResponse(kNotFound, "no such operation: " + operation));
  }
}

void OperatorPort::Documents(const ResponderPtr &responder) const {
  const ConfigLedger &ledger = this->config.Ledger();
  responder->Send(JsonResponse(
      kOk, Json{{"version", ledger.Version()}, {"documents", ledger.All()}}));
}

void OperatorPort::Publish(const HttpRequest &request,
                           const ResponderPtr &responder) {
  ConfigChange change;
  try {
    const Json json = Json::parse(request.body);
    const auto documents = json.at("documents").get<pollenring::Documents>();
    const auto base = json.at("base_version").get<std::uint64_t>();
    change.author = json.at("author").get<std::string>();
    CheckDocuments(documents);
    change.version = base + 1;
    change.documents = DiffDocuments(this->config.Ledger().All(), documents,
                                     {kContractPrefix, kWorkspacePrefix});
  } catch (const Json::exception &error) {
    responder->Send(ErrorResponse(kBadRequest, error.what()));
    return;
  }
  if (change.documents.empty()) {
    responder->Send(
        JsonResponse(kOk, Json{{"result", "unchanged"},
                               {"accepted", true},
                               {"version", this->config.Ledger().Version()}}));
    return;
  }
  this->Commit(std::move(change), responder);
}

void OperatorPort::ChangeKey(const HttpRequest &request,
                             const ResponderPtr &responder) {
  const ConfigLedger &ledger = this->config.Ledger();
  ConfigChange change;
  try {
    const Json json = Json::parse(request.body);
    const auto digest = json.at("digest").get<std::string>();
    const auto workspace = json.at("workspace").get<std::string>();
    change.author = json.at("author").get<std::string>();
    if (digest.size() != kDigestHexChars) {
      responder->Send(
          ErrorResponse(kBadRequest, "'digest' must be a SHA-256 digest"));
      return;
    }
    const bool known =
        workspace.empty() || ledger.Active().RateLimitOf(workspace) != nullptr;
    if (!known) {
      responder->Send(ErrorResponse(
          kBadRequest, "no workspace '" + workspace + "' is published"));
      return;
    }
    const std::string before = ledger.Active().WorkspaceOf(digest);
    if (before == workspace) {
      const std::string message =
          workspace.empty() ? "key is not active" : "key is already active";
      responder->Send(ErrorResponse(kBadRequest, message));
      return;
    }
    change.version = ledger.Version() + 1;
    change.documents.push_back({kKeyPrefix + digest, before, workspace});
  } catch (const Json::exception &error) {
    responder->Send(ErrorResponse(kBadRequest, error.what()));
    return;
  }
  this->Commit(std::move(change), responder);
}

void OperatorPort::Commit(ConfigChange change, const ResponderPtr &responder) {
  LogEvent(LogLevel::kInfo, "configuration change proposed",
           {{"author", change.author}, {"version", change.version}});
  this->config.Publish(std::move(change), [responder](PublishReport report) {
    LogEvent(LogLevel::kInfo, "configuration change completed",
             {{"version", report.commit.change.version},
              {"result", kCommitResultNames.Name(report.commit.result)},
              {"accepted", report.Accepted()}});
    responder->Send(JsonResponse(StatusOf(report), ToJson(report)));
  });
}

void OperatorPort::Audit(const ResponderPtr &responder) {
  this->table.List(kChangeRowPrefix, [this, responder](Table::Rows changes) {
    this->table.List(kRefusedRowPrefix, [responder,
                                         changes = std::move(changes)](
                                            Table::Rows refusals) {
      const auto *committed = std::get_if<std::vector<Row>>(&changes);
      const auto *refused = std::get_if<std::vector<Row>>(&refusals);
      if (committed == nullptr || refused == nullptr) {
        responder->Send(ErrorResponse(kUnavailable,
                                      "audit trail unavailable: the platform's "
                                      "table does not respond; try again"));
        return;
      }
      Json entries = Json::array();
      const auto add = [&entries](const std::vector<Row> &rows) {
        const std::size_t skip =
            rows.size() > kMaxAuditRows ? rows.size() - kMaxAuditRows : 0;
        for (std::size_t i = skip; i < rows.size(); ++i) {
          Json entry = Json::parse(rows[i].value, nullptr, false);
          if (entry.is_object()) entries.push_back(std::move(entry));
        }
      };
      add(*committed);
      add(*refused);
      responder->Send(JsonResponse(kOk, Json{{"entries", std::move(entries)}}));
    });
  });
}

}  // namespace pollenring
