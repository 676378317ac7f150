#ifndef POLLENRING_QUARANTINE_CRASH_REPORT_H_
#define POLLENRING_QUARANTINE_CRASH_REPORT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "pollenring/core/enum_table.h"
#include "pollenring/quarantine/fingerprint.h"
#include "pollenring/wire/forms.h"
#include "pollenring/wire/wire_enum.h"

namespace pollenring {

/*! @brief What a report says of its requests. */
enum class CrashReportKind {
  kCrash = 0,    /*!< A target ended while they ran. */
  kComplete = 1, /*!< They have run to completion. */
  kUnknown = 2   /*!< A kind that this build lacks. */
};

/*! @brief Names of the kinds. */
inline constexpr EnumTable<CrashReportKind, 3> kCrashReportKindNames{{{
    {CrashReportKind::kCrash, "crash"},
    {CrashReportKind::kComplete, "complete"},
    {CrashReportKind::kUnknown, "unknown"},
}}};

/*! @brief Unknown kinds are not acted on. */
template <>
struct WireEnum<CrashReportKind> {
  static constexpr bool kOnWire = true;
  static constexpr std::string_view kName{"crash report kind"};
  static constexpr const auto &kNames = kCrashReportKindNames;
  static constexpr CrashReportKind kUnknown = CrashReportKind::kUnknown;
};

/*! @brief Blame is encoded in thousandths. */
inline constexpr double kBlameScale = 1000;

/*! @brief What a node tells others of requests and the crash of its target. */
struct CrashReport {
  std::uint64_t id{};    /*!< Random; the same wherever it is forwarded. */
  std::uint64_t crash{}; /*!< Random; one for each end of a target. */
  CrashReportKind kind{CrashReportKind::kUnknown};
  std::int64_t age_ms{};
  std::int32_t blame_milli{}; /*!< Of each request, in thousandths. */
  std::vector<Fingerprint> requests;
};

template <>
struct NumberedLayout<CrashReport> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.id}, Field{2, value.crash},
                           Field{3, value.kind}, Field{4, value.age_ms},
                           Field{5, value.blame_milli},
                           Field{6, value.requests});
  }
};

}  // namespace pollenring

#endif  // POLLENRING_QUARANTINE_CRASH_REPORT_H_
