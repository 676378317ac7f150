#ifndef POLLENRING_MESH_OUTBOUND_ENTRY_H_
#define POLLENRING_MESH_OUTBOUND_ENTRY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "pollenring/mesh/outbound.h"

namespace pollenring {

/*! @brief A request and its state. */
struct Outbound::Entry {
  CallEnvelope envelope;
  std::string body;
  std::string id;
  std::string route;
  std::string service;
  std::string workspace;
  Fingerprint fingerprint{};
  std::uint64_t version{};
  Time started{};
  Time deadline{};
  int attempts{1};
  double priority{};
  bool disconnected{};
  bool responded{};
  std::uint64_t call{};         /*!< Of the dispatcher; 0 until it is sent. */
  Loop::TimerId timer{};        /*!< Ends overdue requests. */
  Time timer_at{};              /*!< When it fires. */
  CallPathLevel refusing_level; /*!< What had it refused early. */
  RootChance chance;            /*!< Of completing, if it was refused for it. */
  bool from_target{};     /*!< Of the local target; other callers show keys. */
  std::uint64_t parent{}; /*!< Request of the local target; 0 for none. */
  std::string parent_id;  /*!< Its identifier, for the log. */
  std::shared_ptr<Responder> responder;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_OUTBOUND_ENTRY_H_
