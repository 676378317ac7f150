#ifndef POLLENRING_NET_RESPONSE_PARSER_H_
#define POLLENRING_NET_RESPONSE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_message.h"

namespace pollenring {

/*! @brief What made a response unusable. */
enum class ResponseFault {
  kNone,
  kReset,         /*!< The connection failed. */
  kTruncated,     /*!< The connection ended orderly before the response. */
  kInvalidHead,   /*!< Not HTTP/1.x, or an invalid header field. */
  kInvalidStatus, /*!< Not a status that a response may have here. */
  kCoding,        /*!< Invalid framing, or a coding that isn't understood. */
  kForeign        /*!< Only responses to other requests. */
};

inline constexpr std::size_t kResponseFaults = 7;

/*! @brief Names of the faults, for logs and metrics. */
inline constexpr EnumTable<ResponseFault, kResponseFaults> kResponseFaultNames{
    {{
        {ResponseFault::kNone, "none"},
        {ResponseFault::kReset, "reset"},
        {ResponseFault::kTruncated, "truncated"},
        {ResponseFault::kInvalidHead, "invalid-head"},
        {ResponseFault::kInvalidStatus, "invalid-status"},
        {ResponseFault::kCoding, "coding"},
        {ResponseFault::kForeign, "foreign"},
    }}};

}  // namespace pollenring

namespace pollenring::internal {

/*! @brief Progress of a response. */
enum class ResponseState {
  kPartial,
  kComplete,
  kInvalid, /*!< Not an HTTP response, or truncated. */
  kTooLarge /*!< Its body exceeds the limit. */
};

/*! @brief Names of the states. */
inline constexpr EnumTable<ResponseState, 4> kResponseStateNames{{{
    {ResponseState::kPartial, "partial"},
    {ResponseState::kComplete, "whole"},
    {ResponseState::kInvalid, "broken"},
    {ResponseState::kTooLarge, "too large"},
}}};

/**
 * @brief Parses one HTTP/1.x response incrementally and strictly.
 *
 * A response is complete and valid if
 * - its version is 1.0 or 1.1 and its status has three digits, 200 to 599;
 *   interim responses 100, 102 and 103 before it are skipped, others are
 *   invalid;
 * - header names are tokens and values hold no control byte but tab (RFC 9110,
 *   5.6.2 and 5.5); folded values are invalid;
 * - at most one Content-Length states its body's size, or Transfer-Encoding is
 *   `chunked` and nothing else, never both;
 * - a body with neither ends with the connection, orderly: `End` must be called
 *   only if nothing failed on it before, the write of the request included.
 */
class ResponseParser {
 public:
  /**
   * @brief Creates a parser that awaits the first byte.
   * @param head_only Whether the response has no body, as for `HEAD`.
   * @param max_body_bytes Maximum body size.
   */
  ResponseParser(bool head_only, std::size_t max_body_bytes);
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;
  ~ResponseParser();

  /**
   * @brief Parses bytes; stops after the last byte of the response.
   *
   * Bytes that were not consumed while the response is partial have to be given
   * again, together with those that follow them.
   * @param bytes The bytes.
   * @param size Their number.
   * @return Bytes consumed.
   */
  std::size_t Feed(const char *bytes, std::size_t size);

  /*! @brief Handles the orderly end of the connection. */
  void End();

  [[nodiscard]] ResponseState State() const noexcept { return this->state; }

  /*! @brief Why the response is invalid. */
  [[nodiscard]] ResponseFault Fault() const noexcept { return this->fault; }

  /*! @brief Whether the peer keeps the connection open after this response. */
  [[nodiscard]] bool KeepsAlive() const noexcept { return this->keeps_alive; }

  /*! @brief Buffered bytes of the body. */
  [[nodiscard]] std::size_t BufferedBytes() const noexcept {
    return this->response.body.size();
  }

  /*! @brief How long the peer keeps an idle connection; 0 if not stated. */
  [[nodiscard]] Duration IdleTimeout() const noexcept {
    return this->idle_timeout;
  }

  /*! @brief The response without framing headers, valid once complete. */
  [[nodiscard]] HttpResponse &Response() noexcept { return this->response; }

 private:
  class Native;

  void Reset();
  void StoreField(std::string_view name, std::string_view value);
  void Fail(ResponseFault given);

  std::unique_ptr<Native> native;
  bool head_only;
  std::size_t max_body_bytes;
  ResponseState state{ResponseState::kPartial};
  ResponseFault fault{ResponseFault::kNone};
  bool keeps_alive{};
  Duration idle_timeout{};
  HttpResponse response;
};

/**
 * @brief Checks whether a header concerns one connection only.
 * @param name Its name, in lower case.
 * @return True if the client sets or drops the header itself.
 */
[[nodiscard]] bool IsFraming(std::string_view name) noexcept;

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_RESPONSE_PARSER_H_
