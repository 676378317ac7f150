#ifndef POLLENRING_NODE_MEMBER_SERVICE_H_
#define POLLENRING_NODE_MEMBER_SERVICE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenring/link/link_client.h"
#include "pollenring/membership/membership.h"
#include "pollenring/membership/store_watcher_role.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/bus.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Connects membership to datagrams, the platform and listeners. */
class MemberService final : public MembershipDelegate {
 public:
  using MemberListener = std::function<void(const Member &)>;
  using VersionListener = std::function<void(NodeId, std::uint64_t)>;
  using ZonesListener = std::function<void(const ZoneWithdrawals &)>;

  /**
   * @brief Creates the service.
   * @param self Own record.
   * @param seeds Addresses to begin with.
   * @param loop The loop.
   * @param bus Datagrams.
   * @param link Streams.
   * @param table The platform's table.
   * @param random Randomness.
   * @param first_start Whether all nodes start for the first time, together.
   */
  MemberService(Member self, std::vector<Address> seeds, Loop &loop, Bus &bus,
                LinkClient &link, Table &table, Random &random,
                bool first_start = false);

  [[nodiscard]] Membership &Get() noexcept { return this->membership; }
  [[nodiscard]] const Membership &Get() const noexcept {
    return this->membership;
  }

  /*! @brief Who asks the store on behalf of all. @return The decision. */
  [[nodiscard]] const StoreWatcherRole &WatcherRole() const noexcept {
    return this->duty;
  }

  /*! @brief Whether this node knows the others, or that there are none. */
  [[nodiscard]] bool Joined() const noexcept { return this->joined; }

  /*! @brief Adds a listener for changed records. @param listener It. */
  void OnMember(MemberListener listener);

  /*! @brief Adds a listener for peers' versions. @param listener It. */
  void OnVersion(VersionListener listener);

  /*! @brief Adds a listener for peers' words of withdrawn zones. @param
   * listener It. */
  void OnZones(ZonesListener listener);

  /*! @brief Looks for other nodes and starts to probe. */
  void Start();

  /**
   * @brief Answers a message of another node, in the form of the message.
   * @param path What it is for.
   * @param from Where it came from.
   * @param body Its content.
   * @return The answer, or nothing when it is not for membership.
   */
  [[nodiscard]] std::optional<std::string> Answer(std::string_view path,
                                                  const Address &from,
                                                  const std::string &body);

  void SendGossip(NodeId to, const Gossip &gossip) override;
  void MemberChanged(const Member &member) override;
  void PeerConfigVersion(NodeId peer, std::uint64_t version) override;
  void PeerZoneWithdrawals(const ZoneWithdrawals &withdrawals) override;
  void RecordsDiffer(NodeId peer) override;

 private:
  [[nodiscard]] std::string AnswerJoin(const Address &from,
                                       const std::string &body);
  [[nodiscard]] std::string AnswerDiffering(const Address &from,
                                            const std::string &body);
  /*! @brief Takes in records. @return Their form; the one that all builds read
   * when it can't be told. */
  WireVersion TakeRecords(const Address &from, const std::string &body);
  void Bootstrap();
  void ReadBootstrapRow();
  void Receive(NodeId from, const Gossip &gossip, WireVersion version);
  void JoinThrough(NodeId peer);
  void Joined(NodeId peer, WireVersion asked, const std::string &body);
  void Exchange(NodeId peer, const std::string &body);
  /*! @brief Those of whom this node has never heard. */
  [[nodiscard]] std::vector<NodeId> UnknownOf(
      const std::vector<NodeId> &listed) const;
  void JoinThroughSome(std::vector<NodeId> peers);
  [[nodiscard]] Duration BootstrapPause();
  void Register(std::uint64_t version, std::vector<NodeId> listed);
  [[nodiscard]] bool Alone() const;

  std::vector<Address> seeds;
  Loop &loop;
  Bus &bus;
  LinkClient &link;
  Table &table;
  Random &random;
  Membership membership;
  StoreWatcherRole duty;
  bool first_start;
  std::vector<MemberListener> member_listeners;
  std::vector<VersionListener> version_listeners;
  std::vector<ZonesListener> zones_listeners;
  Time started{};
  bool joined{};
  std::optional<WireVersion> answers; /*!< Form of the probe in progress. */
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_MEMBER_SERVICE_H_
