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

/*! @brief What the headers of a caller's request say. */
struct CallerRequest {
  std::string id;  /*!< Of this attempt; empty when none is given. */
  std::string key; /*!< Of a workspace; empty when none is given. */
  std::optional<Duration> remaining; /*!< How long the caller still waits. */
  std::vector<WireHeader> headers;   /*!< Those that a target may see. */
};

/*! @brief How callers write requests and read answers. */
class CallerCodec {
 public:
  CallerCodec() = default;
  CallerCodec(const CallerCodec &) = delete;
  CallerCodec &operator=(const CallerCodec &) = delete;
  virtual ~CallerCodec() = default;

  /**
   * @brief Reads a request's headers.
   * @param headers The headers.
   * @return What they say.
   */
  [[nodiscard]] virtual CallerRequest Decode(
      const HttpHeaders &headers) const = 0;

  /**
   * @brief Writes an answer.
   * @param reply The answer; its status is final.
   * @param body Its body.
   * @param id The request's identifier.
   * @return The response.
   */
  [[nodiscard]] virtual HttpResponse Encode(const CallReply &reply,
                                            std::string body,
                                            const std::string &id) const = 0;
};

/*! @brief What a target says of itself from time to time. */
struct Heartbeat {
  Announcement announcement;
  std::uint64_t
      started_at_ms{};      /*!< Unix milliseconds of its start; 0 if unsaid. */
  std::uint64_t sequence{}; /*!< Grows with each heartbeat of one start. */
  bool deregisters{};       /*!< It says only that it leaves. */
};

/*! @brief How targets announce themselves. */
class HeartbeatCodec {
 public:
  HeartbeatCodec() = default;
  HeartbeatCodec(const HeartbeatCodec &) = delete;
  HeartbeatCodec &operator=(const HeartbeatCodec &) = delete;
  virtual ~HeartbeatCodec() = default;

  /**
   * @brief Reads an announcement.
   * @param request The request.
   * @return The heartbeat, or nothing when it can't be read.
   */
  [[nodiscard]] virtual std::optional<Heartbeat> Decode(
      const HttpRequest &request) const = 0;
};

/*! @brief How the operator writes a configuration. */
class PolicyCodec {
 public:
  PolicyCodec() = default;
  PolicyCodec(const PolicyCodec &) = delete;
  PolicyCodec &operator=(const PolicyCodec &) = delete;
  virtual ~PolicyCodec() = default;

  /**
   * @brief Reads a document.
   * @param document Its text.
   * @return The policy, or nothing when it can't be read.
   */
  [[nodiscard]] virtual std::optional<HostPolicy> Decode(
      const std::string &document) const = 0;
};

/*! @brief The operator's document as the store holds it at one moment. */
struct StoredDocument {
  std::uint64_t revision{};        /*!< Of the store's history. */
  std::optional<std::string> text; /*!< Nothing when it has not changed. */
  /*! @brief Zones that have changed; after a read, all that are withdrawn. */
  std::vector<ZoneChange> zones;
};

/*! @brief Where the operator's document lies. */
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
   * @param after Position after which changes count.
   * @param longest Longest wait of the store.
   * @param done Called once; `kNotFound` when that position is forgotten.
   */
  virtual void Await(std::uint64_t after, Duration longest, Done done) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_CODECS_H_
