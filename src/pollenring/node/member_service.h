#ifndef POLLENRING_NODE_MEMBER_SERVICE_H_
#define POLLENRING_NODE_MEMBER_SERVICE_H_

#include <functional>
#include <string>
#include <vector>

#include "pollenring/link/link_client.h"
#include "pollenring/membership/membership.h"
#include "pollenring/membership/store_duty.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/bus.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Connects membership to datagrams, the platform and listeners. */
class MemberService final : public MembershipObserver {
 public:
  using MemberListener = std::function<void(const Member &)>;
  using VersionListener = std::function<void(NodeId, std::uint64_t)>;
  using ZonesListener = std::function<void(const ZonesWord &)>;

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
  [[nodiscard]] const StoreDuty &Duty() const noexcept { return this->duty; }

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
   * @brief Answers a joining node.
   * @param body Its record.
   * @return All records.
   */
  [[nodiscard]] std::string AnswerJoin(const std::string &body);

  /**
   * @brief Answers a node that holds other records.
   * @param body Its digests.
   * @return Records of the parts that differ, and own digests.
   */
  [[nodiscard]] std::string AnswerDiffering(const std::string &body) const;

  /*! @brief Takes in records. @param body The records. */
  void TakeRecords(const std::string &body);

  void SendGossip(NodeId to, const Gossip &gossip) override;
  void MemberChanged(const Member &member) override;
  void PeerConfigVersion(NodeId peer, std::uint64_t version) override;
  void PeerZones(const ZonesWord &word) override;
  void RecordsDiffer(NodeId peer) override;

 private:
  void Bootstrap();
  void ReadBootstrapRow();
  void JoinThrough(NodeId peer);
  /*! @brief Those of whom this node has never heard. */
  [[nodiscard]] std::vector<NodeId> UnknownOf(
      const std::vector<NodeId> &listed) const;
  void JoinThroughSome(std::vector<NodeId> peers);
  [[nodiscard]] Span BootstrapPause();
  void Register(std::uint64_t version, std::vector<NodeId> listed);
  [[nodiscard]] bool Alone() const;

  std::vector<Address> seeds;
  Loop &loop;
  Bus &bus;
  LinkClient &link;
  Table &table;
  Random &random;
  Membership membership;
  StoreDuty duty;
  bool first_start;
  std::vector<MemberListener> member_listeners;
  std::vector<VersionListener> version_listeners;
  std::vector<ZonesListener> zones_listeners;
  Time started{};
  bool joined{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_MEMBER_SERVICE_H_
