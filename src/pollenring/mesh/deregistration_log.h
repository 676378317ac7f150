#ifndef POLLENRING_MESH_DEREGISTRATION_LOG_H_
#define POLLENRING_MESH_DEREGISTRATION_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pollenring/membership/member.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief One start of a target that has said that it leaves. */
struct Deregistration {
  std::string instance;
  std::uint64_t started_at_ms{}; /*!< Unix time; 0 if unsaid. */
};

/**
 * @brief Remembers beyond this process which target here said that it leaves.
 *
 * A node that starts again beside a leaving target may get an announcement that
 * was sent before; the row tells it not to use that target again. Only the
 * latest deregistration is kept, as one target at a time stands beside a node.
 */
class DeregistrationLog {
 public:
  using Done = std::function<void(std::optional<Deregistration>)>;

  /**
   * @brief Creates the log.
   * @param self This node; it keeps its address over a restart.
   * @param table Where the row lies.
   */
  DeregistrationLog(NodeId self, Table &table);

  /*! @brief Keeps a deregistration. @param deregistration It. */
  void Record(const Deregistration &deregistration);

  /**
   * @brief Reads the latest deregistration.
   * @param done Called once; without one where none is kept, or the table does
   * not answer.
   */
  void Read(const Done &done);

 private:
  std::string key;
  Table &table;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_DEREGISTRATION_LOG_H_
