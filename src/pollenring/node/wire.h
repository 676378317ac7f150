#ifndef POLLENRING_NODE_WIRE_H_
#define POLLENRING_NODE_WIRE_H_

#include <cstdint>
#include <cstring>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenring/admission/service_failure.h"
#include "pollenring/core/importance.h"
#include "pollenring/core/outcome.h"
#include "pollenring/membership/member.h"
#include "pollenring/net/http_message.h"
#include "pollenring/quarantine/crash_report.h"
#include "pollenring/quarantine/fingerprint.h"
#include "pollenring/routing/load_report.h"
#include "pollenring/wire/codec.h"
#include "pollenring/wire/forms.h"
#include "pollenring/wire/unreadable_log.h"
#include "pollenring/wire/wire_enum.h"

namespace pollenring {

/*! @brief An outcome that this build lacks: a target may have run the call. */
template <>
struct WireEnum<Outcome> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"outcome"};
  static constexpr const auto &kNames = kOutcomeNames;
  static constexpr Outcome kUnknown = Outcome::kUnknown;
};

/*! @brief A reason that this build lacks: the target has too much to do. */
template <>
struct WireEnum<Reason> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"reason"};
  static constexpr const auto &kNames = kReasonNames;
  static constexpr Reason kUnknown = Reason::kOverload;
};

/*! @brief An importance that this build lacks. */
template <>
struct WireEnum<Importance> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"importance"};
  static constexpr const auto &kNames = kImportanceNames;
  static constexpr Importance kUnknown = Importance::kNormal;
};

/*! @brief V1 has no cold or limited targets, quarantine nor withdrawn zones: it
 * tries another target as after an overload, or as after a reply from a
 * draining node. */
template <>
struct Substitute<Reason, WireVersion::kV1> {
  [[nodiscard]] static Reason Write(Reason reason) noexcept {
    if (reason == Reason::kWarmingUp) return Reason::kOverload;
    if (reason == Reason::kTargetLimited) return Reason::kOverload;
    if (reason == Reason::kZoneWithdrawn) return Reason::kLeaving;
    if (reason == Reason::kQuarantined) return Reason::kOverload;
    return reason;
  }
};

/*! @brief A header field between nodes. */
struct WireHeader {
  std::string name;
  std::string value;
};

template <>
struct NumberedLayout<WireHeader> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.name}, Field{2, value.value});
  }
};

template <>
struct ArrayLayout<WireHeader, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.name, value.value);
  }
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
  bool is_retry{}; /*!< A retry, or a call on behalf of one. */
  bool authenticated{
      true}; /*!< The caller itself has shown the workspace's key. */
  double sub_priority{};
  double weight{1}; /*!< Of the workspace, by its rate. */
  std::int32_t depth{};
  std::int64_t remaining_us{};
  std::int64_t root_age_us{};
  std::int64_t soft_deadline_us{}; /*!< Until the call's soft deadline. */
  std::int32_t retries{};
  Fingerprint fingerprint{}; /*!< Does not travel; 0 until it is computed. */
};

template <>
struct NumberedLayout<CallEnvelope> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(
        Field{1, value.root_id}, Field{2, value.workspace},
        Field{3, value.service}, Field{4, value.method}, Field{5, value.path},
        Field{6, value.host}, Field{7, value.route}, Field{8, value.caller},
        Field{9, value.headers}, Field{10, value.regions},
        Field{11, value.importance}, Field{12, value.idempotent},
        Field{13, value.is_retry}, Field{14, value.authenticated},
        Field{15, value.sub_priority}, Field{16, value.weight},
        Field{17, value.depth}, Field{18, value.remaining_us},
        Field{19, value.root_age_us}, Field{20, value.soft_deadline_us},
        Field{21, value.retries});
  }
};

template <>
struct ArrayLayout<CallEnvelope, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.root_id, value.workspace, value.service, value.method,
                    value.path, value.host, value.route, value.caller,
                    value.headers, value.importance, value.idempotent,
                    value.is_retry, value.authenticated, value.sub_priority,
                    value.weight, value.depth, value.remaining_us,
                    value.root_age_us, value.soft_deadline_us, value.retries);
  }
};

template <>
struct ArrayLayout<CallEnvelope, WireVersion::kV2> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(
        value.root_id, value.workspace, value.service, value.method, value.path,
        value.host, value.route, value.caller, value.headers, value.regions,
        value.importance, value.idempotent, value.is_retry, value.authenticated,
        value.sub_priority, value.weight, value.depth, value.remaining_us,
        value.root_age_us, value.soft_deadline_us, value.retries);
  }
};

/*! @brief What is not said must not run twice, and has shown no key. */
template <>
[[nodiscard]] inline CallEnvelope InitialValue<CallEnvelope>() {
  CallEnvelope envelope;
  envelope.idempotent = false;
  envelope.authenticated = false;
  return envelope;
}

/*! @brief Levels travel in thousandths. */
inline constexpr double kLevelScale = 1000;

/*! @brief Priority below which a target would have roots refused early. */
struct AdmissionLevel {
  std::string service;        /*!< Empty for the one that was called. */
  NodeId node{};              /*!< Local to the target; 0: the replying node. */
  std::int32_t level_milli{}; /*!< In thousandths. */
  std::int32_t per_second{};  /*!< Calls that the target is offered. */
  std::int32_t age_ms{};      /*!< Since the target's node found it. */
  bool on_call_path{true}; /*!< Whether the request's call path leads there. */
};

template <>
struct NumberedLayout<AdmissionLevel> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.service}, Field{2, value.node},
                           Field{3, value.level_milli},
                           Field{4, value.per_second}, Field{5, value.age_ms},
                           Field{6, value.on_call_path});
  }
};

