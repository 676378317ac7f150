#ifndef POLLENRING_NODE_WIRE_H_
#define POLLENRING_NODE_WIRE_H_

#include <cstdint>
#include <cstring>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenring/core/importance.h"
#include "pollenring/core/outcome.h"
#include "pollenring/membership/member.h"
#include "pollenring/net/http_message.h"
#include "pollenring/routing/load_report.h"

MSGPACK_ADD_ENUM(pollenring::Outcome)
MSGPACK_ADD_ENUM(pollenring::Reason)
MSGPACK_ADD_ENUM(pollenring::Importance)

namespace pollenring {

/*! @brief A header field between nodes. */
struct WireHeader {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/*! @brief What travels with a call from node to node, before its body. */
struct CallEnvelope {
  std::string root_id;
  std::string workspace;
  std::string service;
  std::string method;
  std::string path;
  std::string host;   /*!< Empty where routes are found by path alone. */
  std::string route;  /*!< Its name; empty where routes have none. */
  std::string caller; /*!< Service on whose VM the call began; may be empty. */
  std::vector<WireHeader> headers;
  std::vector<std::string> regions; /*!< Where it may run; empty: anywhere. */
  Importance importance{Importance::kNormal};
  bool idempotent{true};
  bool repeat{};    /*!< A retry, or a call on behalf of one. */
  bool keyed{true}; /*!< The caller itself has shown the workspace's key. */
  double lot{};
  double weight{1}; /*!< The workspace's part of what is left. */
  std::int32_t depth{};
  std::int64_t remaining_us{};
  std::int64_t root_age_us{};
  std::int64_t aim_us{}; /*!< Until the aim of the call itself. */
  std::int32_t retries{};
  MSGPACK_DEFINE(root_id, workspace, service, method, path, host, route, caller,
                 headers, regions, importance, idempotent, repeat, keyed, lot,
                 weight, depth, remaining_us, root_age_us, aim_us, retries)
};

/*! @brief Levels travel in thousandths. */
inline constexpr double kLevelScale = 1000;

/*! @brief Priority below which a target would have roots refused early. */
struct ServiceLevel {
  std::string service; /*!< Empty for the one that was called. */
  NodeId node{};       /*!< Beside the target; 0 for the one that answers. */
  std::int32_t level_milli{}; /*!< In thousandths. */
  std::int32_t per_second{};  /*!< Calls that the target is offered. */
  std::int32_t age_ms{};      /*!< Since the target's node found it. */
  bool on_way{true}; /*!< Whether the answered request's way leads there. */
  MSGPACK_DEFINE(service, node, level_milli, per_second, age_ms, on_way)
};

/*! @brief Whether requests of a route meet a service that sheds. */
struct WayMark {
  std::string route;
  std::string service;
  bool meets{};
  MSGPACK_DEFINE(route, service, meets)
};

/*! @brief What travels with an answer from node to node, before its body. */
struct CallReply {
  Outcome outcome{Outcome::kUnknown};
  Reason reason{Reason::kNone};
  std::int32_t status{};
  std::vector<WireHeader> headers;
  std::int32_t retries_unspent{};
  std::int64_t retry_after_us{};
  LoadReport load;
  std::vector<ServiceLevel> levels;
  std::vector<WayMark> marks; /*!< Of other requests that the node has seen. */
  NodeId served_by{}; /*!< Does not travel; known where the call was sent. */
  MSGPACK_DEFINE(outcome, reason, status, headers, retries_unspent,
                 retry_after_us, load, levels, marks)
};

/*! @brief A message between nodes: fields, then raw bytes. */
template <typename Head>
struct Framed {
  Head head;
  std::string body;
};

/**
 * @brief Packs a structure.
 * @param value The structure.
 * @return Its bytes.
 */
template <typename Value>
[[nodiscard]] std::string Pack(const Value &value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

/**
 * @brief Unpacks a structure.
 * @param bytes Its bytes.
 * @return The structure, or nothing when the bytes are of another form.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> Unpack(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<Value>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/**
 * @brief Puts fields before a body.
 * @param head The fields.
 * @param body The body.
 * @return Both as one text.
 */
template <typename Head>
[[nodiscard]] std::string Frame(const Head &head, std::string_view body) {
  const std::string packed = Pack(head);
  const auto size = static_cast<std::uint32_t>(packed.size());
  std::string framed(sizeof(size), '\0');
  std::memcpy(framed.data(), &size, sizeof(size));
  framed.reserve(sizeof(size) + packed.size() + body.size());
  framed.append(packed);
  framed.append(body);
  return framed;
}

/**
 * @brief Takes fields and body apart.
 * @param framed What `Frame` made.
 * @return Both, or nothing when the text is of another form.
 */
template <typename Head>
[[nodiscard]] std::optional<Framed<Head>> Unframe(std::string framed) {
  std::uint32_t size = 0;
  if (framed.size() < sizeof(size)) return std::nullopt;
  std::memcpy(&size, framed.data(), sizeof(size));
  if (framed.size() - sizeof(size) < size) return std::nullopt;
  auto head = Unpack<Head>(std::string_view{framed}.substr(sizeof(size), size));
  if (!head) return std::nullopt;
  framed.erase(0, sizeof(size) + size);
  return Framed<Head>{std::move(*head), std::move(framed)};
}

}  // namespace pollenring

#endif  // POLLENRING_NODE_WIRE_H_
