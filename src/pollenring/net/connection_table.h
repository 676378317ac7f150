#ifndef POLLENRING_NET_CONNECTION_TABLE_H_
#define POLLENRING_NET_CONNECTION_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief Whom a connection of this process serves. */
enum class ConnectionRole {
  kCallers,   /*!< Accepted from callers. */
  kNodes,     /*!< Accepted from other nodes. */
  kTargets,   /*!< Accepted from targets, for heartbeats. */
  kReadiness, /*!< Accepted from what asks whether the node is ready. */
  kOperators, /*!< Accepted from operators. */
  kOutgoing   /*!< Opened to targets, nodes and the store. */
};

inline constexpr std::size_t kConnectionRoles = 6;

/*! @brief Names of connection roles, for logs and metrics. */
inline constexpr EnumTable<ConnectionRole, kConnectionRoles>
    kConnectionRoleNames{{{
        {ConnectionRole::kCallers, "callers"},
        {ConnectionRole::kNodes, "nodes"},
        {ConnectionRole::kTargets, "targets"},
        {ConnectionRole::kReadiness, "readiness"},
        {ConnectionRole::kOperators, "operators"},
        {ConnectionRole::kOutgoing, "outgoing"},
    }}};

/*! @brief Descriptors of a process without a limit. */
inline constexpr std::size_t kUnlimitedDescriptors = std::size_t{1} << 30U;

/*! @brief Connections of one role since the process started. */
struct ConnectionCounts {
  std::size_t open{};
  std::size_t peak{};
  std::uint64_t opened{};
  std::uint64_t evicted{}; /*!< Idle ones, closed for room. */
  std::uint64_t refused{}; /*!< Closed at once, as there was no room. */
  /*! @brief Longest wait of a connection or its first bytes for `accept`. */
  Duration longest_wait{};
  /*! @brief First refusal since one was taken or ended; zero without any. */
  Time full_since{};
  Time refused_at{}; /*!< Last refusal. */
  /*! @brief Failed calls of `accept` or `connect`, by error number. */
  std::map<int, std::uint64_t> failures;
};

/*! @brief Connections that can be closed to make room for others. */
class IdleConnections {
 public:
  IdleConnections() = default;
  IdleConnections(const IdleConnections &) = delete;
  IdleConnections &operator=(const IdleConnections &) = delete;
  virtual ~IdleConnections() = default;

  /**
   * @brief Closes the connections that have been idle the longest; never one
   * with a request in progress.
   * @param count Maximum number to close.
   * @return The number closed.
   */
  virtual std::size_t CloseIdle(std::size_t count) = 0;
};

/**
 * @brief Accounts for the connections of a process and shares its descriptors
 * among their roles; does no I/O.
 *
 * Each role has a part of the descriptors, so that none can take those that
 * another needs: callers those of calls to targets, or the reverse. A role
 * that has used up its part makes room by closing its idle connections.
 */
class ConnectionTable {
 public:
  /**
   * @brief Creates an empty table.
   * @param clock Clock of the times.
   * @param max_descriptors Descriptors that the process may open.
   */
  ConnectionTable(const Clock &clock, std::size_t max_descriptors);

  /**
   * @brief Maximum number of open connections.
   * @param role Role of the connections.
   * @return The number.
   */
  [[nodiscard]] std::size_t Capacity(ConnectionRole role) const noexcept {
    return this->capacities[static_cast<std::size_t>(role)];
  }

  /**
   * @brief Registers connections that may be closed for room.
   * @param role Their role.
   * @param idle Closes them; must be unregistered before its end.
   */
  void Register(ConnectionRole role, IdleConnections &idle);

  /**
   * @brief Removes a registration.
   * @param idle What was registered.
   */
  void Unregister(const IdleConnections &idle);

  /**
   * @brief Makes room for one more connection; evicts an idle one of the same
   * role if the role has used up its part.
   * @param role Role of the connection.
   * @return False if there is no room; counted as a refusal.
   */
  [[nodiscard]] bool MakeRoom(ConnectionRole role);

  /**
   * @brief Evicts idle connections of any role, for when the system has no
   * descriptor left.
   * @param role Role that needs room; its own are evicted first.
   * @param count Maximum number to evict.
   * @return The number evicted.
   */
  std::size_t Evict(ConnectionRole role, std::size_t count);

  /**
   * @brief Whether new connections can be taken.
   * @param role Their role.
   * @return False if for some time all were refused and none has ended; true
   * again when none has been refused for a while, so that another may try.
   */
  [[nodiscard]] bool Accepting(ConnectionRole role) const;

  /**
   * @brief Records a connection that was accepted or opened.
   * @param role Its role.
   * @param waited How long it waited to be accepted.
   */
  void Add(ConnectionRole role, Duration waited = {});

  /**
   * @brief Records the end of a connection.
   * @param role Its role.
   */
  void Remove(ConnectionRole role);

  /**
   * @brief Records that no connection could be accepted or opened.
   * @param role Role that the connection would have had.
   * @param error Number of the error, as in `errno`.
   */
  void RecordFailure(ConnectionRole role, int error);

  /**
   * @brief Records a connection that was closed at once for want of room.
   * @param role Its role.
   */
  void RecordRefusal(ConnectionRole role);

  /**
   * @brief Reads the counts of a role.
   * @param role The role.
   * @return Its counts.
   */
  [[nodiscard]] const ConnectionCounts &Counts(
      ConnectionRole role) const noexcept {
    return this->counts[static_cast<std::size_t>(role)];
  }

  /*! @brief Open connections of all roles. @return The count. */
  [[nodiscard]] std::size_t Open() const noexcept;

 private:
  struct Registration {
    ConnectionRole role;
    IdleConnections *idle;
  };

  std::size_t EvictOf(ConnectionRole role, std::size_t count);
  [[nodiscard]] bool MayLog();

  const Clock &clock;
  std::array<std::size_t, kConnectionRoles> capacities{};
  std::array<ConnectionCounts, kConnectionRoles> counts{};
  std::vector<Registration> registered;
  Time logged_at{};
  std::uint64_t left_out{};
};

/*! @brief One open connection's entry in the table, while it lives. */
class OpenConnection {
 public:
  /**
   * @brief Adds the connection.
   * @param table The table, which outlives the entry.
   * @param role The connection's role.
   * @param waited How long it waited to be accepted.
   */
  OpenConnection(ConnectionTable &table, ConnectionRole role,
                 Duration waited = {})
      : table{&table}, role{role} {
    this->table->Add(role, waited);
  }
  OpenConnection(OpenConnection &&other) noexcept
      : table{std::exchange(other.table, nullptr)}, role{other.role} {}
  OpenConnection &operator=(OpenConnection &&) = delete;
  OpenConnection(const OpenConnection &) = delete;
  OpenConnection &operator=(const OpenConnection &) = delete;
  ~OpenConnection() {
    if (this->table != nullptr) this->table->Remove(this->role);
  }

 private:
  ConnectionTable *table;
  ConnectionRole role;
};

}  // namespace pollenring

#endif  // POLLENRING_NET_CONNECTION_TABLE_H_
