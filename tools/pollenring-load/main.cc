#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "driver.h"
#include "pollenring/net/loop.h"
#include "scenario.h"

namespace {

constexpr int kExitUsage = 2;
constexpr std::size_t kMaxResponseBytes = std::size_t{32} * 1024 * 1024;

void PrintTable(const nlohmann::json &report) {
  const auto row = [](const char *name, double value, const char *unit) {
    std::cout << "  " << std::left << std::setw(44) << name << std::right
              << std::setw(10) << std::fixed << std::setprecision(3) << value
              << ' ' << unit << '\n';
  };
  const auto metric = [&](const char *key) { return report.value(key, 0.0); };
  std::cout << "measure, as callers saw it\n";
  row("requests wanted", metric("wanted"), "");
  row("whole requests answered", metric("whole"), "");
  row("goodput before the trigger", metric("goodput_before"), "/s");
  row("goodput during the trigger", metric("goodput_in_trigger"), "/s");
  row("goodput after the trigger", metric("goodput_after"), "/s");
  row("recovery to 95 % (-1: not in time)", metric("recovery_s"), "s");
  row("worst-served workspace, of its entitlement", metric("worst_served"), "");
  row("refused for rate though within it",
      metric("rate_refused_within_part") * 100, "%");
  row("refused for any reason though within rate",
      metric("refused_within_part") * 100, "%");
  row("latency, median", metric("latency_p50_ms"), "ms");
  row("latency, 99th percentile", metric("latency_p99_ms"), "ms");
}

}  // namespace

int main(int argc, char **argv) {
  cxxopts::Options options{"pollenring-load",
                           "Open-loop load generator with retries, for tests "
                           "and measurements only."};
  options.add_options()("s,scenario", "Scenario file (TOML)",
                        cxxopts::value<std::string>())(
      "json", "Write the report to this file",
      cxxopts::value<std::string>()->default_value(""))("h,help",
                                                        "Print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("scenario") == 0) {
      std::cout << options.help() << '\n';
      return arguments.count("help") > 0 ? EXIT_SUCCESS : kExitUsage;
    }
    const auto path = arguments["scenario"].as<std::string>();
    std::ifstream stream{path};
    std::ostringstream text;
    text << stream.rdbuf();
    pollenring::Diagnostics diagnostics;
    const auto scenario = load::ReadScenario({path, text.str()}, diagnostics);
    for (const auto &diagnostic : diagnostics)
      std::cerr << diagnostic.Format() << '\n';
    if (!diagnostics.empty()) return kExitUsage;
    std::signal(SIGPIPE, SIG_IGN);
    const pollenring::SystemClock clock;
    pollenring::Loop loop{clock};
    pollenring::HttpClient client{loop, {kMaxResponseBytes}};
    load::Driver driver{scenario, loop, client};
    std::cout << "seed " << scenario.seed << '\n';
    driver.Start();
    loop.Run();
    nlohmann::json report = driver.GetMetrics().Report();
    PrintTable(report);
    const auto out = arguments["json"].as<std::string>();
    if (!out.empty()) {
      report["said_not_run"] = driver.NotExecutedIds();
      std::ofstream{out} << report.dump(1) << '\n';
    }
    std::cout << std::flush;
    std::_Exit(EXIT_SUCCESS);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "pollenring-load: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
}
