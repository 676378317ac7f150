#ifndef POLLENRING_CORE_OUTCOME_H_
#define POLLENRING_CORE_OUTCOME_H_

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief What is known about a request's execution at its response. */
enum class Outcome {
  kRan,    /*!< The target responded. */
  kNotRun, /*!< No target received the request. */
  kUnknown /*!< A target may have received the request. */
};

/*! @brief Names of the outcomes in responses. */
inline constexpr EnumTable<Outcome, 3> kOutcomeNames{{{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}}};

/*! @brief Why the layer responded to a request instead of a target. */
enum class Reason {
  kNone,
  kMalformed,
  kNoRoute,
  kKeyRefused,
  kCallerRefused,
  kRateLimited,
  kNoShare,
  kOverload,
  kDeadline,
  kNoTarget,
  kTargetFailed,
  kLinkLost,
  kTooLarge,
  kLeaving,
  kStaleConfig,
  kRepeated,
  kInProgress,
  kIdExpired,
  kCancelled,
  kTargetBusy,
  kWarmingUp,     /*!< The target is at its cold-start limit. */
  kZoneWithdrawn, /*!< The target's zone is withdrawn. */
  kTargetLimited, /*!< The target is at the rate that it states. */
  kQuarantined    /*!< Requests like it have crashed their targets. */
};

/*! @brief Names of the reasons in responses and logs. */
inline constexpr EnumTable<Reason, 24> kReasonNames{{{
    {Reason::kNone, "none"},
    {Reason::kMalformed, "malformed"},
    {Reason::kNoRoute, "no-route"},
    {Reason::kKeyRefused, "key-refused"},
    {Reason::kCallerRefused, "caller-refused"},
    {Reason::kRateLimited, "over-rate"},
    {Reason::kNoShare, "no-share"},
    {Reason::kOverload, "overload"},
    {Reason::kDeadline, "deadline"},
    {Reason::kNoTarget, "no-target"},
    {Reason::kTargetFailed, "target-failed"},
    {Reason::kLinkLost, "link-lost"},
    {Reason::kTooLarge, "too-large"},
    {Reason::kLeaving, "leaving"},
    {Reason::kStaleConfig, "not-fresh"},
    {Reason::kRepeated, "repeated"},
    {Reason::kInProgress, "in-progress"},
    {Reason::kIdExpired, "id-expired"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kTargetBusy, "target-busy"},
    {Reason::kWarmingUp, "warming-up"},
    {Reason::kZoneWithdrawn, "zone-withdrawn"},
    {Reason::kTargetLimited, "target-limited"},
    {Reason::kQuarantined, "quarantined"},
}}};

}  // namespace pollenring

#endif  // POLLENRING_CORE_OUTCOME_H_
