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
 * @brief Keeps the operator's newest document in force, and which availability
 * zones are withdrawn.
 *
 * The nodes on duty watch the store; all others hear of versions from peers,
 * and watch it themselves while no word of it reaches them. A version never
 * goes back.
 */
class PolicyFollower final : public WorkspaceRates {
 public:
  /**
   * @brief Starts without a document.
   * @param loop The loop.
   * @param members Membership; it tells peers' versions.
   * @param link Streams to peers.
   * @param source Where the document lies.
   * @param codec How it is written.
   * @param random Randomness.
   */
  PolicyFollower(Loop &loop, MemberService &members, LinkClient &link,
                 PolicySource &source, const PolicyCodec &codec,
                 Random &random);

  /*! @brief Starts to watch. @param changed Called when what is in force has
   * changed: the configuration, or which zones are withdrawn. */
  void Start(std::function<void()> changed);

  /*! @brief Which availability zones are to get nothing. @return Them. */
  [[nodiscard]] const WithdrawnZones &Zones() const noexcept {
    return this->zones;
  }

  /*! @brief The configuration in force; version 0 declares nothing. */
  [[nodiscard]] const HostTable &Active() const noexcept { return this->table; }

  /*! @brief Since when this node knows that a zone is withdrawn. @return By
   * zone. */
  [[nodiscard]] const std::map<std::string, Time> &WithdrawnSince()
      const noexcept {
    return this->withdrawn_since;
  }

  /*! @brief The document in force, for a peer. @return Its text. */
  [[nodiscard]] const std::string &Document() const noexcept {
    return this->document;
  }

  /*! @brief Time since the store last answered this node or, as it heard, any
   * other. @return The age. */
  [[nodiscard]] Duration StoreSilence() const noexcept {
    return this->loop.GetClock().Now() -
           std::max(this->last_store_contact,
                    this->members.Get().LastStoreContact());
  }

  [[nodiscard]] std::optional<WorkspaceRateLimit> RateOf(
      const std::string &workspace) const override;

 private:
  void Check();
  void Read();
  void Await();
  void Failed(StorageError error);
  void Heard();
  void Take(std::string text, std::string_view origin);
  void TakeZones(const ZoneWithdrawals &withdrawals, std::string_view origin);
  void PeerVersion(NodeId peer, std::uint64_t version);
  void Pull(NodeId peer);
  void Spread();

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
  ZoneWithdrawals watched; /*!< What this node's own watch has told so far. */
  std::function<void()> changed;
  std::uint64_t revision{};
  Time last_store_contact{};
  Duration pause{};
  Time first_read{}; /*!< When a node without a document reads the store. */
  bool asking{};     /*!< A call to the store, or a pause after one, is on. */
  bool watching{};   /*!< No change since `revision` was missed. */
  bool store_lost{};
  bool pulling{};
};

}  // namespace pollenring

#endif  // POLLENRING_MESH_POLICY_FOLLOWER_H_
