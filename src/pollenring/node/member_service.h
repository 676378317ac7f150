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
#include "pollenring/quarantine/quarantine.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Path of a request that stores a node's departures at a peer. */
inline constexpr std::string_view kDeparturesPath{"members-departures"};

/*! @brief Connects membership to datagrams, the platform and listeners. */
class MemberService final : public MembershipDelegate,
                            public DepartureReplicas {
 public:
  using MemberListener = std::function<void(const Member &)>;
  using VersionListener = std::function<void(NodeId, std::uint64_t)>;
  using ZonesListener = std::function<void(const ZoneWithdrawals &)>;

  /**
   * @brief Creates the service.
   * @param self Own record.
   * @param seeds Addresses of nodes to join through.
   * @param loop The loop.
   * @param bus Datagrams to other nodes.
   * @param link Client for streams to other nodes.
   * @param table The platform's table.
   * @param quarantine Its reports travel with gossip.
   * @param random Source of jitter and choices.
   * @param first_start Whether all nodes start together, for the first time.
   */
  MemberService(Member self, std::vector<Address> seeds, Loop &loop, Bus &bus,
                LinkClient &link, Table &table, Quarantine &quarantine,
                Random &random, bool first_start = false);

  [[nodiscard]] Membership &Get() noexcept { return this->membership; }
  [[nodiscard]] const Membership &Get() const noexcept {
    return this->membership;
  }

  /*! @brief Whether this node is a designated watcher of the store. @return
   * The role. */
  [[nodiscard]] const StoreWatcherRole &WatcherRole() const noexcept {
    return this->watcher_role;
  }

  /*! @brief Whether this node knows the others, or that it is alone. */
  [[nodiscard]] bool Joined() const noexcept { return this->joined; }

  /*! @brief Adds a listener for changed records. @param listener Listener. */
  void OnMember(MemberListener listener);

  /*! @brief Adds a listener for configuration versions of peers. @param
   * listener Listener. */
  void OnVersion(VersionListener listener);

  /*! @brief Adds a listener for zone withdrawals that peers report. @param
   * listener Listener. */
  void OnZones(ZonesListener listener);

  /*! @brief Joins other nodes and starts to probe them. */
  void Start();

  /**
   * @brief Handles a request of another node; replies in its encoding.
   * @param path Path of the request.
   * @param from Sender.
   * @param body Its content.
   * @return The reply, or nothing if the path is not one of membership.
   */
  [[nodiscard]] std::optional<std::string> HandleRequest(
      std::string_view path, const Address &from, const std::string &body);

  void Announce(const DepartureRecord &record) override;
  void Replicate(DepartureReplicas::Done done) override;

  void SendGossip(NodeId to, const Gossip &gossip) override;
  void MemberChanged(const Member &member) override;
  void PeerConfigVersion(NodeId peer, std::uint64_t version) override;
  void PeerZoneWithdrawals(const ZoneWithdrawals &withdrawals) override;
  void RecordsDiffer(NodeId peer) override;
  [[nodiscard]] std::vector<CrashReport> TakeCrashReports() override;
  void PeerCrashReports(const std::vector<CrashReport> &reports) override;

 private:
  [[nodiscard]] std::string ReplyToJoin(const Address &from,
                                        const std::string &body);
  [[nodiscard]] std::string ReplyToDigests(const Address &from,
                                           const std::string &body);
  [[nodiscard]] std::string ReplyToDepartures(const Address &from,
                                              const std::string &body);
  /*! @brief Merges records. @return Their wire version; the one that all
   * builds read if they can't be decoded. */
  WireVersion MergeRecords(const Address &from, const std::string &body);
  void Bootstrap();
  void ReadBootstrapRow();
  void Receive(NodeId from, const Gossip &gossip, WireVersion version);
  void JoinThrough(NodeId peer);
  void HandleJoinReply(NodeId peer, WireVersion request_version,
                       const std::string &body);
  void ExchangeRecords(NodeId peer, const std::string &body);
  /*! @brief Listed nodes without a member record here. */
  [[nodiscard]] std::vector<NodeId> UnknownOf(
      const std::vector<NodeId> &listed) const;
  void JoinThroughSome(std::vector<NodeId> peers);
  [[nodiscard]] Duration BootstrapPause();
  void Register(std::uint64_t version, std::vector<NodeId> listed);
  [[nodiscard]] bool Alone() const;
  /*! @brief Sends new crash reports to some peers, which do likewise. */
  void SpreadCrashReports();

  std::vector<Address> seeds;
  Loop &loop;
  Bus &bus;
  LinkClient &link;
  Table &table;
  Quarantine &quarantine;
  Random &random;
  Membership membership;
  StoreWatcherRole watcher_role;
  bool first_start;
  std::vector<MemberListener> member_listeners;
  std::vector<VersionListener> version_listeners;
  std::vector<ZonesListener> zones_listeners;
  Time started{};
  bool joined{};
  bool spreading{}; /*!< Crash reports are about to be sent. */
  std::optional<WireVersion> reply_version; /*!< Of the probe being handled. */
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_MEMBER_SERVICE_H_
