#include "pollenring/net/response_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace pollenring::internal {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr std::string_view kTimeoutField = "timeout=";
/*! @brief Maximum total header size of a response; same as h2o's limit. */
constexpr std::size_t kMaxHeadBytes = std::size_t{100} * 1024;

[[nodiscard]] ResponseParser &Self(http_parser *native) {
  return *static_cast<ResponseParser *>(native->data);
}

[[nodiscard]] Duration ParseIdleTimeout(std::string_view value) {
  const auto at = value.find(kTimeoutField);
  if (at == std::string_view::npos) return Duration{0};
  const auto digits = value.substr(at + kTimeoutField.size());
  unsigned seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds{seconds};
}

}  // namespace

bool IsFraming(std::string_view name) noexcept {
  return name == "connection" || name == "transfer-encoding" ||
         name == "content-length" || name == "keep-alive" || name == "host" ||
         name == "expect" || name == "upgrade" || name == "te" ||
         name == "trailer" || name == "proxy-connection";
}

struct ResponseParser::Callbacks {
  static int OnField(http_parser *native, const char *at, std::size_t size) {
    ResponseParser &self = Self(native);
    if (self.in_value) self.StoreHeader();
    self.name.append(at, size);
    return 0;
  }

  static int OnValue(http_parser *native, const char *at, std::size_t size) {
    ResponseParser &self = Self(native);
    self.in_value = true;
    self.value.append(at, size);
    return 0;
  }

  static int OnHeadersComplete(http_parser *native) {
    ResponseParser &self = Self(native);
    if (self.in_value) self.StoreHeader();
    self.response.status = static_cast<int>(native->status_code);
    return self.head_only ? 1 : 0;
  }

  static int OnBody(http_parser *native, const char *at, std::size_t size) {
    ResponseParser &self = Self(native);
    if (self.response.body.size() + size > self.max_body_bytes) {
      self.state = ResponseState::kTooLarge;
      return 1;
    }
    self.response.body.append(at, size);
    return 0;
  }

  static int OnComplete(http_parser *native) {
    ResponseParser &self = Self(native);
    http_parser_pause(native, 1);
    if (self.response.status < kFirstFinalStatus) return 0;
    self.keeps_alive = http_should_keep_alive(native) != 0;
    self.state = ResponseState::kComplete;
    return 0;
  }

  static const http_parser_settings &Settings() {
    static const http_parser_settings table = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_header_field = &OnField;
      settings.on_header_value = &OnValue;
      settings.on_headers_complete = &OnHeadersComplete;
      settings.on_body = &OnBody;
      settings.on_message_complete = &OnComplete;
      return settings;
    }();
    return table;
  }
};

ResponseParser::ResponseParser(bool head_only, std::size_t max_body_bytes)
    : head_only{head_only}, max_body_bytes{max_body_bytes} {
  http_parser_set_max_header_size(kMaxHeadBytes);
  this->Reset();
}

void ResponseParser::Reset() {
  http_parser_init(&this->native, HTTP_RESPONSE);
  this->native.data = this;
  this->in_value = false;
  this->idle_timeout = Duration{0};
  this->response = HttpResponse{};
}

void ResponseParser::StoreHeader() {
  std::string header_name = std::exchange(this->name, {});
  std::string header_value = std::exchange(this->value, {});
  this->in_value = false;
  std::transform(
      header_name.begin(), header_name.end(), header_name.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (header_name == "keep-alive") {
    this->idle_timeout = ParseIdleTimeout(header_value);
  }
  if (IsFraming(header_name)) return;
  this->response.headers.push_back(
      {std::move(header_name), std::move(header_value)});
}

std::size_t ResponseParser::Feed(const char *bytes, std::size_t size) {
  std::size_t used = 0;
  while (used < size && this->state == ResponseState::kPartial) {
    used += http_parser_execute(&this->native, &Callbacks::Settings(),
                                bytes + used, size - used);
    const auto error = HTTP_PARSER_ERRNO(&this->native);
    if (this->state != ResponseState::kPartial) return used;
    if (error == HPE_PAUSED) {
      // Interim response; the final one follows.
      this->Reset();
      continue;
    }
    const bool failed = error != HPE_OK || this->native.upgrade != 0;
    if (failed) this->state = ResponseState::kInvalid;
  }
  return used;
}

void ResponseParser::End() {
  if (this->state != ResponseState::kPartial) return;
  http_parser_execute(&this->native, &Callbacks::Settings(), nullptr, 0);
  if (this->state == ResponseState::kPartial)
    this->state = ResponseState::kInvalid;
}

}  // namespace pollenring::internal
