#ifndef POLLENRING_NET_CONNECT_PROBE_H_
#define POLLENRING_NET_CONNECT_PROBE_H_

#include <functional>

#include "pollenring/core/clock.h"
#include "pollenring/core/enum_table.h"
#include "pollenring/net/address.h"
#include "pollenring/net/loop.h"

namespace pollenring {

/*! @brief Result of a connect probe. */
enum class ProbeResult {
  kAccepted,
  kRefused,   /*!< No process listens there. */
  kNoResponse /*!< Neither within the timeout. */
};

/*! @brief Names of the results, as logs spell them. */
inline constexpr EnumTable<ProbeResult, 3> kProbeResultNames{{{
    {ProbeResult::kAccepted, "accepted"},
    {ProbeResult::kRefused, "refused"},
    {ProbeResult::kNoResponse, "no response"},
}}};

/**
 * @brief Checks whether a process listens on an address; sends nothing.
 * @param loop The loop.
 * @param to The address.
 * @param timeout Maximum wait.
 * @param done Called exactly once, never before this function returns.
 */
void ProbeConnect(Loop &loop, const Address &to, Duration timeout,
                  std::function<void(ProbeResult)> done);

}  // namespace pollenring

#endif  // POLLENRING_NET_CONNECT_PROBE_H_
