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

namespace pollenring {

/*! @brief Whether a gossip datagram asks for an answer. */
enum class GossipKind { kPing = 0, kAck = 1 };

/*! @brief Names of the kinds. */
inline constexpr EnumTable<GossipKind, 2> kGossipKindNames{{{
    {GossipKind::kPing, "ping"},
    {GossipKind::kAck, "ack"},
}}};

/*! @brief A kind that this build lacks: no answer. */
template <>
struct WireEnum<GossipKind> {
  static constexpr bool kTravels = true;
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
  std::int64_t store_age_ms{-1}; /*!< Of the store's newest word; -1: none. */
  std::uint64_t digest{};        /*!< Of all records that the sender holds. */
  ZoneWithdrawals zones;         /*!< The newest that the sender has heard. */
  std::vector<Member> updates;
  std::uint8_t wire{}; /*!< Newest form that the sender speaks, or 0. */
  bool again{}; /*!< Does not travel; a probe that had no answer so far. */
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
        Field{9, value.wire});
  }
};

/*! @brief Builds of V1 and V2 skip what stands behind the updates. */
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

/*! @brief In the eighth place V2 has its updates, and V1 what it skips. */
template <>
struct ArrayVersion<Gossip> {
  [[nodiscard]] static WireVersion Of(const msgpack::object_array &array) {
    constexpr std::uint32_t kEighth = 7;
    const bool second =
        array.size > kEighth && array.ptr[kEighth].type == msgpack::type::ARRAY;
    return second ? WireVersion::kV2 : WireVersion::kV1;
  }
};

/*! @brief Parts into which records are sorted to find those that differ. */
inline constexpr std::size_t kDigestPartitions = 64;

/*! @brief Digest of the records of each part. */
using PartitionDigests = std::array<std::uint64_t, kDigestPartitions>;

/*! @brief Records of the parts that differ, and digests of all parts. */
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

/*! @brief Asks for the records of the parts that differ. */
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

/*! @brief What membership asks of its surroundings. */
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

  /*! @brief A peer holds other records, for long. @param peer Exchange those
   * that differ with it. */
  virtual void RecordsDiffer(NodeId peer) = 0;

  /*! @brief A peer has told its version. @param peer Peer. @param version It.
   */
  virtual void PeerConfigVersion(NodeId peer, std::uint64_t version) = 0;

  /*! @brief A peer has told which zones are withdrawn. @param withdrawals Its
   * word. */
  virtual void PeerZoneWithdrawals(const ZoneWithdrawals &withdrawals) = 0;
};

/*! @brief Timing of failure detection. */
struct MembershipOptions {
  Duration probe_period{std::chrono::milliseconds{300}};
  Duration probe_timeout{std::chrono::milliseconds{200}};
  int probe_tries{3};
  Duration suspicion_timeout{std::chrono::milliseconds{1500}};
  Duration tombstone_age{std::chrono::minutes{10}};
  /*! @brief Time for which a silent member may be behind a cut; cuts last for
   * seconds, and one that has ended for good never comes back. */
  Duration silent_age{std::chrono::minutes{1}};
  Duration quiet_before_exchange{std::chrono::seconds{2}};
  /*! @brief Time after its start in which a node fetches what differs without
   * waiting for quiet; hundreds that start together never are quiet. */
  Duration young_for{std::chrono::seconds{6}};
  /*! @brief Pause between two such exchanges; one takes some milliseconds. */
  Duration young_pause{std::chrono::milliseconds{400}};
  std::size_t updates_per_gossip{8};
  std::size_t spread_factor{3}; /*!< Sends per update, times log2 of members. */
};

/**
 * @brief Who is there, learned from peers at a constant cost per node.
 *
 * Each period one random peer is probed. Changes ride on probes and answers; a
 * change is passed on a number of times that grows with the logarithm of the
 * membership. A node that is suspected refutes by a newer version.
 */
class Membership {
 public:
  /**
   * @brief Starts with oneself as the only member.
   * @param self Own record.
   * @param options Timing.
   * @param clock Clock.
   * @param random Randomness.
   * @param observer Receives datagrams and changes.
   */
  Membership(Member self, const MembershipOptions &options, const Clock &clock,
             Random &random, MembershipDelegate &observer);

  [[nodiscard]] const Member &Self() const noexcept { return this->self; }

  /*! @brief All other known records, dead ones included. @return By node. */
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
   * @brief Collects what a peer may lack or hold otherwise.
   * @param theirs Its digests.
   * @return Records of the parts whose digests differ, and own digests.
   */
  [[nodiscard]] DigestReply Differing(const PartitionDigests &theirs) const;

