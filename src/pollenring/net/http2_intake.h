#ifndef POLLENRING_NET_HTTP2_INTAKE_H_
#define POLLENRING_NET_HTTP2_INTAKE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace pollenring {

/**
 * @brief Counts the bytes of incomplete requests on an HTTP/2 connection from
 * the frames that its client sends; does no I/O.
 *
 * h2o keeps these bodies where they can't be counted. Streams that the server
 * resets count until their connection ends.
 */
class Http2Intake {
 public:
  /**
   * @brief Reads the next bytes from the client, which begin with the preface.
   * @param data The bytes; frames may be split anywhere.
   */
  void Feed(std::string_view data);

  /*! @brief Bytes of requests without their end, with the memory of their
   * streams. @return The sum. */
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  static constexpr std::size_t kHeaderBytes = 9;
  static constexpr std::size_t kPrefaceBytes = 24;

  void BeginFrame();

  std::size_t skipped{kPrefaceBytes}; /*!< Of the current payload, or preface.
                                       */
  std::array<std::uint8_t, kHeaderBytes> header{};
  std::size_t header_bytes{};
  std::unordered_map<std::uint32_t, std::size_t> streams;
  std::size_t bytes{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_HTTP2_INTAKE_H_
