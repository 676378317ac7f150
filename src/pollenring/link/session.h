#ifndef POLLENRING_LINK_SESSION_H_
#define POLLENRING_LINK_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pollenring/core/clock.h"

struct st_h2o_socket_t;

namespace pollenring {

class Loop;

/**
 * @brief One HTTP/2 connection between two nodes.
 *
 * Each stream carries one complete message and its reply. Subclasses handle the
 * messages.
 */
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  virtual ~Session();

  /*! @brief Whether the connection has ended. @return True once it has. */
  [[nodiscard]] bool Closed() const noexcept { return this->closed; }

  /*! @brief Ends the connection and all its streams. */
  void Close();

  /*! @brief Last contact with the peer. @return The time. */
  [[nodiscard]] Time LastReceived() const noexcept {
    return this->last_received;
  }

  /*! @brief Messages and replies that are not complete. @return The count. */
  [[nodiscard]] std::size_t OpenStreams() const noexcept {
    return this->streams.size();
  }

 protected:
  /*! @brief Data received and to be sent on one stream. */
  struct Stream {
    std::string path;
    std::string secret;
    std::string received;
    std::string out;
    std::size_t out_offset{};
    bool complete{};
  };

  /*! @brief Which end of the connection this is. */
  enum class Role { kClient, kServer };

  Session(Loop &loop, Role role, std::size_t max_body_bytes);

  /*! @brief Whether data from the peer is accepted. @param stream Stream whose
   * headers have been received. */
  [[nodiscard]] virtual bool Accepts(const Stream &stream) const = 0;

  /*! @brief Called when a complete message has been received. */
  virtual void OnMessage(std::int32_t stream_id, Stream &stream) = 0;

  /*! @brief Called when a stream ends. @param refused Whether the peer refused
   * the stream unprocessed.
   */
  virtual void OnStreamEnd(std::int32_t stream_id, Stream &stream,
                           bool refused) = 0;

  /*! @brief Called when the peer withdraws its message on a stream. */
  virtual void OnWithdraw(std::int32_t /*stream_id*/) {}

  /*! @brief Called once after the connection has ended. */
  virtual void OnClosed() {}

  void Attach(st_h2o_socket_t *socket);
  void SubmitSettings();
  [[nodiscard]] std::int32_t SubmitRequest(std::string_view path,
                                           std::string_view secret,
                                           std::string body);
  void SubmitResponse(std::int32_t stream_id, std::string body);
  void Reset(std::int32_t stream_id, std::uint32_t code);

  /*! @brief Withdraws the message that was sent on a stream, which stays open
   * for its reply. Peers that don't know this frame ignore it (RFC 9113, 5.5).
   * @param stream_id The stream. */
  void SubmitWithdrawal(std::int32_t stream_id);
  void ScheduleFlush();

  /*! @brief Whether the kernel has not taken all frames that were made.
   * @return True if some are left. */
  [[nodiscard]] bool IsWriting() const noexcept { return this->writing; }

  /*! @brief Sends an HTTP/2 PING. */
  void Ping();

  [[nodiscard]] Loop &GetLoop() const noexcept { return this->loop; }
  [[nodiscard]] nghttp2_session *Native() const noexcept {
    return this->native;
  }

 private:
  struct Callbacks;

  void OnRead(const char *error);
  void Flush();
  [[nodiscard]] Stream &StreamOf(std::int32_t stream_id);

  Loop &loop;
  std::size_t max_body_bytes;
  st_h2o_socket_t *socket{};
  nghttp2_session *native{};
  std::unordered_map<std::int32_t, Stream> streams;
  std::string writing_data;
  bool writing{};
  bool flush_scheduled{};
  bool closed{};
  Time last_received{};
};

}  // namespace pollenring

#endif  // POLLENRING_LINK_SESSION_H_
