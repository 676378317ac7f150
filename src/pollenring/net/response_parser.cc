#include "pollenring/net/response_parser.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cctype>
#include <charconv>
#include <functional>
#include <limits>
#include <utility>

namespace pollenring::internal {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr std::string_view kTimeoutField = "timeout=";
/*! @brief Maximum total size of headers and trailers of a response; same as
 * h2o's limit. */
constexpr std::uint32_t kMaxHeadBytes = 100 * 1024;

[[nodiscard]] Duration ParseIdleTimeout(std::string_view value) {
  const auto at = value.find(kTimeoutField);
  if (at == std::string_view::npos) return Duration{0};
  const auto digits = value.substr(at + kTimeoutField.size());
  unsigned seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds{seconds};
}

/*! @brief Whether an interim response may precede a final one here; no request
 * asks for a switch of protocols. */
[[nodiscard]] constexpr bool IsInterim(int status) noexcept {
  return status == 100 || status == 102 || status == 103;
}

[[nodiscard]] ResponseFault FaultOf(const error_code &error) {
  if (error == http::error::bad_status) return ResponseFault::kInvalidStatus;
  const bool framing = error == http::error::bad_content_length ||
                       error == http::error::bad_transfer_encoding ||
                       error == http::error::bad_chunk ||
                       error == http::error::bad_chunk_extension;
  return framing ? ResponseFault::kCoding : ResponseFault::kInvalidHead;
}

}  // namespace

bool IsFraming(std::string_view name) noexcept {
  return name == "connection" || name == "transfer-encoding" ||
         name == "content-length" || name == "keep-alive" || name == "host" ||
         name == "expect" || name == "upgrade" || name == "te" ||
         name == "trailer" || name == "proxy-connection";
}

/**
 * @brief Boost.Beast's parser with the checks that it leaves to its users: the
 * range of the status, codings, repeated lengths, folded values, the size of
 * the head.
 */
class ResponseParser::Native final : public http::basic_parser<false> {
 public:
  explicit Native(ResponseParser &owner) : owner{owner} {
    this->header_limit(kMaxHeadBytes);
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    // Bytes behind the head are parsed in the same call.
    this->eager(true);
    this->skip(owner.head_only);
  }

  /*! @brief Parses bytes. @return Bytes consumed. */
  std::size_t Parse(const char *bytes, std::size_t size, error_code &error) {
    this->input = {bytes, size};
    return this->put(boost::asio::const_buffer{bytes, size}, error);
  }

  [[nodiscard]] bool Interim() const noexcept { return this->interim; }

 private:
  void on_request_impl(http::verb /*method*/, string_view /*method_text*/,
                       string_view /*target*/, int /*version*/,
                       error_code & /*error*/) override {}

  void on_response_impl(int code, string_view /*reason*/, int /*version*/,
                        error_code &error) override {
    this->interim = IsInterim(code);
    const bool final = code >= kFirstFinalStatus && code <= kLastStatus;
    if (!final && !this->interim) {
      error = http::error::bad_status;
      return;
    }
    this->owner.response.status = code;
  }

  void on_field_impl(http::field field, string_view name, string_view value,
                     error_code &error) override {
    this->head_bytes += name.size() + value.size();
    // The parser unfolds into a buffer of its own.
    const std::less<const char *> before;
    const bool folded =
        before(value.data(), this->input.data()) ||
        before(this->input.data() + this->input.size(), value.data());
    if (folded || this->head_bytes > kMaxHeadBytes) {
      error = http::error::bad_field;
      return;
    }
    if (this->in_trailer) return;
    if (field == http::field::content_length && ++this->lengths > 1) {
      error = http::error::bad_content_length;
      return;
    }
    const bool is_list = value.find(',') != string_view::npos;
    if (field == http::field::content_length && is_list) {
      error = http::error::bad_content_length;
      return;
    }
    if (field == http::field::transfer_encoding &&
        !boost::beast::iequals(value, "chunked")) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    this->owner.StoreField({name.data(), name.size()},
                           {value.data(), value.size()});
  }

  void on_header_impl(error_code &error) override {
    this->in_trailer = true;
    if (this->interim && (this->lengths > 0 || this->chunked())) {
      error = http::error::bad_content_length;
      return;
    }
    const auto length = this->content_length();
    const bool too_large = !this->interim && length &&
                           *length > this->owner.max_body_bytes &&
                           !this->owner.head_only;
    if (!too_large) return;
    this->owner.state = ResponseState::kTooLarge;
    error = http::error::body_limit;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                         error_code & /*error*/) override {}

  std::size_t on_body_impl(string_view body, error_code &error) override {
    std::string &stored = this->owner.response.body;
    if (stored.size() + body.size() > this->owner.max_body_bytes) {
      this->owner.state = ResponseState::kTooLarge;
      error = http::error::body_limit;
      return 0;
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

  ResponseParser &owner;
  std::string_view input;
  std::size_t head_bytes{};
  int lengths{};
  bool interim{};
  bool in_trailer{};
};

ResponseParser::ResponseParser(bool head_only, std::size_t max_body_bytes)
    : head_only{head_only}, max_body_bytes{max_body_bytes} {
  this->Reset();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::Reset() {
  this->native = std::make_unique<Native>(*this);
  this->idle_timeout = Duration{0};
  this->response = HttpResponse{};
}

void ResponseParser::Fail(ResponseFault given) {
  if (this->state != ResponseState::kPartial) return;
  this->state = ResponseState::kInvalid;
  this->fault = given;
}

void ResponseParser::StoreField(std::string_view name, std::string_view value) {
  std::string lower{name};
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (lower == "keep-alive") this->idle_timeout = ParseIdleTimeout(value);
  if (IsFraming(lower)) return;
  this->response.headers.push_back({std::move(lower), std::string{value}});
}

std::size_t ResponseParser::Feed(const char *bytes, std::size_t size) {
  std::size_t used = 0;
  while (used < size && this->state == ResponseState::kPartial) {
    error_code error;
    const std::size_t parsed =
        this->native->Parse(bytes + used, size - used, error);
    used += parsed;
    const bool needs_more = error == http::error::need_more;
    if (error && !needs_more) {
      this->Fail(FaultOf(error));
      return used;
    }
    if (this->native->is_done()) {
      if (this->native->Interim()) {
        this->Reset();
        continue;
      }
      this->keeps_alive = this->native->keep_alive();
      this->state = ResponseState::kComplete;
      return used;
    }
    if (needs_more || parsed == 0) return used;
  }
  return used;
}

void ResponseParser::End() {
  if (this->state != ResponseState::kPartial) return;
  error_code error = http::error::partial_message;
  if (this->native->is_header_done() && !this->native->Interim()) {
    this->native->put_eof(error);
  }
  if (error || !this->native->is_done()) {
    this->Fail(ResponseFault::kTruncated);
    return;
  }
  this->keeps_alive = false;
  this->state = ResponseState::kComplete;
}

}  // namespace pollenring::internal
