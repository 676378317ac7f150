#include "pollenring/mesh/deregistration_log.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "pollenring/log/log.h"

namespace pollenring {

DeregistrationLog::DeregistrationLog(NodeId self, Table &table)
    : key{"departed/" + AddressOf(self).Format()}, table{table} {}

void DeregistrationLog::Record(const Deregistration &deregistration) {
  this->latest = deregistration;
  const nlohmann::json row{{"instance", deregistration.instance},
                           {"born", deregistration.started_at_ms}};
  this->table.Write(
      {}, {{this->key, row.dump()}},
      [instance = deregistration.instance](Table::Written written) {
        const auto *error = std::get_if<StorageError>(&written);
        if (error == nullptr) return;
        // This process still has it in memory; only a restart
        // would lose it.
        LogEvent(LogLevel::kWarning, "deregistration not stored",
                 {{"instance", instance},
                  {"error", kStorageErrorNames.Name(*error)}});
      });
}

void DeregistrationLog::RecordAgain() {
  if (this->latest) this->Record(Deregistration{*this->latest});
}

void DeregistrationLog::Read(const Done &done) {
  this->table.Read({this->key}, [this, done](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      LogEvent(
          LogLevel::kWarning, "deregistrations not loaded",
          {{"error", kStorageErrorNames.Name(std::get<StorageError>(rows))}});
      done(std::nullopt);
      return;
    }
    const auto json =
        nlohmann::json::parse(found->front().value, nullptr, false);
    const bool readable = json.is_object() && json.contains("instance") &&
                          json["instance"].is_string() &&
                          json.contains("born") &&
                          json["born"].is_number_unsigned();
    if (!readable) {
      done(std::nullopt);
      return;
    }
    const Deregistration stored{json["instance"].get<std::string>(),
                                json["born"].get<std::uint64_t>()};
    if (!this->latest) this->latest = stored;
    done(stored);
  });
}

}  // namespace pollenring
