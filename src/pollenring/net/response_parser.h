#ifndef POLLENRING_NET_RESPONSE_PARSER_H_
#define POLLENRING_NET_RESPONSE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_message.h"

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

/*! @brief Parses one HTTP/1.1 response incrementally. */
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
  ~ResponseParser() = default;

  /**
   * @brief Parses bytes; stops after the last byte of the response.
   * @param bytes The bytes.
   * @param size Their number.
   * @return Bytes consumed.
   */
  std::size_t Feed(const char *bytes, std::size_t size);

  /*! @brief Handles the orderly end of the connection. */
  void End();

  [[nodiscard]] ResponseState State() const noexcept { return this->state; }

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
  struct Callbacks;

  void Reset();
  void StoreHeader();

  http_parser native{};
  bool head_only;
  std::size_t max_body_bytes;
  ResponseState state{ResponseState::kPartial};
  bool keeps_alive{};
  bool in_value{};
  Duration idle_timeout{};
  std::string name;
  std::string value;
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
