#ifndef POLLENRING_MEMBERSHIP_MEMBER_H_
#define POLLENRING_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "pollenring/core/enum_table.h"
#include "pollenring/membership/departures.h"
#include "pollenring/net/address.h"
#include "pollenring/wire/forms.h"
#include "pollenring/wire/version.h"
#include "pollenring/wire/wire_enum.h"

namespace pollenring {

/*! @brief A node's address packed into an integer; unique among live nodes. */
using NodeId = std::uint64_t;

/*! @brief Liveness of a node as its peers see it. */
enum class MemberState { kAlive = 0, kLeaving = 1, kSuspect = 2, kDead = 3 };

/*! @brief Names of the member states. */
inline constexpr EnumTable<MemberState, 4> kMemberStateNames{{{
    {MemberState::kAlive, "alive"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kDead, "dead"},
}}};

/*! @brief State that a target announces. */
enum class TargetState { kCold = 0, kWarm = 1, kDraining = 2 };

/*! @brief Names of the target states. */
inline constexpr EnumTable<TargetState, 3> kTargetStateNames{{{
    {TargetState::kCold, "cold"},
    {TargetState::kWarm, "warm"},
    {TargetState::kDraining, "draining"},
}}};

/*! @brief Unknown states: no new calls, but not dead. */
template <>
struct WireEnum<MemberState> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"member state"};
  static constexpr const auto &kNames = kMemberStateNames;
  static constexpr MemberState kUnknown = MemberState::kLeaving;
};

/*! @brief Unknown states: no calls. */
template <>
struct WireEnum<TargetState> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"target state"};
  static constexpr const auto &kNames = kTargetStateNames;
  static constexpr TargetState kUnknown = TargetState::kDraining;
};

/*! @brief A target co-located with a node, as announced. */
struct Target {
  std::string service;
  std::uint32_t slots{};
  TargetState state{TargetState::kWarm};

  [[nodiscard]] bool operator==(const Target &other) const noexcept {
    return this->service == other.service && this->slots == other.slots &&
           this->state == other.state;
  }
};

template <>
struct NumberedLayout<Target> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.service}, Field{2, value.slots},
                           Field{3, value.state});
  }
};

/*! @brief A lease slot that a node holds. */
struct SlotClaim {
  std::uint32_t slot{};
  std::uint64_t epoch{};
};

template <>
struct NumberedLayout<SlotClaim> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.slot}, Field{2, value.epoch});
  }
};

/*! @brief A node, its location and its targets. */
struct Member {
  NodeId id{};
  std::uint64_t process{};     /*!< Random; constant for the process. */
  std::uint64_t incarnation{}; /*!< Increases with each start. */
  std::uint64_t version{};     /*!< Increases with each change by the node. */
  MemberState state{MemberState::kAlive};
  std::string zone;
  std::string region;
  std::vector<Target> targets;
  std::vector<SlotClaim> slots;
  std::uint8_t wire{}; /*!< Newest wire version it supports; 0: unknown. */
  /*! @brief Of this process and of earlier ones; kept over restarts by peers.
   */
  DepartureRecord departures;

  /**
   * @brief Compares two records of one node.
   * @param other The other record.
   * @return True if this record is newer than the other one.
   */
  [[nodiscard]] bool Supersedes(const Member &other) const noexcept {
    return std::tie(this->incarnation, this->version, this->state) >
           std::tie(other.incarnation, other.version, other.state);
  }
};

template <>
struct NumberedLayout<Member> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.id}, Field{2, value.process},
                           Field{3, value.incarnation}, Field{4, value.version},
                           Field{5, value.state}, Field{6, value.zone},
                           Field{7, value.region}, Field{8, value.targets},
                           Field{9, value.slots}, Field{10, value.wire},
                           Field{11, value.departures});
  }
};

/**
 * @brief Unpacks a node's address.
 * @param id The node.
 * @return Its address; links and datagrams use the same port.
 */
[[nodiscard]] inline Address AddressOf(NodeId id) noexcept {
  return {static_cast<std::uint32_t>(id >> 16U),
          static_cast<std::uint16_t>(id & 0xffffU)};
}

template <>
struct ArrayLayout<Target, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.service, value.slots, value.state);
  }
};

template <>
struct ArrayLayout<SlotClaim, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.slot, value.epoch);
  }
};

/*! @brief Builds of V1 and V2 ignore what follows the slots. */
template <>
struct ArrayLayout<Member, WireVersion::kV1> {
  static constexpr bool kFrozen = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::tie(value.id, value.process, value.incarnation, value.version,
                    value.state, value.zone, value.region, value.targets,
                    value.slots, value.wire);
  }
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_MEMBER_H_
