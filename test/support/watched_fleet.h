#ifndef POLLENRING_TEST_SUPPORT_WATCHED_FLEET_H_
#define POLLENRING_TEST_SUPPORT_WATCHED_FLEET_H_

#include <map>
#include <set>
#include <vector>

#include "pollenring/membership/store_watcher_role.h"
#include "support/member_fleet.h"

namespace support {

/**
 * @brief A fleet that learns a configuration's version from a store.
 *
 * Nodes read and watch the store whenever their role says so and fetch newer
 * versions from peers, with the timing of `PolicyFollower`.
 */
class WatchedFleet {
 public:
  WatchedFleet(int size, std::uint64_t seed);

  void Run(std::chrono::milliseconds length);

  /*! @brief The operator writes the next version. */
  void Change() { ++this->stored; }

  void Kill(int index);
  void Boot(int index);

  /*! @brief Separates a node from all others, but not from the store. */
  void Isolate(int index);

  /*! @brief Silences a fraction of the connections between nodes for good;
   * nothing is closed, and datagrams still pass. */
  void Sever(double fraction);

  /*! @return Nodes that are designated watchers. */
  [[nodiscard]] std::set<int> Designated() const;

  /*! @return True if the node has the newest version. */
  [[nodiscard]] bool UpToDate(int index) const {
    return this->At(index).version == this->stored;
  }

  MemberFleet members;
  std::set<int> unserved; /*!< Nodes whose calls the store leaves open. */
  pollenring::Time last_contact{}; /*!< Of the store's last reply. */
  int calls{};

 private:
  struct Node {
    std::uint64_t version{};
    std::uint64_t process{}; /*!< Replies to an earlier one are dropped. */
    bool querying{};
    bool watching{};
    bool awaiting{}; /*!< The store holds a call. */
    pollenring::Time held_until{};
    bool fetching{};
  };

  [[nodiscard]] Node &At(int index) {
    return this->nodes[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] const Node &At(int index) const {
    return this->nodes[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] pollenring::StoreWatcherRole RoleOf(int index) const {
    return {*this->members.At(index), this->wire,
            pollenring::StoreWatcherOptions{}, this->members.clock};
  }
  [[nodiscard]] bool Running(int index) const;
  void CheckWatch(int index);
  void CheckHeldCall(int index);
  void HandleReply(int index, std::uint64_t version);
  void Adopt(int index, std::uint64_t version);
  void FetchFrom(int index, int peer);
  void After(int index, std::chrono::milliseconds delay,
             std::function<void()> event);

  /*! @brief State of a silent connection: unnoticed, or given up once. */
  enum class Silence { kUnnoticed, kGivenUp };

  [[nodiscard]] std::chrono::milliseconds TimeToFail(int index, int peer);

  std::vector<Node> nodes;
  /*! @brief Silent connections, by client and server. */
  std::map<std::pair<int, int>, Silence> silent;
  pollenring::PeerVersions wire; /*!< All run the same build. */
  std::uint64_t stored{1};
  std::uint64_t steps{};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_WATCHED_FLEET_H_
