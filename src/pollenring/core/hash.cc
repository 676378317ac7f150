#include "pollenring/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <vector>

namespace pollenring {
namespace {

constexpr std::size_t kTagBytes = 16;

[[nodiscard]] std::string ToHex(const unsigned char *bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4U]);
    text.push_back(kDigits[bytes[i] & 15U]);
  }
  return text;
}

}  // namespace

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) noexcept {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t HashNumber(std::uint64_t value, std::uint64_t seed) noexcept {
  return XXH64(&value, sizeof(value), seed);
}

std::string Sha256Hex(std::string_view secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(secret.data(), secret.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string MessageTag(std::string_view key, std::string_view message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char *>(digest.data()), kTagBytes};
}

bool EqualConstantTime(std::string_view left, std::string_view right) noexcept {
  if (left.size() != right.size()) return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  RAND_bytes(buffer.data(), static_cast<int>(bytes));
  return ToHex(buffer.data(), bytes);
}

}  // namespace pollenring
