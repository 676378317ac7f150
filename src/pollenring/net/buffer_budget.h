#ifndef POLLENRING_NET_BUFFER_BUDGET_H_
#define POLLENRING_NET_BUFFER_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief What bytes of a node are kept for. */
enum class BufferRole {
  kReceiving,   /*!< Parts of requests that callers still send. */
  kHeld,        /*!< Bodies of requests in progress, kept for a retry. */
  kToNodes,     /*!< Frames to other nodes. */
  kFromTargets, /*!< Responses that targets still send. */
  kToCallers    /*!< Responses that callers have not read. */
};

inline constexpr std::size_t kBufferRoles = 5;

/*! @brief Names of buffer roles, for logs and metrics. */
inline constexpr EnumTable<BufferRole, kBufferRoles> kBufferRoleNames{{{
    {BufferRole::kReceiving, "receiving"},
    {BufferRole::kHeld, "held"},
    {BufferRole::kToNodes, "to-nodes"},
    {BufferRole::kFromTargets, "from-targets"},
    {BufferRole::kToCallers, "to-callers"},
}}};

/*! @brief Why a connection must be closed. */
enum class EvictionReason {
  kReceiving, /*!< Its request takes room and progresses the least. */
  kToCallers  /*!< Its caller doesn't read a response that takes room. */
};

inline constexpr std::size_t kEvictionReasons = 2;

/*! @brief Names of eviction reasons, for logs and metrics. */
inline constexpr EnumTable<EvictionReason, kEvictionReasons>
    kEvictionReasonNames{{{
        {EvictionReason::kReceiving, "receiving"},
        {EvictionReason::kToCallers, "to-callers"},
    }}};

/*! @brief Identifies a caller's connection in a budget; never reused. */
using ConnectionId = std::uint64_t;

/*! @brief A connection to close. */
struct Eviction {
  ConnectionId id{};
  EvictionReason reason{};
};

/*! @brief Size of a budget. */
struct BufferBudgetOptions {
  std::size_t max_bytes{SIZE_MAX}; /*!< All buffers together. */
  /*! @brief Largest request, for which room is kept beside the shares. */
  std::size_t max_body_bytes{};
};

/*! @brief What a budget has counted. */
struct BufferCounts {
  std::array<std::size_t, kBufferRoles> bytes{}; /*!< Now, by role. */
  std::size_t total{};                           /*!< Now, of all roles. */
  std::size_t peak{};                            /*!< Highest total. */
  std::size_t paused{};                          /*!< Connections, now. */
  std::uint64_t pauses{};                        /*!< Since the start. */
  std::array<std::uint64_t, kEvictionReasons> evicted{}; /*!< By reason. */
  std::uint64_t refused{}; /*!< Requests, as there was no room. */
};

/**
 * @brief Accounts for the resident bytes of bodies and buffers, and decides
 * which connections wait or end when they need more than the node has; does no
 * I/O.
 *
 * Each connection that holds bytes has an equal share of what remains beside
 * one request of the maximum size. Without pressure, connections may exceed
 * their shares. Under pressure, those over their shares don't read, except for
 * the one that progresses best for what it holds: it may use the room of the
 * largest request. Above the maximum, those over their shares are evicted, the
 * least progress for the most bytes first.
 */
class BufferBudget {
 public:
  using ConnectionId = pollenring::ConnectionId;

  /**
   * @brief Creates an empty account.
   * @param options Its size.
   * @param clock Clock of progress.
   */
  BufferBudget(const BufferBudgetOptions &options, const Clock &clock);

  /*! @brief Adds a caller's connection. @return Its identifier. */
  [[nodiscard]] ConnectionId Open();

  /**
   * @brief Removes a connection with all its bytes.
   * @param id The connection; ignored if it is not open.
   */
  void Close(ConnectionId id);

  /**
   * @brief Sets the bytes that a connection holds. Growth of `kReceiving` and
   * decrease of `kToCallers` count as progress.
   * @param id The connection; ignored if it is not open.
   * @param role What they are kept for.
   * @param bytes Resident bytes, absolute.
   */
  void Set(ConnectionId id, BufferRole role, std::size_t bytes);

  /**
   * @brief Records that part of a response was written, whose buffer remains.
   * @param id The connection; ignored if it is not open.
   * @param bytes Bytes written.
   */
  void RecordWritten(ConnectionId id, std::size_t bytes);

  /**
   * @brief Sets the bytes that belong to no caller's connection.
   * @param role What they are kept for.
   * @param bytes Resident bytes, absolute.
   */
  void SetShared(BufferRole role, std::size_t bytes);

  /**
   * @brief Whether a connection may read more from its caller. Changes with
   * `Set`, `Close` and `Enforce`, so a paused connection must ask again.
   * @param id The connection.
   * @return False to pause.
   */
  [[nodiscard]] bool MayRead(ConnectionId id) const;

  /**
   * @brief Updates who may read, and makes room if the account exceeds its
   * maximum. Call it after changes and periodically while connections wait.
   * @return Connections to close; each is returned once, and its bytes are
   * counted until `Close`.
   */
  [[nodiscard]] std::vector<Eviction> Enforce();

  /**
   * @brief Whether another request can be taken; if not, it is counted as
   * refused.
   * @return False if the account is full.
   */
  [[nodiscard]] bool AdmitRequest();

  /*! @brief Largest request that this budget can hold. @return Bytes. */
  [[nodiscard]] std::size_t MaxRequestBytes() const noexcept {
    return this->request_room;
  }

  /*! @brief Bytes that a connection may hold under pressure. @return Bytes. */
  [[nodiscard]] std::size_t Share() const noexcept;

  [[nodiscard]] std::size_t MaxBytes() const noexcept {
    return this->options.max_bytes;
  }
  [[nodiscard]] const BufferCounts &Counts() const noexcept {
    return this->counts;
  }

 private:
  struct Connection {
    std::array<std::size_t, kBufferRoles> bytes{};
    std::size_t total{};
    std::size_t progress{}; /*!< Bytes since `progressed_at`. */
    Time progressed_at{};   /*!< Later by the time spent paused. */
    Time paused_at{};
    bool paused{};
    bool evicted{};
  };
  using Connections = std::unordered_map<ConnectionId, Connection>;

  void Add(BufferRole role, std::size_t before, std::size_t after);
  void RecordProgress(Connection &connection, BufferRole role,
                      std::size_t before, std::size_t after);
  void CreditProgress(Connection &connection, bool at_once);
  void UpdatePressure();
  void ChooseLeader();
  [[nodiscard]] std::vector<Eviction> MakeRoom();
  void Pause(Connection &connection);
  void Resume(Connection &connection);
  [[nodiscard]] bool IsOver(const Connection &connection) const noexcept;
  [[nodiscard]] Duration IdleTime(const Connection &connection) const;
  [[nodiscard]] double Score(const Connection &connection) const;
  [[nodiscard]] static std::size_t Evictable(const Connection &connection);

  BufferBudgetOptions options;
  const Clock &clock;
  std::size_t request_room;
  Connections connections;
  std::array<std::size_t, kBufferRoles> shared{};
  std::size_t shared_bytes{};
  std::size_t holding{};       /*!< Connections with bytes, not evicted. */
  std::size_t evicted_bytes{}; /*!< Of evicted connections still open. */
  ConnectionId last_id{};
  ConnectionId leader{}; /*!< May read over its share; 0 for none. */
  bool pressure{};
  BufferCounts counts;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_BUFFER_BUDGET_H_
