#ifndef POLLENRING_MEMBERSHIP_MEMBER_H_
#define POLLENRING_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"
#include "pollenring/wire/forms.h"
#include "pollenring/wire/version.h"
#include "pollenring/wire/wire_enum.h"

namespace pollenring {

/*! @brief A node's address as one integer; unique among living nodes. */
using NodeId = std::uint64_t;

/*! @brief What is believed of a node. */
enum class MemberState { kAlive = 0, kLeaving = 1, kSuspect = 2, kDead = 3 };

/*! @brief Names of the member states. */
inline constexpr EnumTable<MemberState, 4> kMemberStateNames{{{
    {MemberState::kAlive, "alive"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kDead, "dead"},
}}};

/*! @brief What a target says of itself. */
enum class TargetState { kCold = 0, kWarm = 1, kDraining = 2 };

/*! @brief Names of the target states. */
inline constexpr EnumTable<TargetState, 3> kTargetStateNames{{{
    {TargetState::kCold, "cold"},
    {TargetState::kWarm, "warm"},
    {TargetState::kDraining, "draining"},
}}};

/*! @brief A state that this build lacks: no new calls, and not dead. */
template <>
struct WireEnum<MemberState> {
  static constexpr bool kTravels = true;
  static constexpr std::string_view kName{"member state"};
  static constexpr const auto &kNames = kMemberStateNames;
  static constexpr MemberState kUnknown = MemberState::kLeaving;
};

/*! @brief A state that this build lacks: no calls. */
template <>
struct WireEnum<TargetState> {
  static constexpr bool kTravels = true;
  static constexpr std::string_view kName{"target state"};
  static constexpr const auto &kNames = kTargetStateNames;
  static constexpr TargetState kUnknown = TargetState::kDraining;
};

/*! @brief The target beside a node, as it announced itself. */
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

/*! @brief A node, its place and its target. */
struct Member {
  NodeId id{};
  std::uint64_t process{};     /*!< Random; fixed from start to end. */
  std::uint64_t incarnation{}; /*!< Greater after each start. */
  std::uint64_t version{};     /*!< Greater after each change by the node. */
  MemberState state{MemberState::kAlive};
  std::string zone;
  std::string region;
  std::vector<Target> targets;
  std::vector<SlotClaim> slots;
  std::uint8_t wire{}; /*!< Newest form of messages that it speaks, or 0. */

  /**
   * @brief Tells which of two records of one node is newer.
   * @param other The other record.
   * @return Whether this one replaces the other.
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
                           Field{9, value.slots}, Field{10, value.wire});
  }
};

/**
 * @brief Unpacks a node's address.
 * @param id The node.
 * @return Address of its link port and its datagram port.
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

/*! @brief Builds of V1 and V2 skip what stands behind the slots. */
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
