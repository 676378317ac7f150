#include "pollenring/wire/unreadable_log.h"

#include "pollenring/log/log.h"
#include "pollenring/metrics/metrics.h"

namespace pollenring {
namespace {

constexpr Duration kPause = std::chrono::seconds{1};

}  // namespace

void UnreadableLog::Note(const Unreadable &message) {
  this->metrics.Count("pollenring_unreadable_total",
                      {"kind", std::string{message.kind}});
  const Time now = this->clock.Now();
  const auto [found, fresh] = this->senders.try_emplace(message.from.ip);
  Sender &sender = found->second;
  if (!fresh && now - sender.told < kPause) {
    ++sender.untold;
    return;
  }
  const std::string_view version =
      message.version ? kWireVersionNames.Name(*message.version) : "unknown";
  LogEvent(LogLevel::kWarning, "message unreadable",
           {{"from", message.from.Format()},
            {"kind", message.kind},
            {"bytes", message.bytes},
            {"version", version},
            {"untold", sender.untold}});
  sender = {now, 0};
}

}  // namespace pollenring
