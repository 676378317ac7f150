#ifndef POLLENRING_MEMBERSHIP_MEMBERSHIP_H_
#define POLLENRING_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pollenring/config/withdrawn_zones.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/membership/member.h"
#include "pollenring/membership/membership_options.h"
#include "pollenring/quarantine/crash_report.h"

namespace pollenring {

/*! @brief Whether a gossip datagram requires a reply. */
enum class GossipKind { kPing = 0, kAck = 1 };

/*! @brief Names of the kinds. */
inline constexpr EnumTable<GossipKind, 2> kGossipKindNames{{{
    {GossipKind::kPing, "ping"},
    {GossipKind::kAck, "ack"},
}}};

/*! @brief Unknown kinds: no reply. */
template <>
struct WireEnum<GossipKind> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"gossip kind"};
  static constexpr const auto &kNames = kGossipKindNames;
  static constexpr GossipKind kUnknown = GossipKind::kAck;
};

/*! @brief One gossip datagram. */
struct Gossip {
  GossipKind kind{GossipKind::kPing};
  NodeId from{};
  std::uint64_t sequence{};
  std::uint64_t config_version{};
  std::int64_t store_age_ms{-1}; /*!< Of the last store contact; -1: none. */
  std::uint64_t digest{};        /*!< Over all records of the sender. */
  ZoneWithdrawals zones;         /*!< The newest known to the sender. */
  std::vector<Member> updates;
  std::uint8_t wire{}; /*!< Newest wire version of the sender, or 0. */
  std::vector<CrashReport> crash_reports;
  bool is_retry{}; /*!< Not encoded; marks the retry of a probe. */
};

template <>
struct NumberedLayout<Gossip> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(
        Field{1, value.kind}, Field{2, value.from}, Field{3, value.sequence},
        Field{4, value.config_version}, Field{5, value.store_age_ms},
        Field{6, value.digest}, Field{7, value.zones}, Field{8, value.updates},
        Field{9, value.wire}, Field{10, value.crash_reports});
  }
};

/*! @brief Builds of V1 and V2 ignore what follows the updates. */
template <>
struct ArrayLayout<Gossip, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.kind, value.from, value.sequence,
                    value.config_version, value.store_age_ms, value.digest,
                    value.updates, value.wire);
  }
};

template <>
struct ArrayLayout<Gossip, WireVersion::kV2> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.kind, value.from, value.sequence,
                    value.config_version, value.store_age_ms, value.digest,
                    value.zones, value.updates, value.wire);
  }
};

/*! @brief The eighth element is the array of updates in V2, and absent or an
 * integer that builds ignore in V1. */
template <>
struct ArrayVersion<Gossip> {
  [[nodiscard]] static WireVersion Of(const msgpack::object_array &array) {
    constexpr std::uint32_t kUpdatesIndex = 7;
    const bool is_v2 = array.size > kUpdatesIndex &&
                       array.ptr[kUpdatesIndex].type == msgpack::type::ARRAY;
    return is_v2 ? WireVersion::kV2 : WireVersion::kV1;
  }
};

/*! @brief Partitions of the records whose digests are compared. */
inline constexpr std::size_t kDigestPartitions = 64;

/*! @brief Digest of the records of each partition. */
using PartitionDigests = std::array<std::uint64_t, kDigestPartitions>;

/*! @brief Records of the partitions that differ, and all digests. */
struct DigestReply {
  PartitionDigests digests{};
  std::vector<Member> records;
};

template <>
struct NumberedLayout<DigestReply> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.digests}, Field{2, value.records});
  }
};

template <>
struct ArrayLayout<DigestReply, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.digests, value.records);
  }
};

/*! @brief Requests the records of the partitions that differ. */
struct DigestRequest {
  PartitionDigests digests{};
};

template <>
struct NumberedLayout<DigestRequest> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.digests});
  }
};

