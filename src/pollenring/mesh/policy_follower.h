#ifndef POLLENRING_MESH_POLICY_FOLLOWER_H_
#define POLLENRING_MESH_POLICY_FOLLOWER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "pollenring/config/withdrawn_zones.h"
#include "pollenring/contract/host_policy.h"
#include "pollenring/core/random.h"
#include "pollenring/link/link_client.h"
#include "pollenring/mesh/codecs.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/member_service.h"

namespace pollenring {

/**
 * @brief Keeps the operator's newest configuration and the set of withdrawn
 * availability zones active.
 *
 * Designated watchers watch the store; all other nodes learn of versions from
 * peers, and watch it themselves while no report of it reaches them. Versions
 * never decrease.
 */
class PolicyFollower final : public WorkspaceRates {
 public:
  /**
   * @brief Creates a follower without a configuration.
   * @param loop The loop.
   * @param members Membership; reports versions of peers.
   * @param link Streams to peers.
   * @param source Store of the document.
   * @param codec Decodes the document.
   * @param random Source of jitter and of peer choice.
   */
  PolicyFollower(Loop &loop, MemberService &members, LinkClient &link,
                 PolicySource &source, const PolicyCodec &codec,
                 Random &random);

  /**
   * @brief Starts to watch.
   * @param changed Called when the active configuration or the set of withdrawn
   * zones has changed.
   * @param store_returned Called when the store has returned from an older copy
   * and may lack what was written to it.
   */
  void Start(std::function<void()> changed,
             std::function<void()> store_returned);

  /*! @brief Zones that must get no requests. @return The withdrawn zones. */
  [[nodiscard]] const WithdrawnZones &Zones() const noexcept {
    return this->zones;
  }

  /*! @brief The active configuration. @return Empty while at version 0. */
  [[nodiscard]] const HostTable &Active() const noexcept { return this->table; }

  /*! @brief When this node learned of each withdrawal. @return Times by
   * zone. */
  [[nodiscard]] const std::map<std::string, Time> &WithdrawnSince()
      const noexcept {
    return this->withdrawn_since;
  }

  /*! @brief The active document, for peers. @return Its text. */
  [[nodiscard]] const std::string &Document() const noexcept {
    return this->document;
  }

  /*! @brief Time since the store last replied to this node or, by its peers'
   * reports, to any other. @return The age. */
  [[nodiscard]] Duration TimeSinceStoreContact() const noexcept {
    return this->loop.GetClock().Now() -
           std::max(this->last_store_contact,
                    this->members.Get().LastStoreContact());
  }

  [[nodiscard]] std::optional<WorkspaceRateLimit> RateOf(
      const std::string &workspace) const override;

 private:
  void CheckWatch();
  void Read();
  void Await();
  /*! @brief Whether a reply is of the newest era that is known, so that its
   * revision counts. */
  [[nodiscard]] bool IsCurrent(const StoredDocument &stored) const noexcept;
  /*! @brief Reads the store again, as cursors of an earlier era mean nothing.
   */
  void RestartWatch();
  void StoreFailed(StorageError error);
  void StoreReplied();
  void Apply(std::string text, std::string_view origin);
  void ApplyZones(const ZoneWithdrawals &withdrawals, std::string_view origin);
  void RecordPeerVersion(NodeId peer, std::uint64_t version);
  void FetchFrom(NodeId peer);
  void NotifyPeers();

  Loop &loop;
  MemberService &members;
  LinkClient &link;
  PolicySource &source;
  const PolicyCodec &codec;
  Random &random;
  HostTable table;
  std::string document;
  std::unordered_map<NodeId, std::uint64_t> peer_versions;
  WithdrawnZones zones;
  std::map<std::string, Time> withdrawn_since;
  ZoneWithdrawals watched_zones; /*!< As reported by this node's own watch. */
  std::function<void()> changed;
  std::function<void()> store_returned;
  std::uint64_t revision{};
  std::uint64_t last_query{}; /*!< Replies to earlier ones are dropped. */
  Time last_store_contact{};
  Duration retry_delay{};
  Time first_read{}; /*!< When to read the store without a document. */
  bool querying{};   /*!< A store call or the pause after one is active. */
  bool watching{};   /*!< No change after `revision` was missed. */
  bool store_lost{};
  bool fetching{};
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_POLICY_FOLLOWER_H_
