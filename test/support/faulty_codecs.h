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
inline constexpr const char *kFailsInside = "fails-inside";
/*! @brief Identifier of a request whose answer shows a rule broken. */
inline constexpr const char *kBreaksRule = "breaks-rule";

/*! @brief Identifier of a request whose answer can't be written. */
inline constexpr const char *kUnwritable = "unwritable";
/*! @brief Identifier of a request that can't be answered in any way. */
inline constexpr const char *kUnanswerable = "unanswerable";
/*! @brief Identifier of a request that can't be written for a target. */
inline constexpr const char *kUnsendable = "unsendable";
/*! @brief Begins identifiers of requests whose answers can't be passed on. */
inline constexpr std::string_view kUnpassable = "unpassable";

/*! @brief The platform's codec, with errors in reading some answers. */
class FaultyTargets final : public pollenring::TargetCodec {
 public:
  void AddHeaders(const pollenring::TargetCall &call,
                  pollenring::HttpRequest &request) const override {
    if (call.envelope.root_id == kUnsendable) {
      throw std::out_of_range{"a request that can't be written"};
    }
    this->sound.AddHeaders(call, request);
  }
  [[nodiscard]] pollenring::CorrelationHeader CorrelationHeaderOf(
      const pollenring::CallEnvelope &envelope) const override {
    return this->sound.CorrelationHeaderOf(envelope);
  }
  [[nodiscard]] pollenring::ResponseSignals Read(
      const pollenring::CallEnvelope &envelope,
      const pollenring::HttpResponse &response) const override {
    if (envelope.root_id == kFailsInside) {
      throw std::out_of_range{"an answer that can't be handled"};
    }
    pollenring::Require(envelope.root_id != kBreaksRule, "a rule of the test");
    return this->sound.Read(envelope, response);
  }
  [[nodiscard]] std::vector<pollenring::WireHeader> ForwardableResponseHeaders(
      const pollenring::HttpHeaders &headers) const override {
    const auto id = pollenring::FindHeader(headers, "x-pollenring-attempt-id");
    if (id.substr(0, kUnpassable.size()) == kUnpassable) {
      throw std::out_of_range{"an answer that can't be passed on"};
    }
    return this->sound.ForwardableResponseHeaders(headers);
  }

 private:
  pollenring::platform::HttpTargetCodec sound;
};

/*! @brief The platform's codec, unable to write some answers. */
class FaultyCallers final : public pollenring::CallerCodec {
 public:
  [[nodiscard]] pollenring::CallerRequest Decode(
      const pollenring::HttpHeaders &headers) const override {
    return this->sound.Decode(headers);
  }
  [[nodiscard]] pollenring::HttpResponse Encode(
      const pollenring::CallReply &reply, std::string body,
      const std::string &id) const override {
    if (id == kUnwritable && reply.reason == pollenring::Reason::kNone) {
      throw std::out_of_range{"an answer that can't be written"};
    }
    if (id == kUnanswerable) {
      throw std::out_of_range{"no answer can be written"};
    }
    return this->sound.Encode(reply, std::move(body), id);
  }

 private:
  pollenring::platform::HttpCallerCodec sound;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_FAULTY_CODECS_H_
