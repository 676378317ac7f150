#ifndef POLLENRING_TEST_SUPPORT_HTTP2_CALLER_H_
#define POLLENRING_TEST_SUPPORT_HTTP2_CALLER_H_

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>
#include <vector>

namespace support {

/*! @brief The state of a caller's HTTP/2 connection, without a socket. */
class Http2Caller {
 public:
  Http2Caller() {
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, [](nghttp2_session *, std::uint8_t, std::int32_t,
                      const std::uint8_t *data, std::size_t size, void *user) {
          static_cast<Http2Caller *>(user)->body.append(
              reinterpret_cast<const char *>(data), size);
          return 0;
        });
    nghttp2_session_client_new(&this->session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, nullptr, 0);
  }
  Http2Caller(const Http2Caller &) = delete;
  Http2Caller &operator=(const Http2Caller &) = delete;
  ~Http2Caller() { nghttp2_session_del(this->session); }

  /**
   * @brief Begins a GET request.
   * @param path Its path.
   * @return Bytes to send.
   */
  [[nodiscard]] std::string Get(const std::string &path) {
    const std::vector<nghttp2_nv> fields{
        Field(":method", "GET"), Field(":scheme", "http"),
        Field(":authority", "a"), Field(":path", path)};
    nghttp2_submit_request(this->session, nullptr, fields.data(), fields.size(),
                           nullptr, nullptr);
    return this->Output();
  }

  /**
   * @brief Reads what the server has sent.
   * @param bytes The bytes.
   * @return Bytes to send, which allow the server to send more.
   */
  [[nodiscard]] std::string Read(const std::string &bytes) {
    nghttp2_session_mem_recv(
        this->session, reinterpret_cast<const std::uint8_t *>(bytes.data()),
        bytes.size());
    return this->Output();
  }

  std::string body; /*!< Of the response. */

 private:
  [[nodiscard]] static nghttp2_nv Field(const std::string &name,
                                        const std::string &value) {
    const auto bytes = [](const std::string &text) {
      return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
  }

  [[nodiscard]] std::string Output() {
    std::string output;
    const std::uint8_t *bytes = nullptr;
    for (ssize_t size = 1; size > 0;
         output.append(reinterpret_cast<const char *>(bytes),
                       static_cast<std::size_t>(size)))
      size = nghttp2_session_mem_send(this->session, &bytes);
    return output;
  }

  nghttp2_session *session{};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_HTTP2_CALLER_H_
