#include "pollenring/net/http2_intake.h"

#include <algorithm>

namespace pollenring {
namespace {

constexpr std::uint8_t kData = 0;
constexpr std::uint8_t kHeaders = 1;
constexpr std::uint8_t kReset = 3;
constexpr std::uint8_t kContinuation = 9;
constexpr std::uint8_t kEndStream = 1;
constexpr std::uint32_t kStreamMask = 0x7fffffff;
/*! @brief What h2o allocates for a stream beside its body. */
constexpr std::size_t kStreamBytes = std::size_t{8} * 1024;
/*! @brief Streams that are counted; h2o refuses more than 100 at a time. */
constexpr std::size_t kMaxStreams = 256;

}  // namespace

void Http2Intake::Feed(std::string_view data) {
  while (!data.empty()) {
    const std::size_t skip = std::min(this->skipped, data.size());
    this->skipped -= skip;
    data.remove_prefix(skip);
    while (!data.empty() && this->header_bytes < kHeaderBytes) {
      this->header[this->header_bytes++] =
          static_cast<std::uint8_t>(data.front());
      data.remove_prefix(1);
    }
    if (this->header_bytes < kHeaderBytes) return;
    this->header_bytes = 0;
    this->BeginFrame();
  }
}

void Http2Intake::BeginFrame() {
  const auto byte = [this](std::size_t index) {
    return static_cast<std::uint32_t>(this->header[index]);
  };
  const std::size_t length = byte(0) << 16U | byte(1) << 8U | byte(2);
  const std::uint8_t type = this->header[3];
  const std::uint32_t stream =
      (byte(5) << 24U | byte(6) << 16U | byte(7) << 8U | byte(8)) & kStreamMask;
  this->skipped = length;
  const bool carries =
      type == kData || type == kHeaders || type == kContinuation;
  const bool ends = (type == kData || type == kHeaders) &&
                    (this->header[4] & kEndStream) != 0;
  auto found = this->streams.find(stream);
  if (type == kReset || ends) {
    if (found == this->streams.end()) return;
    this->bytes -= found->second;
    this->streams.erase(found);
    return;
  }
  if (!carries) return;
  if (found == this->streams.end()) {
    const bool opens = type == kHeaders && this->streams.size() < kMaxStreams;
    if (!opens) return;
    found = this->streams.emplace(stream, 0).first;
  }
  found->second += length;
  this->bytes += length;
}

std::size_t Http2Intake::Bytes() const noexcept {
  return this->bytes + this->streams.size() * kStreamBytes;
}

}  // namespace pollenring
