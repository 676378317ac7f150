#include "pollenring/mesh/departure_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "pollenring/log/log.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

using Json = nlohmann::json;

/*! @brief Mean pause after a failed call; doubles with each further failure. */
constexpr Duration kFirstPause = std::chrono::milliseconds{100};
/*! @brief Longest mean pause: a store that is back is used within 1.5 s. */
constexpr Duration kMaxPause = std::chrono::seconds{1};
/*! @brief Pause before the row is read again after a start; doubles. */
constexpr Duration kFirstReload = std::chrono::seconds{2};
/*! @brief Age from which no write of an earlier process is expected: the table
 * may perform one seconds after its sender gave up. */
constexpr Duration kLateWriteTime = std::chrono::seconds{10};

[[nodiscard]] std::optional<Departure> ParseDeparture(const Json &json) {
  const bool readable = json.is_object() && json.contains("instance") &&
                        json["instance"].is_string() && json.contains("born") &&
                        json["born"].is_number_unsigned();
  if (!readable) return std::nullopt;
  return Departure{json["instance"].get<std::string>(),
                   json["born"].get<std::uint64_t>()};
}

[[nodiscard]] Json ToJson(const Departure &departure) {
  return {{"instance", departure.instance}, {"born", departure.started_at_ms}};
}

/*! @brief Decodes a row; those of older builds hold one departure. */
[[nodiscard]] Departures ParseRow(const std::string &text) {
  Departures departures;
  const Json json = Json::parse(text, nullptr, false);
  if (const auto latest = ParseDeparture(json)) departures.Add(*latest);
  if (!json.is_object() || !json.contains("departed")) return departures;
  for (const auto &item : json["departed"]) {
    if (const auto departure = ParseDeparture(item)) departures.Add(*departure);
  }
  return departures;
}

/*! @brief Encodes a row; older builds read the first departure alone. */
[[nodiscard]] std::string FormatRow(const Departures &departures) {
  Json json = ToJson(departures.Entries().front());
  json["departed"] = Json::array();
  for (const auto &entry : departures.Entries())
    json["departed"].push_back(ToJson(entry));
  return json.dump();
}

}  // namespace

DepartureStore::DepartureStore(NodeId self, Table &table, const Clock &clock,
                               Random &random)
    : key{"departed/" + AddressOf(self).Format()},
      table{table},
      clock{clock},
      random{random},
      started{clock.Now()},
      pause{kFirstPause} {}

void DepartureStore::Load(Loaded given) {
  this->loaded = std::move(given);
  this->Refresh();
  this->ScheduleReload();
}

void DepartureStore::Refresh() {
  this->version.reset();
  this->stored = {};
  this->outdated = true;
  this->Tick();
}

void DepartureStore::ScheduleReload() {
  const Duration age = this->clock.Now() - this->started;
  this->reloads = age < kLateWriteTime;
  this->next_reload =
      this->clock.Now() + WithJitter(std::max(age, kFirstReload), this->random);
}

void DepartureStore::Tick() {
  const Time now = this->clock.Now();
  if (this->calling || now < this->next_call) return;
  if (this->reloads && now >= this->next_reload) {
    this->outdated = true;
    this->ScheduleReload();
  }
  const bool lacking = !this->stored.Includes(this->wanted);
  if (this->outdated || (lacking && !this->version)) {
    this->Read();
  } else if (lacking) {
    this->Write();
  }
}

void DepartureStore::Read() {
  this->calling = true;
  this->outdated = false;
  this->table.Read({this->key}, [this](Table::Rows rows) {
    this->calling = false;
    if (const auto *found = std::get_if<std::vector<Row>>(&rows)) {
      this->pause = kFirstPause;
      this->HandleRow(found->front());
      this->Tick();
      return;
    }
    LogEvent(
        LogLevel::kWarning, "departures not loaded",
        {{"error", kStorageErrorNames.Name(std::get<StorageError>(rows))}});
    this->outdated = true;
    this->Retry();
  });
}

void DepartureStore::Retry() {
  this->next_call = this->clock.Now() + WithJitter(this->pause, this->random);
  this->pause = std::min(2 * this->pause, kMaxPause);
}

void DepartureStore::HandleRow(const Row &row) {
  this->version = row.version;
  this->stored = ParseRow(row.value);
  this->wanted.Merge(this->stored);
  this->loaded(this->stored);
}

bool DepartureStore::Record(const Departures &departures) {
  if (!this->wanted.Merge(departures)) return false;
  this->Tick();
  return true;
}

void DepartureStore::Write() {
  this->calling = true;
  const RowCondition condition{this->key, *this->version};
  // The version after a write is not reported.
  this->version.reset();
  this->table.Write(
      {condition}, {{this->key, FormatRow(this->wanted)}},
      [this, condition, departures = this->wanted](Table::Written written) {
        this->calling = false;
        const auto *error = std::get_if<StorageError>(&written);
        const bool unchanged =
            error != nullptr && *error == StorageError::kUnavailable;
        if (unchanged) this->version = condition.version;
        this->HandleWritten(written, departures);
      });
}

void DepartureStore::HandleWritten(const Table::Written &written,
                                   const Departures &departures) {
  const auto *error = std::get_if<StorageError>(&written);
  if (error != nullptr) {
    LogEvent(LogLevel::kWarning, "departures not stored",
             {{"error", kStorageErrorNames.Name(*error)}});
  }
  const bool conflict = error == nullptr && std::get<WriteResult>(written) ==
                                                WriteResult::kConflict;
  if (error != nullptr || conflict) {
    this->Retry();
    return;
  }
  this->stored = departures;
  this->pause = kFirstPause;
  this->loaded(this->stored);
  this->Tick();
}

}  // namespace pollenring
