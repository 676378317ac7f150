#ifndef POLLENRING_NODE_HEADERS_H_
#define POLLENRING_NODE_HEADERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "pollenring/contract/contract.h"
#include "pollenring/core/clock.h"
#include "pollenring/net/http_message.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/*! @brief Headers that callers, targets and nodes use with each other. */
inline constexpr std::string_view kInternalPrefix = "pollenring-";
inline constexpr std::string_view kKeyHeader = "pollenring-key";
inline constexpr std::string_view kRequestIdHeader = "pollenring-request-id";
inline constexpr std::string_view kContextHeader = "pollenring-context";
inline constexpr std::string_view kDeadlineHeader = "pollenring-deadline-ms";
inline constexpr std::string_view kWorkspaceHeader = "pollenring-workspace";
inline constexpr std::string_view kOutcomeHeader = "pollenring-outcome";
inline constexpr std::string_view kReasonHeader = "pollenring-reason";
inline constexpr std::string_view kRetryAfterMsHeader =
    "pollenring-retry-after-ms";
inline constexpr std::string_view kSecretHeader = "pollenring-secret";

/**
 * @brief Copies the headers that may be forwarded to a target or caller.
 * @param headers Headers as received.
 * @return All except internal and hop-by-hop headers.
 */
[[nodiscard]] std::vector<WireHeader> ForwardableHeaders(
    const HttpHeaders &headers);

/**
 * @brief Sums the sizes of names and values.
 * @param headers The headers.
 * @return Bytes.
 */
[[nodiscard]] std::size_t HeaderBytes(const HttpHeaders &headers) noexcept;

/*! @brief A request path split into service and remaining path. */
struct ServicePath {
  std::string service;
  std::string path;
};

/**
 * @brief Splits `/service/rest`.
 * @param path The path.
 * @return Service and `/rest`; the service is empty if there is none.
 */
[[nodiscard]] ServicePath SplitServicePath(std::string_view path);

/**
 * @brief Builds the name of a route, unique over all services.
 * @param service The service.
 * @param route Its route.
 * @return The name.
 */
[[nodiscard]] std::string RouteName(const std::string &service,
                                    const Route &route);

/**
 * @brief Builds the response to a caller or a target.
 * @param reply The reply.
 * @param body Its body.
 * @param request_id The request's identifier.
 * @return The response.
 */
[[nodiscard]] HttpResponse ToResponse(const CallReply &reply, std::string body,
                                      const std::string &request_id);

/**
 * @brief Builds the reply to a request that is refused or abandoned.
 * @param outcome What is known of its execution.
 * @param reason Why it is refused or abandoned.
 * @param retry_after Advised wait before a retry; 0 for none.
 * @return The reply.
 */
[[nodiscard]] CallReply Refusal(Outcome outcome, Reason reason,
                                Duration retry_after);

}  // namespace pollenring

#endif  // POLLENRING_NODE_HEADERS_H_