/*! @brief Dependencies of membership. */
class MembershipDelegate {
 public:
  MembershipDelegate() = default;
  MembershipDelegate(const MembershipDelegate &) = delete;
  MembershipDelegate &operator=(const MembershipDelegate &) = delete;
  virtual ~MembershipDelegate() = default;

  /*! @brief Sends a datagram. @param to Receiver. @param gossip Content. */
  virtual void SendGossip(NodeId to, const Gossip &gossip) = 0;

  /*! @brief A member's record has changed. @param member The new record. */
  virtual void MemberChanged(const Member &member) = 0;

  /*! @brief A peer's records differ persistently. @param peer Peer to exchange
   * the differing records with. */
  virtual void RecordsDiffer(NodeId peer) = 0;

  /*! @brief A peer reports its configuration version. @param peer Peer.
   * @param version Its version. */
  virtual void PeerConfigVersion(NodeId peer, std::uint64_t version) = 0;

  /*! @brief A peer reports which zones are withdrawn. @param withdrawals Its
   * report. */
  virtual void PeerZoneWithdrawals(const ZoneWithdrawals &withdrawals) = 0;

  /*! @brief Reports to attach to a datagram. @return The reports. */
  [[nodiscard]] virtual std::vector<CrashReport> TakeCrashReports() = 0;

  /*! @brief A peer reports crashes. @param reports Its reports. */
  virtual void PeerCrashReports(const std::vector<CrashReport> &reports) = 0;
};

/**
 * @brief SWIM-like membership at a constant cost per node.
 *
 * Each period one random peer is probed. Updates are piggybacked on probes and
 * acks; each is sent a number of times that grows with the logarithm of the
 * membership. A suspected node refutes with a newer version.
 */
class Membership {
 public:
  /**
   * @brief Starts with this node as the only member.
   * @param self Record of this node.
   * @param options Timing.
   * @param clock Clock.
   * @param random Source of randomness.
   * @param delegate Sends datagrams and is notified of changes.
   */
  Membership(Member self, const MembershipOptions &options, const Clock &clock,
             Random &random, MembershipDelegate &delegate);

  [[nodiscard]] const Member &Self() const noexcept { return this->self; }

  /*! @brief All other known records, including dead ones. @return By node. */
  [[nodiscard]] const std::unordered_map<NodeId, Member> &Members()
      const noexcept {
    return this->members;
  }

  /**
   * @brief Finds a record.
   * @param id The node.
   * @return Its record, or null.
   */
  [[nodiscard]] const Member *Find(NodeId id) const;

  /*! @brief Records that a joining node needs. @return All records. */
  [[nodiscard]] std::vector<Member> Snapshot() const;

  /**
   * @brief Collects records that a peer may lack or hold in other versions.
   * @param theirs The peer's digests.
   * @return Records of the partitions that differ, and all digests.
   */
  [[nodiscard]] DigestReply Differing(const PartitionDigests &theirs) const;

  /*! @brief Digests to compare with a peer's. @return One per partition. */
  [[nodiscard]] const PartitionDigests &Digests() const noexcept {
    return this->digests;
  }

  /*! @brief Record changes so far. @return The count, at least 1. */
  [[nodiscard]] std::uint64_t Changes() const noexcept { return this->changes; }

  /**
   * @brief Members that recently became unreachable without announcing that
   * they leave.
   * @return The count.
   */
  [[nodiscard]] std::size_t UnreachableMembers() const noexcept {
    return this->unreachable_since.size();
  }

  /*! @brief Time since the last contact with any other node. @return Age. */
  [[nodiscard]] Duration SinceLastContact() const noexcept {
    return this->clock.Now() - this->last_contact;
  }

  /**
   * @brief Last time that the store responded to any node, as far as known.
   *
   * What the store held then was reported together with it.
   * @return The time; 0 before any contact.
   */
  [[nodiscard]] Time LastStoreContact() const noexcept {
    return this->last_store_contact;
  }

