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

namespace pollenring {

class Loop;

/*! @brief Why a call brought no whole answer. */
enum class CallError {
  kNotConnected,   /*!< Nothing was sent. */
  kConnectRefused, /*!< Nothing was sent; nobody listens there. */
  kBroken,         /*!< Sent, but the answer is missing or incomplete. */
  kTooLarge,       /*!< The answer exceeds the limit. */
  kTimedOut        /*!< Sent, but no answer came in time. */
};

/*! @brief Names of call errors. */
inline constexpr EnumTable<CallError, 5> kCallErrorNames{{{
    {CallError::kNotConnected, "not connected"},
    {CallError::kConnectRefused, "connection refused"},
    {CallError::kBroken, "broken answer"},
    {CallError::kTooLarge, "answer too large"},
    {CallError::kTimedOut, "timed out"},
}}};

/*! @brief Whether a call ended before anything of it was sent. @param error
 * How it ended. @return So. */
[[nodiscard]] constexpr bool WasNotSent(CallError error) noexcept {
  return error == CallError::kNotConnected ||
         error == CallError::kConnectRefused;
}

/*! @brief Bounds on what a client holds of its peers' answers. */
struct HttpClientLimits {
  std::size_t max_body_bytes{}; /*!< Of one answer. */
  /*! @brief Of all answers that are not whole yet; beyond it, the call whose
   * answer holds most fails. */
  std::size_t max_held_bytes{std::size_t{32} * 1024 * 1024};
};

/*! @brief A header that an answer repeats from its request; an answer with
 * another value belongs to another request. */
struct CorrelationHeader {
  std::string name; /*!< In lower case; empty for no check. */
  std::string value;
};

/**
 * @brief An HTTP/1.1 client for whole messages, with pooled connections.
 *
 * A connection that has carried bytes beyond its one answer is not used again.
 * An answer without a length is whole only when its connection ends orderly.
 */
class HttpClient {
 public:
  using Reply = Result<HttpResponse, CallError>;
  using Done = std::function<void(Reply)>;
  using CallId = std::uint64_t;

  /**
   * @brief Creates a client.
   * @param loop The loop.
   * @param limits Bounds on answers.
   */
  HttpClient(Loop &loop, const HttpClientLimits &limits);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /**
   * @brief Sends a request.
   * @param to Peer.
   * @param request The request; framing headers are added.
   * @param timeout Longest wait for the whole answer.
   * @param done Called exactly once unless the call is cancelled; never from
   * within `Call`.
   * @param mark What the answer must repeat, if it says anything of it.
   * @return Handle for `Cancel`.
   */
  CallId Call(const Address &to, const HttpRequest &request, Duration timeout,
              Done done, CorrelationHeader mark = {});

  /**
   * @brief Drops a call and its connection; `done` is not called.
   * @param id The call's handle; one that has ended is ignored.
   */
  void Cancel(CallId id);

  /*! @brief Bytes held of answers that are not whole yet. @return The sum. */
  [[nodiscard]] std::size_t HeldBytes() const noexcept;

  /*! @brief Connections opened so far. @return The count. */
  [[nodiscard]] std::uint64_t Connects() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP_CLIENT_H_
