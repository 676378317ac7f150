#ifndef POLLENRING_NET_CONNECTION_BUFFERS_H_
#define POLLENRING_NET_CONNECTION_BUFFERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "pollenring/core/clock.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/http2_intake.h"

struct st_h2o_socket_t;

namespace pollenring {

class ConnectionBuffers;
class Loop;

/**
 * @brief Charges what h2o keeps for a server's connections to a budget, and
 * carries out the budget's decisions.
 */
class ServerBuffers {
 public:
  /**
   * @brief Creates the set.
   * @param loop The loop.
   * @param budget The budget; null for no limit. Outlives the set.
   * @param evict_other Evicts a connection that this set doesn't follow.
   */
  ServerBuffers(Loop &loop, BufferBudget *budget,
                std::function<void(const Eviction &)> evict_other);
  ServerBuffers(const ServerBuffers &) = delete;
  ServerBuffers &operator=(const ServerBuffers &) = delete;
  ~ServerBuffers() = default;

  /**
   * @brief Follows a connection.
   * @param sock Its socket.
   * @return Its charges; null without a budget.
   */
  [[nodiscard]] std::shared_ptr<ConnectionBuffers> Follow(
      st_h2o_socket_t *sock);

  /*! @brief Carries out the budget's decisions, for all its connections.
   * @param busy A connection in one of h2o's callbacks, which must not be
   * closed in it; null for none. */
  void Apply(const ConnectionBuffers *busy = nullptr);

 private:
  friend class ConnectionBuffers;

  void ScheduleApply();
  void LogEvictions();
  void Sweep();

  Loop &loop;
  BufferBudget *budget;
  std::function<void(const Eviction &)> evict_other;
  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  std::unordered_map<BufferBudget::ConnectionId, ConnectionBuffers *> open;
  /*! @brief Connections that h2o doesn't read; it may start at any time. */
  std::unordered_set<BufferBudget::ConnectionId> unread;
  std::uint64_t pauses_seen{};
  std::size_t paused_seen{};
  std::uint64_t evictions_logged{};
  Time logged_at{};
  bool scheduled{};
};

/*! @brief What h2o keeps for one connection. */
class ConnectionBuffers final
    : public std::enable_shared_from_this<ConnectionBuffers> {
 public:
  ConnectionBuffers(ServerBuffers &owner, st_h2o_socket_t *sock);

  /*! @brief Counts HTTP/2 from the preface on, which is in the input buffer; to
   * be called before h2o reads it. */
  void BeginHttp2();

  /*! @brief Called when the socket is closed. */
  void Closed();

  /*! @brief Called with a complete request. @param copied Bytes of its body,
   * which the handler gets as a copy. */
  void BeginRequest(std::size_t copied);

  /*! @brief Called when h2o frees a request. @param copied As given before. */
  void EndRequest(std::size_t copied);

  /*! @brief Called when a response is passed to h2o. @param bytes Its body. */
  void BeginResponse(std::size_t bytes);

  /*! @brief Called when part of a response was written. @param bytes Size. */
  void Written(std::size_t bytes);

  /*! @brief Called when h2o frees a response. @param bytes Its body. */
  void EndResponse(std::size_t bytes);

  /*! @brief Charges what h2o keeps now, and pauses or resumes reading. */
  void Update();

 private:
  friend class ServerBuffers;

  static void OnRead(st_h2o_socket_t *sock, const char *error);
  void Charge();
  void FollowRead();
  void Evict(EvictionReason reason);
  void CountHttp2();

  ServerBuffers &owner;
  st_h2o_socket_t *sock; /*!< Null once it is closed. */
  BufferBudget::ConnectionId id;
  /*! @brief h2o's callback, which `OnRead` calls. */
  void (*original)(st_h2o_socket_t *, const char *){};
  std::size_t requests{};
  std::size_t copied{};
  std::size_t responses{};
  std::optional<Http2Intake> http2; /*!< Once the preface was read. */
  bool paused{};
};

}  // namespace pollenring

#endif  // POLLENRING_NET_CONNECTION_BUFFERS_H_
