#ifndef POLLENRING_TEST_SUPPORT_FAULTY_CODECS_H_
#define POLLENRING_TEST_SUPPORT_FAULTY_CODECS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/codecs.h"
#include "pollenring/core/invariant.h"
#include "pollenring/net/http_message.h"

namespace support {

/*! @brief Identifier of a request whose answer can't be handled. */
inline constexpr const char *kHandlingFails = "fails-inside";
/*! @brief Identifier of a request whose answer shows a rule broken. */
inline constexpr const char *kViolatesInvariant = "breaks-rule";

/*! @brief Identifier of a request whose answer can't be written. */
inline constexpr const char *kResponseNotEncodable = "unwritable";
/*! @brief Identifier of a request that can't be answered in any way. */
inline constexpr const char *kNoResponseEncodable = "unanswerable";
/*! @brief Identifier of a request that can't be written for a target. */
inline constexpr const char *kRequestNotEncodable = "unsendable";
/*! @brief Begins identifiers of requests whose answers can't be passed on. */
inline constexpr std::string_view kResponseNotForwardable = "unpassable";

/*! @brief The platform's codec, with errors in reading some answers. */
class FaultyTargetCodec final : public pollenring::TargetCodec {
 public:
  void AddHeaders(const pollenring::TargetCall &call,
                  pollenring::HttpRequest &request) const override {
    if (call.envelope.root_id == kRequestNotEncodable) {
      throw std::out_of_range{"request can't be encoded"};
    }
    this->codec.AddHeaders(call, request);
  }
  [[nodiscard]] pollenring::CorrelationHeader CorrelationHeaderOf(
      const pollenring::CallEnvelope &envelope) const override {
    return this->codec.CorrelationHeaderOf(envelope);
  }
  [[nodiscard]] pollenring::ResponseSignals Read(
      const pollenring::CallEnvelope &envelope,
      const pollenring::HttpResponse &response) const override {
    if (envelope.root_id == kHandlingFails) {
      throw std::out_of_range{"response can't be handled"};
    }
    pollenring::Require(envelope.root_id != kViolatesInvariant,
                        "invariant of the test");
    return this->codec.Read(envelope, response);
  }
  [[nodiscard]] std::vector<pollenring::WireHeader> ForwardableResponseHeaders(
      const pollenring::HttpHeaders &headers) const override {
    const auto id = pollenring::FindHeader(headers, "x-pollenring-attempt-id");
    if (id.substr(0, kResponseNotForwardable.size()) ==
        kResponseNotForwardable) {
      throw std::out_of_range{"response can't be forwarded"};
    }
    return this->codec.ForwardableResponseHeaders(headers);
  }

 private:
  pollenring::platform::HttpTargetCodec codec;
};

/*! @brief The platform's codec, unable to write some answers. */
class FaultyCallerCodec final : public pollenring::CallerCodec {
 public:
  [[nodiscard]] pollenring::CallerRequest Decode(
      const pollenring::HttpHeaders &headers) const override {
    return this->codec.Decode(headers);
  }
  [[nodiscard]] pollenring::HttpResponse Encode(
      const pollenring::CallReply &reply, std::string body,
      const std::string &id) const override {
    if (id == kResponseNotEncodable &&
        reply.reason == pollenring::Reason::kNone) {
      throw std::out_of_range{"response can't be encoded"};
    }
    if (id == kNoResponseEncodable) {
      throw std::out_of_range{"no response can be encoded"};
    }
    return this->codec.Encode(reply, std::move(body), id);
  }

 private:
  pollenring::platform::HttpCallerCodec codec;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_FAULTY_CODECS_H_
