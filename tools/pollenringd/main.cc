#include <malloc.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <system_error>
#include <thread>
#include <utility>

#include "platform/codecs.h"
#include "platform/store.h"
#include "pollenring/core/random.h"
#include "pollenring/log/log.h"
#include "pollenring/log/process_end.h"
#include "pollenring/mesh/mesh_node.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/address_wait.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/memory_limit.h"
#include "pollenring/node/node.h"
#include "pollenring/node/start_failure.h"

namespace {

using pollenring::Diagnostics;
using pollenring::Settings;
using pollenring::StartFailure;

/*! @brief Size from which a buffer has pages of its own. */
constexpr int kMmapThreshold = 256 * 1024;
constexpr pollenring::Duration kSignalPollPeriod =
    std::chrono::milliseconds{50};

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

void OnSignal(int number) {
  if (number == SIGHUP) {
    reload_requested = 1;
    return;
  }
  stop_requested = 1;
}

[[nodiscard]] std::optional<std::string> ReadFile(const std::string &path) {
  std::ifstream file{path};
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void LogStart(const Settings &settings) {
  LogEvent(pollenring::LogLevel::kInfo, "started",
           {{"zone", settings.zone},
            {"routes", pollenring::kRouteFormNames.Name(settings.routes)},
            {"callers", settings.callers.Format()},
            {"targets", settings.targets.Format()},
            {"nodes", settings.nodes.Format()},
            {"operators", settings.operators.Format()},
            {"platform", settings.platform.Format()}});
}

/*! @brief Reads the settings again and logs whether they are valid. All of them
 * concern sockets, so a change takes effect at the next start only. */
void CheckReload(const std::string &path, const Settings &active) {
  const auto text = ReadFile(path);
  Diagnostics diagnostics;
  Settings settings;
  if (text) settings = pollenring::ReadSettings({path, *text}, diagnostics);
  const bool readable = text && diagnostics.empty();
  const bool same_addresses = readable && settings.callers == active.callers &&
                              settings.nodes == active.nodes &&
                              settings.platform == active.platform;
  LogEvent(
      readable ? pollenring::LogLevel::kInfo : pollenring::LogLevel::kWarning,
      "reload",
      {{"readable", readable},
       {"findings", diagnostics.size()},
       {"same_addresses", same_addresses}});
}

/*! @brief Runs a node until its drain has completed; noexcept, so an uncaught
 * error terminates the process. */
template <typename Node>
[[noreturn]] void RunLoop(pollenring::Loop &loop, Node &node,
                          const Settings &settings,
                          const std::string &path) noexcept {
  loop.Every(kSignalPollPeriod, [&] {
    if (stop_requested != 0) node.Leave();
    if (std::exchange(reload_requested, 0) != 0) CheckReload(path, settings);
    pollenring::FlushLog();
  });
  LogStart(settings);
  loop.Run();
  LogEvent(pollenring::LogLevel::kInfo, "stopped");
  pollenring::FlushLog();
  // Skips destructors, since components refer to each other.
  std::_Exit(EXIT_SUCCESS);
}

[[noreturn]] void RunContractRouting(const Settings &settings,
                                     const std::string &path,
                                     pollenring::Loop &loop,
                                     pollenring::Random &random) {
  pollenring::Node node{settings, loop, random};
  RunLoop(loop, node, settings, path);
}

[[noreturn]] void RunHostRouting(const Settings &settings,
                                 const std::string &path,
                                 pollenring::Loop &loop,
                                 pollenring::Random &random) {
  pollenring::BufferBudget budget{pollenring::BudgetFor(settings.limits),
                                  loop.GetClock()};
  pollenring::HttpClient client{loop, pollenring::ClientLimitsFor(budget)};
  pollenring::StoreTimeout store_timeout;
  pollenring::StoreClient store_client{client, settings.platform, store_timeout,
                                       loop.GetClock()};
  pollenring::platform::Store store{store_client};
  const pollenring::platform::JsonPolicyCodec policies;
  const pollenring::platform::HttpCallerCodec callers;
  const pollenring::platform::HttpTargetCodec targets;
  const pollenring::platform::HttpHeartbeatCodec heartbeats;
  pollenring::MeshNode node{
      settings,
      {loop, client, store, store, policies, callers, targets, heartbeats,
       random, &budget, &store_timeout}};
  RunLoop(loop, node, settings, path);
}

[[nodiscard]] int Run(const Settings &settings, const std::string &path) {
  // A fixed threshold returns large buffers to the system as they are freed;
  // by default it grows, and they fragment the heap instead.
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  const pollenring::SystemClock clock;
  pollenring::AddressWait address_wait{
      settings, clock,
      [](pollenring::Duration pause) { std::this_thread::sleep_for(pause); },
      [] { return stop_requested != 0; }};
  try {
    pollenring::Loop loop{clock, pollenring::RaiseDescriptorLimit(),
                          &address_wait};
    pollenring::SeededRandom random{
        (std::uint64_t{std::random_device{}()} << 32U) |
        std::random_device{}()};
    if (settings.routes == pollenring::RouteForm::kHost) {
      RunHostRouting(settings, path, loop, random);
    }
    RunContractRouting(settings, path, loop, random);
  } catch (const pollenring::ListenError &error) {
    if (stop_requested != 0) {
      LogEvent(pollenring::LogLevel::kInfo, "stopped");
      pollenring::FlushLog();
      return EXIT_SUCCESS;
    }
    nlohmann::json fields = DescribeListenError(error, settings);
    fields["why"] = error.what();
    fields["waited_ms"] = address_wait.Waited().count() / 1000;
    return LogStartFailure(StartFailure::kAddress, std::move(fields));
  } catch (const std::exception &error) {
    return LogStartFailure(StartFailure::kOther, {{"why", error.what()}});
  }
}

/*! @brief Reports a wrong command line. @return The exit code. */
[[nodiscard]] int FailUsage(const std::string &why) {
  std::cerr << "pollenringd: " << why << "; see --help\n";
  return LogStartFailure(StartFailure::kUsage, {{"why", why}});
}

}  // namespace

int main(int argc, char **argv) {
  pollenring::SetUpLog("pollenringd", pollenring::LogLevel::kInfo);
  cxxopts::Options options{"pollenringd",
                           "Overload control daemon local to a target: "
                           "admits, sheds, routes and retries calls."};
  options.add_options()("s,settings", "Settings file (TOML)",
                        cxxopts::value<std::string>())(
      "check", "Check the settings and exit")(
      "v,verbose", "Enable debug logging")("h,help", "Print this help");
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception &error) {
    return FailUsage(error.what());
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help() << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.count("settings") == 0) {
    return FailUsage("--settings FILE is required");
  }
  const auto path = arguments["settings"].as<std::string>();
  const auto text = ReadFile(path);
  if (!text) {
    const std::string why =
        "can't read " + path + ": " + std::generic_category().message(errno);
    std::cerr << "pollenringd: " << why << '\n';
    return LogStartFailure(StartFailure::kSettings, {{"why", why}});
  }
  Diagnostics diagnostics;
  const Settings settings =
      pollenring::ReadSettings({path, *text}, diagnostics);
  for (const auto &diagnostic : diagnostics)
    std::cerr << diagnostic.Format() << '\n';
  const bool valid = diagnostics.empty();
  if (arguments.count("check") > 0)
    return valid ? EXIT_SUCCESS : ExitCodeOf(StartFailure::kSettings);
  if (!valid) {
    return LogStartFailure(StartFailure::kSettings,
                           DescribeFindings(diagnostics));
  }
  if (arguments.count("verbose") > 0)
    pollenring::SetUpLog("pollenringd", pollenring::LogLevel::kDebug);
  pollenring::LogProcessEnd();
  return Run(settings, path);
}
