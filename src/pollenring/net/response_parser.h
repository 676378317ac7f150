#ifndef POLLENRING_NET_RESPONSE_PARSER_H_
#define POLLENRING_NET_RESPONSE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/http_message.h"

namespace pollenring::internal {

/*! @brief How far an answer has come. */
enum class ResponseState {
  kPartial,
  kWhole,
  kBroken,  /*!< The bytes are no HTTP answer, or it ended too early. */
  kTooLarge /*!< Its body exceeds the limit. */
};

/*! @brief Names of the states. */
inline constexpr EnumTable<ResponseState, 4> kResponseStateNames{{{
    {ResponseState::kPartial, "partial"},
    {ResponseState::kWhole, "whole"},
    {ResponseState::kBroken, "broken"},
    {ResponseState::kTooLarge, "too large"},
}}};

/*! @brief Parses one HTTP/1.1 answer from bytes as they arrive. */
class ResponseParser {
 public:
  /**
   * @brief Starts before the first byte.
   * @param head_only Whether the answer has no body, as one to `HEAD`.
   * @param max_body_bytes Largest body.
   */
  ResponseParser(bool head_only, std::size_t max_body_bytes);
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;
  ~ResponseParser() = default;

  /**
   * @brief Takes in bytes; stops after the answer's last one.
   * @param bytes The bytes.
   * @param size Their number.
   * @return Bytes used.
   */
  std::size_t Feed(const char *bytes, std::size_t size);

  /*! @brief Takes in the orderly end of the connection. */
  void End();

  [[nodiscard]] ResponseState State() const noexcept { return this->state; }

  /*! @brief Whether the peer keeps the connection after this answer. */
  [[nodiscard]] bool KeepsAlive() const noexcept { return this->keeps_alive; }

  /*! @brief Bytes of the answer that are held so far. */
  [[nodiscard]] std::size_t Held() const noexcept {
    return this->answer.body.size();
  }

  /*! @brief How long the peer keeps an idle connection; 0 when unsaid. */
  [[nodiscard]] Duration IdleTimeout() const noexcept {
    return this->idle_timeout;
  }

  /*! @brief The answer, once whole; without framing headers. */
  [[nodiscard]] HttpResponse &Answer() noexcept { return this->answer; }

 private:
  struct Callbacks;

  void Reset();
  void TakeHeader();

  http_parser native{};
  bool head_only;
  std::size_t max_body_bytes;
  ResponseState state{ResponseState::kPartial};
  bool keeps_alive{};
  bool in_value{};
  Duration idle_timeout{};
  std::string name;
  std::string value;
  HttpResponse answer;
};

/**
 * @brief Tells whether a header concerns one connection only.
 * @param name Its name, in lower case.
 * @return Whether the client sets or drops it.
 */
[[nodiscard]] bool IsFraming(std::string_view name) noexcept;

}  // namespace pollenring::internal

#endif  // POLLENRING_NET_RESPONSE_PARSER_H_
