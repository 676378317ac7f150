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
constexpr std::size_t kDigestLength = 64;
constexpr std::size_t kMostAudited = 500;

[[nodiscard]] HttpResponse Answer(int status, const Json &json) {
  return {status, {{"content-type", "application/json"}}, json.dump() + "\n"};
}

[[nodiscard]] HttpResponse Fault(int status, const std::string &message) {
  return Answer(status, Json{{"error", message}});
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
  for (const auto &other : report.commit.others)
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
  const auto given = FindHeader(request.headers, "authorization");
  if (!EqualConstantTime(given, "Bearer " + this->secret)) {
    responder->Send(Fault(kUnauthorized, "operator secret missing or wrong"));
    return;
  }
  const std::string what = request.method + " " + request.path;
  if (what == "GET /status") {
    responder->Send(Answer(kOk, this->hooks.status()));
  } else if (what == "GET /metrics") {
    responder->Send({kOk,
                     {{"content-type", "text/plain; version=0.0.4"}},
                     this->metrics.Expose()});
  } else if (what == "GET /config") {
    this->Documents(responder);
  } else if (what == "GET /audit") {
    this->Audit(responder);
  } else if (what == "POST /publish") {
    this->Publish(request, responder);
  } else if (what == "POST /keys") {
    this->ChangeKey(request, responder);
  } else if (what == "POST /drain") {
    this->hooks.drain();
    responder->Send(Answer(kAccepted, Json{{"draining", true}}));
  } else {
    responder->Send(Fault(kNotFound, "no such operation: " + what));
  }
}

void OperatorPort::Documents(const ResponderPtr &responder) const {
  const ConfigLedger &ledger = this->config.Ledger();
  responder->Send(Answer(
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
    responder->Send(Fault(kBadRequest, error.what()));
    return;
  }
  if (change.documents.empty()) {
    responder->Send(
        Answer(kOk, Json{{"result", "unchanged"},
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
    if (digest.size() != kDigestLength) {
      responder->Send(Fault(kBadRequest, "'digest' must be a SHA-256 digest"));
      return;
    }
    const bool known =
        workspace.empty() || ledger.Active().RateLimitOf(workspace) != nullptr;
    if (!known) {
      responder->Send(
          Fault(kBadRequest, "no workspace '" + workspace + "' is published"));
      return;
    }
    const std::string before = ledger.Active().WorkspaceOf(digest);
    if (before == workspace) {
      const std::string why =
          workspace.empty() ? "no such key is in force" : "the key is in force";
      responder->Send(Fault(kBadRequest, why));
      return;
    }
    change.version = ledger.Version() + 1;
    change.documents.push_back({kKeyPrefix + digest, before, workspace});
  } catch (const Json::exception &error) {
    responder->Send(Fault(kBadRequest, error.what()));
    return;
  }
  this->Commit(std::move(change), responder);
}

void OperatorPort::Commit(ConfigChange change, const ResponderPtr &responder) {
  LogEvent(LogLevel::kInfo, "change proposed",
           {{"author", change.author}, {"version", change.version}});
  this->config.Publish(std::move(change), [responder](PublishReport report) {
    LogEvent(LogLevel::kInfo, "change ended",
             {{"version", report.commit.change.version},
              {"result", kCommitResultNames.Name(report.commit.result)},
              {"accepted", report.Accepted()}});
    responder->Send(Answer(StatusOf(report), ToJson(report)));
  });
}

void OperatorPort::Audit(const ResponderPtr &responder) {
  this->table.List(kChangeRowPrefix, [this, responder](Table::Rows changes) {
    this->table.List(kRefusedRowPrefix, [responder,
                                         changes = std::move(changes)](
                                            Table::Rows refusals) {
      const auto *made = std::get_if<std::vector<Row>>(&changes);
      const auto *refused = std::get_if<std::vector<Row>>(&refusals);
      if (made == nullptr || refused == nullptr) {
        responder->Send(Fault(kUnavailable,
                              "the platform's table does not answer; the trail "
                              "is kept there, try again"));
        return;
      }
      Json entries = Json::array();
      const auto add = [&entries](const std::vector<Row> &rows) {
        const std::size_t skip =
            rows.size() > kMostAudited ? rows.size() - kMostAudited : 0;
        for (std::size_t i = skip; i < rows.size(); ++i) {
          Json entry = Json::parse(rows[i].value, nullptr, false);
          if (entry.is_object()) entries.push_back(std::move(entry));
        }
      };
      add(*made);
      add(*refused);
      responder->Send(Answer(kOk, Json{{"entries", std::move(entries)}}));
    });
  });
}

}  // namespace pollenring
