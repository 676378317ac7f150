#ifndef POLLENRING_MESH_DEREGISTRATION_LOG_H_
#define POLLENRING_MESH_DEREGISTRATION_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pollenring/membership/member.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief An instance of a target that drains or has deregistered. */
struct Deregistration {
  std::string instance;
  std::uint64_t started_at_ms{}; /*!< Start time in Unix ms; 0 if unknown. */
};

/**
 * @brief Stores the latest deregistration of the local target.
 *
 * A node that restarts may receive a heartbeat that the target sent before it
 * deregistered; the stored row keeps the node from using that instance again.
 * Only the latest row is kept, as a node has one local target at a time.
 */
class DeregistrationLog {
 public:
  using Done = std::function<void(std::optional<Deregistration>)>;

  /**
   * @brief Creates the log.
   * @param self This node; a restart keeps its address.
   * @param table Table that holds the row.
   */
  DeregistrationLog(NodeId self, Table &table);

  /*! @brief Stores a deregistration. @param deregistration The deregistration.
   */
  void Record(const Deregistration &deregistration);

  /*! @brief Stores the latest deregistration again, if there is one, after the
   * table may have lost it. */
  void RecordAgain();

  /**
   * @brief Reads the latest deregistration.
   * @param done Called once; with nothing when none is stored or the table is
   * unavailable.
   */
  void Read(const Done &done);

 private:
  std::string key;
  Table &table;
  std::optional<Deregistration> latest; /*!< Recorded here, or read. */
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_DEREGISTRATION_LOG_H_
