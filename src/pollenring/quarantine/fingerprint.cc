#include "pollenring/quarantine/fingerprint.h"

#include <fmt/format.h>

#include <charconv>
#include <cstring>

#include "pollenring/core/hash.h"

namespace pollenring {
namespace {

/*! @brief Bodies above this are replaced by their digest, to copy them once. */
constexpr std::size_t kMaxInlineBody = 1024;
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

/*! @brief Appends a field; its length keeps adjacent fields apart. */
void Append(std::string &text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

Fingerprint RequestFingerprinter::Of(const RequestIdentity &identity) const {
  std::string text{identity.authenticated ? "w" : "s"};
  Append(text, identity.caller);
  Append(text, identity.method);
  Append(text, identity.host);
  Append(text, identity.path);
  const bool is_long = identity.body.size() > kMaxInlineBody;
  text += is_long ? 'd' : 'b';
  Append(text, is_long ? Sha256Hex(identity.body) : identity.body);
  const std::string tag = MessageTag(this->key, text);
  Fingerprint fingerprint = 0;
  std::memcpy(&fingerprint, tag.data(), sizeof(fingerprint));
  return fingerprint == 0 ? 1 : fingerprint;
}

std::string FormatFingerprint(Fingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint);
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != kHexDigits) return std::nullopt;
  Fingerprint fingerprint = 0;
  const char *end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, fingerprint, kHexBase);
  if (result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  return fingerprint;
}

}  // namespace pollenring
