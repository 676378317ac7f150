#ifndef POLLENRING_NODE_ADDRESS_WAIT_H_
#define POLLENRING_NODE_ADDRESS_WAIT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

#include "pollenring/core/clock.h"
#include "pollenring/net/listen.h"
#include "pollenring/node/settings.h"

namespace pollenring {

/**
 * @brief Waits for addresses that another process still holds, and logs each
 * try.
 *
 * A process that has just ended, or still drains, frees its addresses soon. All
 * other errors end the start at once.
 */
class AddressWait final : public ListenRetry {
 public:
  /*! @brief Blocks for a while. */
  using Pause = std::function<void(Duration)>;

  /**
   * @brief Creates the wait.
   * @param settings Settings, which name the listeners. The predecessor on the
   * VM ends within their grace period, so that is the limit of the wait.
   * @param clock Clock.
   * @param pause Blocks between two tries.
   * @param stopping Whether the process has been told to stop.
   */
  AddressWait(const Settings &settings, const Clock &clock, Pause pause,
              std::function<bool()> stopping);

  [[nodiscard]] bool Wait(const ListenError &error) override;

  /*! @brief Time since an address was first found in use. @return The time. */
  [[nodiscard]] Duration Waited() const;

 private:
  const Settings &settings;
  const Clock &clock;
  Pause pause;
  std::function<bool()> stopping;
  std::optional<Time> since; /*!< Of the first failure. */
};

/**
 * @brief Describes a listener that can't be opened.
 * @param error Why not.
 * @param settings Settings that give its address.
 * @return Fields of a log line.
 */
[[nodiscard]] nlohmann::json DescribeListenError(const ListenError &error,
                                                 const Settings &settings);

}  // namespace pollenring

#endif  // POLLENRING_NODE_ADDRESS_WAIT_H_
