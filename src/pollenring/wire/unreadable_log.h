#ifndef POLLENRING_WIRE_UNREADABLE_LOG_H_
#define POLLENRING_WIRE_UNREADABLE_LOG_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/net/address.h"
#include "pollenring/wire/version.h"

namespace pollenring {

class Metrics;

/*! @brief A message that could not be read. */
struct Unreadable {
  Address from;
  std::string_view kind;
  std::size_t bytes{};
  std::optional<WireVersion> version; /*!< What the sender speaks, if known. */
};

/*! @brief Counts messages that can't be read, and tells the log of them. */
class UnreadableLog {
 public:
  /**
   * @brief Starts empty.
   * @param clock Clock.
   * @param metrics Where `pollenring_unreadable_total` is counted, by kind.
   */
  UnreadableLog(const Clock &clock, Metrics &metrics)
      : clock{clock}, metrics{metrics} {}

  /**
   * @brief Counts a message; one line for a sender each second.
   * @param message The message.
   */
  void Note(const Unreadable &message);

 private:
  struct Sender {
    Time told{};
    std::size_t untold{}; /*!< Messages since then. */
  };

  const Clock &clock;
  Metrics &metrics;
  std::unordered_map<std::uint32_t, Sender> senders; /*!< By their host. */
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_UNREADABLE_LOG_H_
