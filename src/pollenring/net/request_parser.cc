#include "pollenring/net/request_parser.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cctype>
#include <cstdint>
#include <cstring>
#include <functional>
#include <limits>
#include <utility>

namespace pollenring::internal {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kExpectationFailed = 417;
constexpr int kFieldsTooLarge = 431;
constexpr int kVersion10 = 10;

}  // namespace

/**
 * @brief Boost.Beast's parser with the checks that it leaves to its users:
 * codings, repeated lengths and hosts, folded values, the number of fields.
 */
class RequestParser::Native final : public http::basic_parser<true> {
 public:
  explicit Native(RequestParser &owner) : owner{owner} {
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    // Bytes behind a chunk's head are parsed in the same call.
    this->eager(true);
  }

  /*! @brief Parses bytes. @return Bytes consumed. */
  std::size_t Parse(const char *bytes, std::size_t size, error_code &error) {
    this->input = {bytes, size};
    return this->put(boost::asio::const_buffer{bytes, size}, error);
  }

 private:
  void on_request_impl(http::verb /*method*/, string_view method,
                       string_view target, int version,
                       error_code & /*error*/) override {
    this->owner.request.method.assign(method.data(), method.size());
    this->owner.request.path.assign(target.data(), target.size());
    this->owner.version10 = version == kVersion10;
  }

  void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/,
                        error_code & /*error*/) override {}

  void on_field_impl(http::field field, string_view name, string_view value,
                     error_code &error) override {
    // The parser unfolds into a buffer of its own.
    const std::less<const char *> before;
    const bool folded =
        before(value.data(), this->input.data()) ||
        before(this->input.data() + this->input.size(), value.data());
    if (folded) {
      error = http::error::bad_field;
      return;
    }
    if (++this->fields > this->owner.limits.max_fields) {
      this->owner.Refuse(kFieldsTooLarge);
      error = http::error::header_limit;
      return;
    }
    if (this->in_trailer) return;
    switch (field) {
      case http::field::content_length:
        if (++this->lengths > 1 || value.find(',') != string_view::npos)
          error = http::error::bad_content_length;
        return;
      case http::field::transfer_encoding:
        if (this->owner.version10 || !boost::beast::iequals(value, "chunked"))
          error = http::error::bad_transfer_encoding;
        return;
      case http::field::host:
        if (++this->hosts > 1) error = http::error::bad_field;
        this->owner.request.host.assign(value.data(), value.size());
        return;
      case http::field::expect:
        if (boost::beast::iequals(value, "100-continue")) {
          this->owner.expects_continue = !this->owner.version10;
          return;
        }
        this->owner.Refuse(kExpectationFailed);
        error = http::error::bad_field;
        return;
      case http::field::upgrade:
        return;
      default:
        break;
    }
    HttpHeader header{{name.data(), name.size()}, {value.data(), value.size()}};
    std::transform(
        header.name.begin(), header.name.end(), header.name.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    this->owner.request.headers.push_back(std::move(header));
  }

  void on_header_impl(error_code &error) override {
    this->in_trailer = true;
    const auto length = this->content_length();
    if (!length || *length <= this->owner.limits.max_body_bytes) return;
    this->owner.Refuse(kPayloadTooLarge);
    error = http::error::body_limit;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                         error_code & /*error*/) override {}

  std::size_t on_body_impl(string_view body, error_code &error) override {
    std::string &stored = this->owner.request.body;
    const std::size_t size = stored.size() + body.size();
    if (size > this->owner.limits.max_body_bytes) {
      this->owner.Refuse(kPayloadTooLarge);
      error = http::error::body_limit;
      return 0;
    }
    // An announced length bounds the reservation but never causes one.
    if (size > stored.capacity()) {
      const auto length = this->content_length();
      const std::size_t doubled = std::max(size, 2 * stored.capacity());
      stored.reserve(length ? std::min<std::size_t>(doubled, *length)
                            : doubled);
    }
    stored.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code & /*error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                 error_code &error) override {
    return this->on_body_impl(body, error);
  }

  void on_finish_impl(error_code & /*error*/) override {}

  RequestParser &owner;
  std::string_view input;
  std::size_t fields{};
  int lengths{};
  int hosts{};
  bool in_trailer{};
};

RequestParser::RequestParser(const RequestLimits &limits) : limits{limits} {}

RequestParser::~RequestParser() = default;

void RequestParser::Reset() {
  this->native.reset();
  this->state = RequestState::kPartial;
  this->refusal_status = 0;
  this->scanned = 0;
  this->line_start = 0;
  this->head_bytes = 0;
  this->expects_continue = false;
  this->version10 = false;
  this->request = HttpRequest{};
}

bool RequestParser::AwaitsContinue() const noexcept {
  return this->expects_continue && this->native != nullptr &&
         this->state == RequestState::kPartial && this->request.body.empty();
}

bool RequestParser::KeepsAlive() const noexcept {
  return this->native != nullptr && this->native->keep_alive();
}

void RequestParser::Refuse(int status) {
  if (this->state != RequestState::kPartial) return;
  this->state = RequestState::kRefused;
  this->refusal_status = status;
}

std::size_t RequestParser::Feed(const char *bytes, std::size_t size) {
  if (this->state != RequestState::kPartial) return 0;
  std::size_t used = 0;
  if (this->native == nullptr) {
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    while (this->line_start == 0 && size - used >= 2 && bytes[used] == '\r' &&
           bytes[used + 1] == '\n') {
      used += 2;
      this->scanned = 0;
    }
    const std::size_t head = this->FindHead(bytes + used, size - used);
    if (head == 0) return used;
    this->head_bytes = head;
    this->native = std::make_unique<Native>(*this);
    this->Parse(bytes, used + head, used);
  }
  if (this->state == RequestState::kPartial && used < size)
    this->Parse(bytes, size, used);
  // What is left is an incomplete chunk's head or the trailers.
  const bool too_long = this->state == RequestState::kPartial &&
                        size - used > this->limits.max_head_bytes;
  if (too_long) this->Refuse(kFieldsTooLarge);
  return used;
}

std::size_t RequestParser::FindHead(const char *bytes, std::size_t size) {
  while (this->scanned < size) {
    const auto *found = static_cast<const char *>(
        std::memchr(bytes + this->scanned, '\n', size - this->scanned));
    if (found == nullptr) {
      this->scanned = size;
      break;
    }
    const auto at = static_cast<std::size_t>(found - bytes);
    if (at == this->line_start || bytes[at - 1] != '\r') {
      this->Refuse(kBadRequest);
      return 0;
    }
    this->scanned = at + 1;
    if (this->scanned > this->limits.max_head_bytes) break;
    if (at == this->line_start + 1) return this->scanned;
    this->line_start = this->scanned;
  }
  if (this->scanned > this->limits.max_head_bytes)
    this->Refuse(kFieldsTooLarge);
  return 0;
}

void RequestParser::Parse(const char *bytes, std::size_t size,
                          std::size_t &used) {
  while (used < size) {
    error_code error;
    const std::size_t parsed =
        this->native->Parse(bytes + used, size - used, error);
    used += parsed;
    const bool needs_more = error == http::error::need_more;
    if (error && !needs_more) {
      this->Refuse(kBadRequest);
      return;
    }
    if (this->native->is_done()) {
      this->state = RequestState::kComplete;
      return;
    }
    if (needs_more || parsed == 0) return;
  }
}

}  // namespace pollenring::internal