template <>
struct ArrayLayout<AdmissionLevel, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.service, value.node, value.level_milli,
                    value.per_second, value.age_ms, value.on_call_path);
  }
};

/*! @brief Whether requests of a route meet a service that sheds. */
struct CallPathReport {
  std::string route;
  std::string service;
  bool on_call_path{};
};

template <>
struct NumberedLayout<CallPathReport> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.route}, Field{2, value.service},
                           Field{3, value.on_call_path});
  }
};

template <>
struct ArrayLayout<CallPathReport, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.route, value.service, value.on_call_path);
  }
};

/*! @brief Header of a reply between nodes, sent before its body. */
struct CallReply {
  Outcome outcome{Outcome::kUnknown};
  Reason reason{Reason::kNone};
  std::int32_t status{};
  std::vector<WireHeader> headers;
  std::int32_t retries_unspent{};
  std::int64_t retry_after_us{};
  LoadReport load;
  std::vector<AdmissionLevel> levels;
  std::vector<CallPathReport>
      call_path_reports; /*!< Of other requests that the node has seen. */
  std::vector<CrashReport> crash_reports; /*!< Of requests like it. */
  std::vector<ServiceFailure> failures;   /*!< Of its call path's services. */
  NodeId served_by{}; /*!< Does not travel; known where the call was sent. */
};

template <>
struct NumberedLayout<CallReply> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(
        Field{1, value.outcome}, Field{2, value.reason}, Field{3, value.status},
        Field{4, value.headers}, Field{5, value.retries_unspent},
        Field{6, value.retry_after_us}, Field{7, value.load},
        Field{8, value.levels}, Field{9, value.call_path_reports},
        Field{10, value.crash_reports}, Field{11, value.failures});
  }
};

template <>
struct ArrayLayout<CallReply, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.outcome, value.reason, value.status, value.headers,
                    value.retries_unspent, value.retry_after_us, value.load,
                    value.levels, value.call_path_reports);
  }
};

/*! @brief The load report has more fields; the reply's own are unchanged. */
template <>
struct ArrayVersion<CallReply> {
  [[nodiscard]] static WireVersion Of(const msgpack::object_array &array) {
    constexpr std::uint32_t kLoad = 6;
    if (array.size <= kLoad) return WireVersion::kV1;
    const msgpack::object &load = array.ptr[kLoad];
    if (load.type != msgpack::type::ARRAY) throw msgpack::type_error{};
    return ArrayVersion<LoadReport>::Of(load.via.array);
  }
};

/*! @brief A message between nodes: fields, then raw bytes. */
template <typename Head>
struct Framed {
  Head head;
  std::string body;
  WireVersion version{kNewestWire}; /*!< Form of the fields. */
};

/**
 * @brief Puts fields before a body.
 * @param head The fields.
 * @param body The body.
 * @param version Form of the fields.
 * @return Both as one text.
 */
template <typename Head>
[[nodiscard]] std::string Frame(const Head &head, std::string_view body,
                                WireVersion version = kNewestWire) {
  const std::string packed = Encode(head, version);
  const auto size = static_cast<std::uint32_t>(packed.size());
  std::string framed(sizeof(size), '\0');
  std::memcpy(framed.data(), &size, sizeof(size));
  framed.reserve(sizeof(size) + packed.size() + body.size());
  framed.append(packed);
  framed.append(body);
  return framed;
}

/**
 * @brief Separates fields and body.
 * @param framed Result of `Frame`.
 * @return Both, or nothing if the text has another format.
 */
template <typename Head>
[[nodiscard]] std::optional<Framed<Head>> Unframe(std::string framed) {
  std::uint32_t size = 0;
  if (framed.size() < sizeof(size)) return std::nullopt;
  std::memcpy(&size, framed.data(), sizeof(size));
  if (framed.size() - sizeof(size) < size) return std::nullopt;
  auto head = Decode<Head>(std::string_view{framed}.substr(sizeof(size), size));
  if (!head) return std::nullopt;
  framed.erase(0, sizeof(size) + size);
  return Framed<Head>{std::move(head->value), std::move(framed), head->version};
}

/**
 * @brief Finds the wire version of the reply to a call that can't be decoded.
 * @param framed The received text.
 * @return The wire version.
 */
[[nodiscard]] inline WireVersion WireVersionOfFrame(std::string_view framed) {
  constexpr std::size_t kSize = sizeof(std::uint32_t);
  return framed.size() > kSize ? InferWireVersion(framed.substr(kSize))
                               : kCommonWire;
}

/*! @brief A call that was received. */
struct ReceivedCall {
  std::optional<Framed<CallEnvelope>> framed; /*!< Nothing if unreadable. */
  WireVersion version{};                      /*!< Of its reply. */
};

/**
 * @brief Decodes a received call, and records one that can't be decoded.
 * @param framed The received text.
 * @param from Where it came from.
 * @param log Where it is noted.
 * @return The call.
 */
[[nodiscard]] inline ReceivedCall ReceiveCall(std::string framed,
                                              const Address &from,
                                              UnreadableLog &log) {
  const std::size_t bytes = framed.size();
  const WireVersion reply_version = WireVersionOfFrame(framed);
  ReceivedCall call{Unframe<CallEnvelope>(std::move(framed)), reply_version};
  if (call.framed) {
    call.version = call.framed->version;
  } else {
    log.Note({from, "call", bytes, std::nullopt});
  }
  return call;
}

}  // namespace pollenring

#endif  // POLLENRING_NODE_WIRE_H_
