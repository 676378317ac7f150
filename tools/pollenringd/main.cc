#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

#include "platform/codecs.h"
#include "platform/store.h"
#include "pollenring/core/random.h"
#include "pollenring/log/log.h"
#include "pollenring/log/process_end.h"
#include "pollenring/mesh/mesh_node.h"
#include "pollenring/net/descriptors.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/memory_limit.h"
#include "pollenring/node/node.h"

namespace {

using pollenring::Diagnostics;
using pollenring::Settings;

constexpr int kExitUsage = 2;
constexpr int kExitStartupFailed = 1;
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
            {"nodes", settings.nodes.Format()}});
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

void RunContractRouting(const Settings &settings, const std::string &path,
                        pollenring::Loop &loop, pollenring::Random &random) {
  pollenring::Node node{settings, loop, random};
  RunLoop(loop, node, settings, path);
}

void RunHostRouting(const Settings &settings, const std::string &path,
                    pollenring::Loop &loop, pollenring::Random &random) {
  pollenring::BufferBudget budget{pollenring::BudgetFor(settings.limits),
                                  loop.GetClock()};
  pollenring::HttpClient client{loop, pollenring::ClientLimitsFor(budget)};
  pollenring::StoreClient store_client{client, settings.platform};
  pollenring::platform::Store store{store_client};
  const pollenring::platform::JsonPolicyCodec policies;
  const pollenring::platform::HttpCallerCodec callers;
  const pollenring::platform::HttpTargetCodec targets;
  const pollenring::platform::HttpHeartbeatCodec heartbeats;
  pollenring::MeshNode node{settings,
                            {loop, client, store, store, policies, callers,
                             targets, heartbeats, random, &budget}};
  RunLoop(loop, node, settings, path);
}

[[nodiscard]] int Run(const Settings &settings, const std::string &path) {
  // A fixed threshold returns large buffers to the system as they are freed;
  // by default it grows, and they fragment the heap instead.
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock, pollenring::RaiseDescriptorLimit()};
  pollenring::SeededRandom random{
      (std::uint64_t{std::random_device{}()} << 32U) | std::random_device{}()};
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  try {
    if (settings.routes == pollenring::RouteForm::kHost) {
      RunHostRouting(settings, path, loop, random);
    }
    RunContractRouting(settings, path, loop, random);
  } catch (const std::runtime_error &error) {
    LogEvent(pollenring::LogLevel::kError, "startup failed",
             {{"why", error.what()}});
    pollenring::FlushLog();
  }
  return kExitStartupFailed;
}

}  // namespace

int main(int argc, char **argv) {
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
    std::cerr << "pollenringd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help() << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "pollenringd: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const auto path = arguments["settings"].as<std::string>();
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << "pollenringd: can't read " << path << '\n';
    return kExitUsage;
  }
  Diagnostics diagnostics;
  const Settings settings =
      pollenring::ReadSettings({path, *text}, diagnostics);
  for (const auto &diagnostic : diagnostics)
    std::cerr << diagnostic.Format() << '\n';
  if (!diagnostics.empty()) return kExitUsage;
  if (arguments.count("check") > 0) return EXIT_SUCCESS;
  const bool verbose = arguments.count("verbose") > 0;
  pollenring::SetUpLog("pollenringd", verbose ? pollenring::LogLevel::kDebug
                                              : pollenring::LogLevel::kInfo);
  pollenring::LogProcessEnd();
  return Run(settings, path);
}
