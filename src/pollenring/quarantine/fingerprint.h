#ifndef POLLENRING_QUARANTINE_FINGERPRINT_H_
#define POLLENRING_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenring {

/*! @brief Identifies requests that are alike for their target; 0 for none. */
using Fingerprint = std::uint64_t;

/*! @brief What makes two requests alike. */
struct RequestIdentity {
  /*! @brief The workspace whose key was shown, or else the calling service. */
  std::string_view caller;
  bool authenticated{}; /*!< Whether the caller is a workspace. */
  std::string_view method;
  std::string_view host;
  std::string_view path;
  std::string_view body;
};

/**
 * @brief Computes fingerprints that are equal on all nodes.
 *
 * They are keyed, so that a workspace can't send requests with the fingerprint
 * of another one's.
 */
class RequestFingerprinter {
 public:
  /**
   * @brief Creates it.
   * @param key Secret that all nodes share.
   */
  explicit RequestFingerprinter(std::string key) : key{std::move(key)} {}

  /**
   * @brief Computes a fingerprint.
   * @param identity The request.
   * @return The fingerprint; never 0.
   */
  [[nodiscard]] Fingerprint Of(const RequestIdentity &identity) const;

 private:
  std::string key;
};

/*! @brief Formats as logs and operators spell it. @param fingerprint The
 * fingerprint. @return 16 hexadecimal digits. */
[[nodiscard]] std::string FormatFingerprint(Fingerprint fingerprint);

/**
 * @brief Parses the result of `FormatFingerprint`.
 * @param text The text.
 * @return The fingerprint, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<Fingerprint> ParseFingerprint(
    std::string_view text);

}  // namespace pollenring

#endif  // POLLENRING_QUARANTINE_FINGERPRINT_H_
