#ifndef POLLENRING_CORE_OUTCOME_H_
#define POLLENRING_CORE_OUTCOME_H_

#include "pollenring/core/enum_table.h"

namespace pollenring {

/*! @brief What is known of a request's execution when it is answered. */
enum class Outcome {
  kRan,    /*!< The target answered. */
  kNotRun, /*!< No target received the request. */
  kUnknown /*!< A target may have received the request. */
};

/*! @brief Names of the outcomes, as callers see them. */
inline constexpr EnumTable<Outcome, 3> kOutcomeNames{{{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}}};

/*! @brief Why a request was answered by the layer and not by a target. */
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
  kWarmingUp,    /*!< The target is cold and bears no more now. */
  kZoneWithdrawn /*!< The target's zone is to get nothing. */
};

/*! @brief Names of the reasons, as callers and logs see them. */
inline constexpr EnumTable<Reason, 22> kReasonNames{{{
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
}}};

}  // namespace pollenring

#endif  // POLLENRING_CORE_OUTCOME_H_
