#ifndef POLLENRING_MESH_CODECS_H_
#define POLLENRING_MESH_CODECS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/config/withdrawn_zones.h"
#include "pollenring/contract/host_policy.h"
#include "pollenring/core/result.h"
#include "pollenring/net/http_message.h"
#include "pollenring/node/target_executor.h"
#include "pollenring/node/wire.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Decoded headers of a caller's request. */
struct CallerRequest {
  std::string id;                    /*!< Of this attempt; empty when absent. */
  std::string key;                   /*!< Of a workspace; empty when absent. */
  std::optional<Duration> remaining; /*!< Time until the caller's deadline. */
  std::vector<WireHeader> headers;   /*!< Forwarded to the target. */
};

/*! @brief Decodes requests of callers and encodes responses to them. */
class CallerCodec {
 public:
  CallerCodec() = default;
  CallerCodec(const CallerCodec &) = delete;
  CallerCodec &operator=(const CallerCodec &) = delete;
  virtual ~CallerCodec() = default;

  /**
   * @brief Decodes a request's headers.
   * @param headers The headers.
   * @return The decoded request.
   */
  [[nodiscard]] virtual CallerRequest Decode(
      const HttpHeaders &headers) const = 0;

  /**
   * @brief Encodes a response.
   * @param reply The result of the call; its status is final.
   * @param body Body of the response.
   * @param id Identifier of the request.
   * @return The response.
   */
  [[nodiscard]] virtual HttpResponse Encode(const CallReply &reply,
                                            std::string body,
                                            const std::string &id) const = 0;
};

/*! @brief Periodic state report of a target, or its deregistration. */
struct Heartbeat {
  Announcement announcement;
  std::uint64_t started_at_ms{}; /*!< Start time in Unix ms; 0 if unknown. */
  std::uint64_t sequence{}; /*!< Grows with each heartbeat of an instance. */
  bool deregisters{};       /*!< Deregistration; carries no state. */
};

/*! @brief Decodes heartbeats of targets. */
class HeartbeatCodec {
 public:
  HeartbeatCodec() = default;
  HeartbeatCodec(const HeartbeatCodec &) = delete;
  HeartbeatCodec &operator=(const HeartbeatCodec &) = delete;
  virtual ~HeartbeatCodec() = default;

  /**
   * @brief Decodes a heartbeat.
   * @param request The request.
   * @return The heartbeat, or nothing when it is malformed.
   */
  [[nodiscard]] virtual std::optional<Heartbeat> Decode(
      const HttpRequest &request) const = 0;
};

/*! @brief Decodes the operator's configuration documents. */
class PolicyCodec {
 public:
  PolicyCodec() = default;
  PolicyCodec(const PolicyCodec &) = delete;
  PolicyCodec &operator=(const PolicyCodec &) = delete;
  virtual ~PolicyCodec() = default;

  /**
   * @brief Decodes a document.
   * @param document Text of the document.
   * @return The policy, or nothing when it is malformed.
   */
  [[nodiscard]] virtual std::optional<HostPolicy> Decode(
      const std::string &document) const = 0;
};

/*! @brief The operator's document at one revision of the store. */
struct StoredDocument {
  /*! @brief Rises when the store returns from an older copy, whose revisions
   * are then given out again; 0 where the store has none. */
  std::uint64_t era{};
  std::uint64_t revision{};        /*!< Revision of the store. */
  std::optional<std::string> text; /*!< Empty when unchanged. */
  /*! @brief Changed zones; after a read, all withdrawn zones. */
  std::vector<ZoneChange> zones;
};

/*! @brief Store that holds the operator's document. */
class PolicySource {
 public:
  using Reply = Result<StoredDocument, StorageError>;
  using Done = std::function<void(Reply)>;

  PolicySource() = default;
  PolicySource(const PolicySource &) = delete;
  PolicySource &operator=(const PolicySource &) = delete;
  virtual ~PolicySource() = default;

  /*! @brief Reads the document. @param done Called once. */
  virtual void Read(Done done) = 0;

  /**
   * @brief Waits for a change.
   * @param after Revision after which changes are reported.
   * @param max_wait Maximum wait in the store.
   * @param done Called once; `kNotFound` when the store no longer has that
   * revision.
   */
  virtual void Await(std::uint64_t after, Duration max_wait, Done done) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_CODECS_H_
