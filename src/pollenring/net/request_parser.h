#ifndef POLLENRING_NET_REQUEST_PARSER_H_
#define POLLENRING_NET_REQUEST_PARSER_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_message.h"

namespace pollenring::internal {

/*! @brief Progress of a request. */
enum class RequestState {
  kPartial,
  kComplete,
  kRefused /*!< Invalid or beyond a limit; see `RefusalStatus`. */
};

/*! @brief Names of the states. */
inline constexpr EnumTable<RequestState, 3> kRequestStateNames{{{
    {RequestState::kPartial, "partial"},
    {RequestState::kComplete, "complete"},
    {RequestState::kRefused, "refused"},
}}};

/*! @brief Limits of one request. */
struct RequestLimits {
  std::size_t max_head_bytes{}; /*!< Also of a chunk's head and of trailers. */
  std::size_t max_fields{};     /*!< Of head and trailers together. */
  std::size_t max_body_bytes{};
};

/**
 * @brief Parses HTTP/1.x requests incrementally and strictly, one at a time.
 *
 * Lines end with CRLF. Names and values are checked as in `ResponseParser`; a
 * body has either one Content-Length or the coding `chunked`, the latter only
 * in HTTP/1.1. Trailers are checked and dropped.
 */
class RequestParser {
 public:
  /**
   * @brief Creates a parser that awaits the first byte.
   * @param limits The limits.
   */
  explicit RequestParser(const RequestLimits &limits);
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;
  ~RequestParser();

  /**
   * @brief Parses bytes; stops after the last byte of the request.
   *
   * Bytes that were not consumed while the request is partial have to be given
   * again, together with those that follow them.
   * @param bytes The bytes.
   * @param size Their number.
   * @return Bytes consumed.
   */
  std::size_t Feed(const char *bytes, std::size_t size);

  /*! @brief Awaits the first byte of another request. */
  void Reset();

  [[nodiscard]] RequestState State() const noexcept { return this->state; }

  /*! @brief Status of the refusal: 400, 413, 417 or 431. */
  [[nodiscard]] int RefusalStatus() const noexcept {
    return this->refusal_status;
  }

  /*! @brief Whether the head is complete. */
  [[nodiscard]] bool HasHead() const noexcept {
    return this->native != nullptr;
  }

  /*! @brief Whether the caller waits for 100 (continue) before the body. */
  [[nodiscard]] bool AwaitsContinue() const noexcept;

  /*! @brief Whether the connection persists after this request. */
  [[nodiscard]] bool KeepsAlive() const noexcept;

  /*! @brief Whether the request's version is 1.0. */
  [[nodiscard]] bool IsVersion10() const noexcept { return this->version10; }

  /*! @brief Bytes of the request that the parser holds. */
  [[nodiscard]] std::size_t BufferedBytes() const noexcept {
    return this->head_bytes + this->request.body.size();
  }

  /*! @brief The request without framing headers, valid once complete. */
  [[nodiscard]] HttpRequest &Request() noexcept { return this->request; }

 private:
  class Native;

  std::size_t FindHead(const char *bytes, std::size_t size);
  void Parse(const char *bytes, std::size_t size, std::size_t &used);
  void Refuse(int status);

  RequestLimits limits;
  std::unique_ptr<Native> native; /*!< From the end of the head. */
  RequestState state{RequestState::kPartial};
  int refusal_status{};
  std::size_t scanned{};    /*!< Bytes of the head searched for its end. */
  std::size_t line_start{}; /*!< Start of the head's last line. */
  std::size_t head_bytes{};
  bool expects_continue{};
  bool version10{};
  HttpRequest request;
};

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_REQUEST_PARSER_H_
