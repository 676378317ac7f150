#include "pollenring/core/request_id.h"

#include <array>
#include <cstdint>
#include <cstdio>

namespace pollenring {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionIndex = 14;
constexpr std::size_t kVariantIndex = 19;
constexpr std::size_t kTimestampDigits = 12;

[[nodiscard]] bool IsDash(std::size_t index) noexcept {
  return index == 8 || index == 13 || index == 18 || index == 23;
}

[[nodiscard]] std::optional<std::uint64_t> HexDigit(char c) noexcept {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return std::nullopt;
}

}  // namespace

std::string NewRequestId(WallTime wall, Random &random) {
  const auto ms = static_cast<std::uint64_t>(wall.count());
  const std::uint64_t high = random.Bits();
  const std::uint64_t low = random.Bits();
  std::array<char, kUuidLength + 1> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                static_cast<unsigned>(ms >> 16U),
                static_cast<unsigned>(ms & 0xffffU),
                static_cast<unsigned>(high & 0xfffU),
                static_cast<unsigned>(0x8000U | ((high >> 12U) & 0x3fffU)),
                static_cast<unsigned long long>(low & 0xffffffffffffULL));
  return {text.data(), kUuidLength};
}

std::optional<WallTime> CreationTimeOf(std::string_view id) noexcept {
  if (id.size() != kUuidLength) return std::nullopt;
  std::uint64_t ms = 0;
  std::size_t digits = 0;
  for (std::size_t index = 0; index < id.size(); ++index) {
    if (IsDash(index)) {
      if (id[index] != '-') return std::nullopt;
      continue;
    }
    const auto digit = HexDigit(id[index]);
    if (!digit) return std::nullopt;
    if (digits < kTimestampDigits) ms = (ms << 4U) | *digit;
    ++digits;
  }
  if (id[kVersionIndex] != '7') return std::nullopt;
  if (const auto variant = *HexDigit(id[kVariantIndex]);
      variant < 8 || variant > 11) {
    return std::nullopt;
  }
  return WallTime{static_cast<std::int64_t>(ms)};
}

}  // namespace pollenring
