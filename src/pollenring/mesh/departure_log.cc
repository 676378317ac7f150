#include "pollenring/mesh/departure_log.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "pollenring/log/log.h"

namespace pollenring {

DepartureLog::DepartureLog(NodeId self, Table &table)
    : key{"departed/" + AddressOf(self).Format()}, table{table} {}

void DepartureLog::Record(const Departure &departure) {
  const nlohmann::json row{{"instance", departure.instance},
                           {"born", departure.born}};
  this->table.Write({}, {{this->key, row.dump()}},
                    [instance = departure.instance](Table::Written written) {
                      const auto *error = std::get_if<StorageError>(&written);
                      if (error == nullptr) return;
                      // This process still has it in memory; only a restart
                      // would lose it.
                      LogEvent(LogLevel::kWarning, "departure not kept",
                               {{"instance", instance},
                                {"error", kStorageErrorNames.Name(*error)}});
                    });
}

void DepartureLog::Read(const Done &done) {
  this->table.Read({this->key}, [done](Table::Rows rows) {
    const auto *found = std::get_if<std::vector<Row>>(&rows);
    if (found == nullptr) {
      LogEvent(
          LogLevel::kWarning, "departures unread",
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
    done(Departure{json["instance"].get<std::string>(),
                   json["born"].get<std::uint64_t>()});
  });
}

}  // namespace pollenring
