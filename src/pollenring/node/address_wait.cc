#include "pollenring/node/address_wait.h"

#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

constexpr Duration kTryInterval = std::chrono::milliseconds{100};

/*! @brief A setting that gives the address of a listener. */
struct ListenSetting {
  std::string_view name;
  Address Settings::*address;
};

constexpr std::array<ListenSetting, 5> kListenSettings{{
    {"listen.callers", &Settings::callers},
    {"listen.targets", &Settings::targets},
    {"listen.ready", &Settings::ready},
    {"listen.nodes", &Settings::nodes},
    {"listen.operators", &Settings::operators},
}};

[[nodiscard]] std::string_view SettingOf(const Address &address,
                                         const Settings &settings) {
  for (const auto &setting : kListenSettings) {
    if (settings.*setting.address == address) return setting.name;
  }
  return {};
}

}  // namespace

AddressWait::AddressWait(const Settings &settings, const Clock &clock,
                         Pause pause, std::function<bool()> stopping)
    : settings{settings},
      clock{clock},
      pause{std::move(pause)},
      stopping{std::move(stopping)} {}

bool AddressWait::Wait(const ListenError &error) {
  if (error.Code() != EADDRINUSE || this->stopping()) return false;
  if (!this->since) this->since = this->clock.Now();
  const Duration waited = this->Waited();
  if (waited >= this->settings.grace) return false;
  nlohmann::json fields = DescribeListenError(error, this->settings);
  fields["waited_ms"] = waited.count() / 1000;
  fields["limit_ms"] = this->settings.grace.count() / 1000;
  LogEvent(LogLevel::kWarning, "address in use", std::move(fields));
  FlushLog();
  this->pause(kTryInterval);
  return !this->stopping();
}

Duration AddressWait::Waited() const {
  if (!this->since) return Duration{0};
  return this->clock.Now() - *this->since;
}

nlohmann::json DescribeListenError(const ListenError &error,
                                   const Settings &settings) {
  return {{"setting", SettingOf(error.GetAddress(), settings)},
          {"transport", kTransportNames.Name(error.GetTransport())},
          {"address", error.GetAddress().Format()},
          {"errno", error.Code()},
          {"error", std::generic_category().message(error.Code())}};
}

}  // namespace pollenring
