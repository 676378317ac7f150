#include "pollenring/net/http1_exchange.h"

// Boost's status.hpp uses streams without including them.
#include <boost/beast/http/status.hpp>
#include <ostream>
#include <string_view>
#include <utility>

#include "pollenring/net/http1_connection.h"

namespace pollenring::internal {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::size_t kFieldOverhead = 4; /*!< Colon, blank, line end. */
constexpr std::size_t kFixedHeadBytes = 128;

/*! @brief Whether the connection sets the field itself. */
[[nodiscard]] bool IsOwnField(std::string_view name) noexcept {
  return name == "content-length" || name == "connection" ||
         name == "transfer-encoding";
}

}  // namespace

void Http1Exchange::Send(HttpResponse given) {
  if (this->connection == nullptr || this->state != ExchangeState::kRunning)
    return;
  this->connection->Respond(*this, std::move(given));
}

void Http1Exchange::OnCancel(Cancelled callback) {
  if (this->connection == nullptr || this->state != ExchangeState::kRunning)
    return;
  this->cancelled = std::move(callback);
}

void Http1Exchange::SerializeHead(bool closes) {
  std::size_t size = kFixedHeadBytes;
  for (const auto &[name, value] : this->response.headers)
    size += name.size() + value.size() + kFieldOverhead;
  std::string &text = this->head;
  text.reserve(size);
  const int status = this->response.status;
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const auto &[name, value] : this->response.headers) {
    if (IsOwnField(name)) continue;
    text.append(name).append(": ").append(value).append("\r\n");
  }
  // RFC 9110, 8.6 and 15.4.5: neither has a body; the length would state
  // another one's.
  if (status == kNoContent || status == kNotModified) {
    this->response.body.clear();
  } else {
    text.append("content-length: ")
        .append(std::to_string(this->response.body.size()))
        .append("\r\n");
  }
  if (this->head_only) this->response.body.clear();
  if (closes) {
    text.append("connection: close\r\n");
  } else if (this->version10) {
    text.append("connection: keep-alive\r\n");
  }
  text.append("\r\n");
}

std::size_t Http1Exchange::ResponseBytes() const noexcept {
  std::size_t size = kFixedHeadBytes + this->response.body.size();
  for (const auto &[name, value] : this->response.headers)
    size += name.size() + value.size() + kFieldOverhead;
  return size;
}

}  // namespace pollenring::internal
