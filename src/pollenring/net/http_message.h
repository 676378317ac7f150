#ifndef POLLENRING_NET_HTTP_MESSAGE_H_
#define POLLENRING_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace pollenring {

/*! @brief One header field; names are in lower case. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/*! @brief The header fields of a message. */
using HttpHeaders = std::vector<HttpHeader>;

/**
 * @brief Finds a header's value.
 * @param headers The header fields.
 * @param name Name in lower case.
 * @return The first value of that name, or an empty view.
 */
[[nodiscard]] inline std::string_view FindHeader(
    const HttpHeaders &headers, std::string_view name) noexcept {
  for (const auto &header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

/*! @brief A complete request. */
struct HttpRequest {
  std::string method;
  std::string path;
  HttpHeaders headers;
  std::string body;
  std::string host{}; /*!< Value of the `host` header. */
};

/*! @brief A complete response. */
struct HttpResponse {
  int status{};
  HttpHeaders headers;
  std::string body;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP_MESSAGE_H_
