#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

#include "platform.h"
#include "pollenring/net/loop.h"
#include "target.h"

namespace {

using pollenring::Address;

constexpr int kExitUsage = 2;
constexpr std::size_t kMaxAnswerBytes = std::size_t{17} * 1024 * 1024;
constexpr pollenring::Duration kSignalPollPeriod =
    std::chrono::milliseconds{50};

volatile std::sig_atomic_t stop_requested = 0;

void OnSignal(int /*number*/) { stop_requested = 1; }

[[nodiscard]] std::vector<std::string> SplitText(const std::string &text,
                                                 char separator) {
  std::vector<std::string> parts;
  std::istringstream stream{text};
  std::string part;
  while (std::getline(stream, part, separator)) parts.push_back(part);
  return parts;
}

[[nodiscard]] Address ParseAddress(const std::string &text) {
  const auto address = Address::Parse(text);
  if (address) return *address;
  std::cerr << "pollenring-standin: '" << text << "' is not an address\n";
  std::exit(kExitUsage);
}

/*! @brief Reads `service:/path,service:/path`. */
[[nodiscard]] std::vector<standin::Downstream> ReadCalls(
    const std::string &text) {
  std::vector<standin::Downstream> calls;
  for (const auto &part : SplitText(text, ',')) {
    const auto colon = part.find(':');
    if (colon == std::string::npos) continue;
    calls.push_back({part.substr(0, colon), part.substr(colon + 1)});
  }
  return calls;
}

/*! @brief Reads `service=address+address,service=address`. */
[[nodiscard]] std::map<std::string, std::vector<Address>> ReadDirect(
    const std::string &text) {
  std::map<std::string, std::vector<Address>> direct;
  for (const auto &part : SplitText(text, ',')) {
    const auto equals = part.find('=');
    if (equals == std::string::npos) continue;
    for (const auto &address : SplitText(part.substr(equals + 1), '+')) {
      direct[part.substr(0, equals)].push_back(ParseAddress(address));
    }
  }
  return direct;
}

[[nodiscard]] int RunPlatform(const Address &listen) {
  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  standin::Platform platform{loop};
  pollenring::HttpServer server{
      loop,
      listen,
      {},
      [&platform](const pollenring::HttpRequest &request,
                  std::shared_ptr<pollenring::Responder> responder) {
        platform.Handle(request, std::move(responder));
      }};
  server.Open();
  loop.Every(kSignalPollPeriod, [&loop] {
    if (stop_requested != 0) loop.Stop();
  });
  loop.Run();
  std::_Exit(EXIT_SUCCESS);
}

[[nodiscard]] int RunTarget(const standin::TargetOptions &options) {
  const pollenring::SystemClock clock;
  pollenring::Loop loop{clock};
  pollenring::HttpClient client{loop, {kMaxAnswerBytes}};
  standin::Target target{options, loop, client};
  pollenring::HttpServerLimits limits;
  limits.max_body_bytes = kMaxAnswerBytes;
  pollenring::HttpServer server{
      loop, options.address, limits,
      [&target](pollenring::HttpRequest request,
                std::shared_ptr<pollenring::Responder> responder) {
        target.Handle(std::move(request), std::move(responder));
      }};
  server.Open();
  loop.Every(kSignalPollPeriod, [&target] {
    if (stop_requested != 0) target.Drain();
  });
  target.Start();
  loop.Run();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

int main(int argc, char **argv) {
  cxxopts::Options options{"pollenring-standin",
                           "Simulated platform or target, for tests and the "
                           "quick start only."};
  options.positional_help("platform|target");
  options.add_options()("role", "platform or target",
                        cxxopts::value<std::string>())(
      "listen", "Address to listen on", cxxopts::value<std::string>())(
      "node", "Target port of the local node",
      cxxopts::value<std::string>()->default_value(""))(
      "secret", "Secret for announcements",
      cxxopts::value<std::string>()->default_value(""))(
      "service", "Service of this target",
      cxxopts::value<std::string>()->default_value("service"))(
      "slots", "Requests run concurrently",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "latency-ms", "Mean service time of a request",
      cxxopts::value<double>()->default_value("5"))(
      "calls", "Downstream calls of each request: service:/path,...",
      cxxopts::value<std::string>()->default_value(""))(
      "direct", "Call targets directly: service=address+address,...",
      cxxopts::value<std::string>()->default_value(""))(
      "naive-retries", "Retries of each downstream call",
      cxxopts::value<int>()->default_value("0"))(
      "fixed-limit", "Limit of running and queued requests; 0 for no limit",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "cold-start-ms", "Time after start in which it announces itself as cold",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "seed", "Seed of the random service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))("h,help",
                                                           "Print this help");
  options.parse_positional({"role"});
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("role") == 0 ||
        arguments.count("listen") == 0) {
      std::cout << options.help() << '\n';
      return arguments.count("help") > 0 ? EXIT_SUCCESS : kExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, OnSignal);
    std::signal(SIGINT, OnSignal);
    const auto text = [&](const char *name) {
      return arguments[name].as<std::string>();
    };
    const Address listen = ParseAddress(text("listen"));
    if (text("role") == "platform") return RunPlatform(listen);
    if (text("role") != "target") {
      std::cerr << "pollenring-standin: role must be platform or target\n";
      return kExitUsage;
    }
    standin::TargetOptions target;
    target.service = text("service");
    target.address = listen;
    if (!text("node").empty()) target.node = ParseAddress(text("node"));
    target.secret = text("secret");
    target.slots = arguments["slots"].as<std::uint32_t>();
    target.latency_ms = arguments["latency-ms"].as<double>();
    target.downstream = ReadCalls(text("calls"));
    target.direct = ReadDirect(text("direct"));
    target.naive_retries = arguments["naive-retries"].as<int>();
    target.fixed_limit = arguments["fixed-limit"].as<std::size_t>();
    target.cold_start = std::chrono::milliseconds{
        arguments["cold-start-ms"].as<std::int64_t>()};
    target.seed = arguments["seed"].as<std::uint64_t>();
    return RunTarget(target);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "pollenring-standin: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
}
