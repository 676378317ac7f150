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
  std::optional<WireVersion> version; /*!< Of the sender, if known. */
};

/*! @brief Counts and logs messages that can't be read. */
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
   * @brief Counts a message and logs at most one line per sender and second.
   * @param message The message.
   */
  void Note(const Unreadable &message);

 private:
  struct Sender {
    Time last_logged{};
    std::size_t not_logged{}; /*!< Messages not logged since then. */
  };

  const Clock &clock;
  Metrics &metrics;
  std::unordered_map<std::uint32_t, Sender> senders; /*!< By IP address. */
};

}  // namespace pollenring

#endif  // POLLENRING_WIRE_UNREADABLE_LOG_H_
