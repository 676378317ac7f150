#ifndef POLLENRING_MESH_DEPARTURE_STORE_H_
#define POLLENRING_MESH_DEPARTURE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/departures.h"
#include "pollenring/membership/member.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/**
 * @brief Keeps the departures of the local target in the platform's table.
 *
 * A node that restarts may receive a heartbeat that a target sent before it
 * left; the stored row keeps the node from using that instance again. The row
 * is read until the table responds, as an error says nothing about the row, and
 * written until it includes all departures. Each write has the version that was
 * read as its condition, so that none undoes another one, however late the
 * table performs it. One call is in progress at a time.
 */
class DepartureStore {
 public:
  using Loaded = std::function<void(const Departures &)>;

  /**
   * @brief Creates the store.
   * @param self This node; a restart keeps its address.
   * @param table Table that holds the row.
   * @param clock Clock.
   * @param random Source of jitter.
   */
  DepartureStore(NodeId self, Table &table, const Clock &clock, Random &random);

  /**
   * @brief Starts to read the row.
   * @param loaded Called with the row's departures each time it was read or
   * written.
   */
  void Load(Loaded loaded);

  /*! @brief Repeats failed calls; to be called frequently. */
  void Tick();

  /*! @brief Stores departures. @param departures Added to the row. @return
   * True if there is a new one among them. */
  bool Record(const Departures &departures);

  /*! @brief Reads the row again, and writes it if it lacks a departure, after
   * the table may have lost it. */
  void Refresh();

  /*! @brief Whether the row is known to include a departure. @param departure
   * The departure. @return True once it was read or written with it. */
  [[nodiscard]] bool Stores(const Departure &departure) const {
    return this->stored.Covers(departure.instance, departure.started_at_ms);
  }

 private:
  void Read();
  void HandleRow(const Row &row);
  void Write();
  void HandleWritten(const Table::Written &written,
                     const Departures &departures);
  void Retry();
  /*! @brief Reads again while writes of an earlier process may still be
   * performed. */
  void ScheduleReload();

  std::string key;
  Table &table;
  const Clock &clock;
  Random &random;
  Loaded loaded;
  Departures wanted;                    /*!< All known departures. */
  Departures stored;                    /*!< Known to be in the row. */
  std::optional<std::uint64_t> version; /*!< Of the row; empty if unknown. */
  Time started{};
  Time next_call{};
  Time next_reload{};
  Duration pause; /*!< Before the next attempt. */
  bool calling{};
  bool outdated{}; /*!< The row is to be read. */
  bool reloads{};  /*!< A further read is scheduled. */
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_DEPARTURE_STORE_H_
