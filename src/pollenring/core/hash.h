#ifndef POLLENRING_CORE_HASH_H_
#define POLLENRING_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenring {

/**
 * @brief Hashes text to 64 bits, the same on every VM.
 * @param text The text.
 * @param seed Selects one hash function of the family.
 * @return The hash.
 */
[[nodiscard]] std::uint64_t Hash64(std::string_view text,
                                   std::uint64_t seed = 0) noexcept;

/**
 * @brief Hashes a number to 64 bits, the same on every VM.
 * @param value The number.
 * @param seed Selects one hash function of the family.
 * @return The hash.
 */
[[nodiscard]] std::uint64_t HashNumber(std::uint64_t value,
                                       std::uint64_t seed = 0) noexcept;

/**
 * @brief Computes the SHA-256 digest of a secret.
 * @param secret The secret.
 * @return 64 hexadecimal digits.
 */
[[nodiscard]] std::string Sha256Hex(std::string_view secret);

/**
 * @brief Computes a keyed message tag, HMAC-SHA-256 truncated to 16 bytes.
 * @param key The key.
 * @param message The message.
 * @return 16 bytes.
 */
[[nodiscard]] std::string MessageTag(std::string_view key,
                                     std::string_view message);

/**
 * @brief Compares two strings in time that depends on their lengths only.
 * @param left One string.
 * @param right The other.
 * @return True if they are equal.
 */
[[nodiscard]] bool EqualConstantTime(std::string_view left,
                                     std::string_view right) noexcept;

/**
 * @brief Generates a secret with OpenSSL's random generator.
 * @param bytes Number of random bytes.
 * @return Two hexadecimal digits per byte.
 */
[[nodiscard]] std::string RandomHex(std::size_t bytes);

}  // namespace pollenring

#endif  // POLLENRING_CORE_HASH_H_