  /*! @brief Records that the store has responded to this node, and tells some
   * peers; call it once what the store holds is active here. A response that
   * may be old, as the process stood still, does not count. */
  void RecordStoreContact();

  /*! @brief Advances probes and suspicions; to be called frequently. */
  void Tick();

  /**
   * @brief Handles a datagram.
   * @param gossip Content.
   */
  void Receive(const Gossip &gossip);

  /**
   * @brief Merges records that did not arrive by gossip.
   * @param records The records.
   */
  void Merge(const std::vector<Member> &records);

  /**
   * @brief Probes an address that may be a node.
   * @param id The address.
   */
  void Contact(NodeId id);

  /**
   * @brief Replaces the targets that this node announces.
   * @param targets The targets.
   */
  void Announce(std::vector<Target> targets);

  /**
   * @brief Replaces the slots that this node claims to hold.
   * @param slots The slots.
   */
  void Claim(std::vector<SlotClaim> slots);

  /**
   * @brief Adds to the departures that this node announces. Peers hand them
   * back to it after a restart.
   * @param departures Departures of the local target.
   */
  void AddDepartures(const DepartureRecord &departures);

  /*! @brief Announces to all others that this node leaves the fleet. */
  void Leave();

  /**
   * @brief Sets the configuration version that datagrams carry.
   * @param version Active version of this node.
   */
  void SetConfigVersion(std::uint64_t version);

  /**
   * @brief Sets the withdrawn zones that datagrams carry.
   * @param withdrawals The newest known to this node.
   */
  void SetZones(const ZoneWithdrawals &withdrawals) {
    this->zones = withdrawals;
  }

 private:
  struct Probe {
    NodeId to;
    std::uint64_t sequence;
    Time due;
    int attempts_left;
  };
  struct PendingUpdate {
    std::size_t sends_left;
  };

  void Apply(const Member &record);
  void Enqueue(NodeId id);
  void Send(NodeId to, GossipKind kind, std::uint64_t sequence,
            bool is_retry = false);
  [[nodiscard]] std::vector<Member> TakeUpdates();
  void Refute(const Member &record);
  void Suspect(NodeId id);
  void ExpireSuspicions();
  void ProbeNext();
  [[nodiscard]] std::optional<NodeId> PickPeer();
  void BumpSelf();
  void CompareDigest(const Gossip &gossip);
  /*! @brief Whether what is read now may have arrived long ago. */
  [[nodiscard]] bool InputMayBeOld() const noexcept;
  void ToggleDigest(const Member &record);
  [[nodiscard]] static std::uint64_t DigestOf(const Member &record);
  [[nodiscard]] static std::size_t PartitionOf(NodeId id) noexcept;
  [[nodiscard]] std::uint64_t CombinedDigest() const noexcept;

  Member self;
  MembershipOptions options;
  const Clock &clock;
  Random &random;
  MembershipDelegate &delegate;
  std::unordered_map<NodeId, Member> members;
  std::vector<NodeId> order;
  std::size_t next_in_order{};
  std::unordered_map<NodeId, Time> suspected_at;
  std::unordered_map<NodeId, Time> died_at;
  std::unordered_map<NodeId, Time> unreachable_since;
  /*! @brief Incarnations that have announced that they leave. */
  std::unordered_map<NodeId, std::uint64_t> announced_leave;
  std::map<NodeId, PendingUpdate> pending_updates;
  NodeId last_sent_update{};
  std::optional<Probe> probe;
  Time next_probe{};
  Time started{};
  Time last_tick{};
  Time late_input_until{};
  Time last_contact{};
  Time last_change{};
  Time last_exchange{};
  std::uint64_t changes{};
  PartitionDigests digests{}; /*!< XOR of the records of each partition. */
  std::uint64_t sequence{};
  std::uint64_t config_version{};
  ZoneWithdrawals zones;
  Time last_store_contact{};
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_MEMBERSHIP_H_
