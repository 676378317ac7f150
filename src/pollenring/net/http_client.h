#ifndef POLLENRING_NET_HTTP_CLIENT_H_
#define POLLENRING_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/core/result.h"
#include "pollenring/net/address.h"
#include "pollenring/net/http_message.h"
#include "pollenring/net/response_parser.h"

namespace pollenring {

class BufferBudget;
class Loop;

/*! @brief Why a call got no complete response. */
enum class CallError {
  kNotConnected,     /*!< Nothing was sent. */
  kConnectRefused,   /*!< Nothing was sent; no process listens there. */
  kInvalidResponse,  /*!< Sent, but the response is missing, malformed or
                        truncated. */
  kResponseTooLarge, /*!< The response exceeds the limit. */
  kTimedOut          /*!< Sent, but no response arrived in time. */
};

/*! @brief Names of call errors. */
inline constexpr EnumTable<CallError, 5> kCallErrorNames{{{
    {CallError::kNotConnected, "not connected"},
    {CallError::kConnectRefused, "connection refused"},
    {CallError::kInvalidResponse, "broken answer"},
    {CallError::kResponseTooLarge, "answer too large"},
    {CallError::kTimedOut, "timed out"},
}}};

/*! @brief Whether a call failed before any byte was sent. @param error The
 * call's error. @return True if nothing was sent. */
[[nodiscard]] constexpr bool WasNotSent(CallError error) noexcept {
  return error == CallError::kNotConnected ||
         error == CallError::kConnectRefused;
}

/*! @brief Limits on response bytes that a client buffers. */
struct HttpClientLimits {
  std::size_t max_body_bytes{}; /*!< Of one response. */
  /*! @brief Of all incomplete responses; beyond it, the call with the most
   * buffered bytes fails. */
  std::size_t max_buffered_bytes{std::size_t{32} * 1024 * 1024};
  BufferBudget *budget{}; /*!< Charged with them; null for none. */
};

/**
 * @brief A request header that the response echoes.
 *
 * A response with another value belongs to another request. One with the same
 * value may belong to an earlier sending of the request, so each sending uses a
 * connection of its own.
 */
struct CorrelationHeader {
  std::string name; /*!< In lower case; empty for no check. */
  std::string value;
};

/**
 * @brief An HTTP/1.1 client for complete messages, with pooled connections.
 *
 * A connection that carried bytes beyond its one response is not reused.
 * A response without a length is complete only if its connection ends orderly,
 * after the whole request has been written; `ResponseParser` defines the rest.
 */
class HttpClient {
 public:
  using Reply = Result<HttpResponse, CallError>;
  using Done = std::function<void(Reply)>;
  using CallId = std::uint64_t;

  /**
   * @brief Creates a client.
   * @param loop The loop.
   * @param limits Limits on buffered responses.
   */
  HttpClient(Loop &loop, const HttpClientLimits &limits);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /**
   * @brief Sends a request.
   * @param to Peer.
   * @param request The request; framing headers are added.
   * @param timeout Maximum wait for the complete response.
   * @param done Called exactly once unless the call is cancelled; never from
   * within `Call`.
   * @param correlation Header that the response must echo if it has that
   * header.
   * @return Handle for `Cancel`.
   */
  CallId Call(const Address &to, const HttpRequest &request, Duration timeout,
              Done done, CorrelationHeader correlation = {});

  /**
   * @brief Drops a call and its connection; `done` is not called.
   * @param id The call's handle; ignored if the call has ended.
   */
  void Cancel(CallId id);

  /*! @brief Buffered bytes of incomplete responses. @return The sum. */
  [[nodiscard]] std::size_t BufferedBytes() const noexcept;

  /**
   * @brief Responses that were unusable so far.
   * @param fault What made them so.
   * @return The count.
   */
  [[nodiscard]] std::uint64_t BrokenResponses(
      ResponseFault fault) const noexcept;

  /*! @brief Connections opened so far. @return The count. */
  [[nodiscard]] std::uint64_t Connects() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP_CLIENT_H_