  /*! @brief Digests to compare with a peer's. @return Them. */
  [[nodiscard]] const PartitionDigests &Digests() const noexcept {
    return this->digests;
  }

  /*! @brief Changes of any record so far. @return The count, 1 or more. */
  [[nodiscard]] std::uint64_t Changes() const noexcept { return this->changes; }

  /**
   * @brief Members that fell silent of late without having said that they
   * leave.
   * @return The count.
   */
  [[nodiscard]] std::size_t Silent() const noexcept {
    return this->silent_since.size();
  }

  /*! @brief Time since any other node was heard. @return The age. */
  [[nodiscard]] Duration Silence() const noexcept {
    return this->clock.Now() - this->last_heard;
  }

  /**
   * @brief Tells when the store last answered any node, as far as is known.
   *
   * What the store held then has been told together with it.
   * @return The time; 0 when nothing was ever heard.
   */
  [[nodiscard]] Time LastStoreContact() const noexcept {
    return this->last_store_contact;
  }

  /*! @brief The store has answered this node. */
  void RecordStoreContact() noexcept {
    this->last_store_contact = this->clock.Now();
  }

  /*! @brief Advances probes and suspicions; call it often. */
  void Tick();

  /**
   * @brief Takes in a datagram.
   * @param gossip Content.
   */
  void Receive(const Gossip &gossip);

  /**
   * @brief Takes in records learned another way.
   * @param records The records.
   */
  void Merge(const std::vector<Member> &records);

  /**
   * @brief Probes an address that may be a node.
   * @param id The address.
   */
  void Contact(NodeId id);

  /**
   * @brief Replaces what the own targets announce.
   * @param targets The targets.
   */
  void Announce(std::vector<Target> targets);

  /**
   * @brief Replaces the slots that this node says it holds.
   * @param slots The slots.
   */
  void Claim(std::vector<SlotClaim> slots);

  /*! @brief Tells all others that this node leaves. */
  void Leave();

  /**
   * @brief Sets the version that datagrams carry.
   * @param version Configuration version in force here.
   */
  void SetConfigVersion(std::uint64_t version);

  /**
   * @brief Sets the word of withdrawn zones that datagrams carry.
   * @param withdrawals The newest word here.
   */
  void SetZones(const ZoneWithdrawals &withdrawals) {
    this->zones = withdrawals;
  }

 private:
  struct Probe {
    NodeId to;
    std::uint64_t sequence;
    Time due;
    int tries_left;
  };
  struct Spread {
    std::size_t sends_left;
  };

  void Apply(const Member &record);
  void Enqueue(NodeId id);
  void Send(NodeId to, GossipKind kind, std::uint64_t sequence,
            bool again = false);
  [[nodiscard]] std::vector<Member> TakeUpdates();
  void Refute(const Member &rumour);
  void Suspect(NodeId id);
  void ExpireSuspicions();
  void ProbeNext();
  [[nodiscard]] std::optional<NodeId> PickPeer();
  void BumpSelf();
  void CompareDigest(const Gossip &gossip);
  void Touch(const Member &record);
  [[nodiscard]] static std::uint64_t DigestOf(const Member &record);
  [[nodiscard]] static std::size_t PartOfNode(NodeId id) noexcept;
  [[nodiscard]] std::uint64_t WholeDigest() const noexcept;

  Member self;
  MembershipOptions options;
  const Clock &clock;
  Random &random;
  MembershipDelegate &observer;
  std::unordered_map<NodeId, Member> members;
  std::vector<NodeId> order;
  std::size_t next_in_order{};
  std::unordered_map<NodeId, Time> suspected_at;
  std::unordered_map<NodeId, Time> died_at;
  std::unordered_map<NodeId, Time> silent_since;
  /*! @brief Incarnations that have said that they leave. */
  std::unordered_map<NodeId, std::uint64_t> left;
  std::map<NodeId, Spread> spreading;
  NodeId last_spread{};
  std::optional<Probe> probe;
  Time next_probe{};
  Time started{};
  Time last_heard{};
  Time last_change{};
  Time last_exchange{};
  std::uint64_t changes{};
  PartitionDigests
      digests{}; /*!< Exclusive or over the records of each part. */
  std::uint64_t sequence{};
  std::uint64_t config_version{};
  ZoneWithdrawals zones;
  Time last_store_contact{};
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_MEMBERSHIP_H_
