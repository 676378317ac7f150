#include <algorithm>
#include <catch2/catch.hpp>

#include "pollenring/contract/contract_all.h"
#include "pollenring/core/random.h"
#include "pollenring/node/settings.h"

namespace {

using pollenring::Diagnostics;
using pollenring::SourceFile;

[[nodiscard]] std::vector<std::string> DiagnosticsOf(
    const std::vector<SourceFile> &files) {
  Diagnostics diagnostics;
  const auto set = pollenring::ReadContracts(files, diagnostics);
  std::vector<std::string> texts;
  for (const auto &diagnostic : diagnostics)
    texts.push_back(diagnostic.Format());
  return texts;
}

}  // namespace

TEST_CASE("contract: all errors are reported at once with their locations") {
  const auto diagnostics = DiagnosticsOf(
      {{"a.toml",
        "service = \"a\"\ncallers = [\"b\", \"ghost\"]\ncolour = 1\n"
        "[[route]]\nmethod = \"GET\"\npath = \"x\"\ndeadline = \"5\"\n"
        "importance = \"huge\"\n"},
       {"b.toml",
        "service = \"b\"\ncallers = [\"a\"]\n[[route]]\nmethod = \"GET\"\n"
        "path = \"/\"\n[[route]]\nmethod = \"GET\"\npath = \"/\"\n"},
       {"c.toml",
        "[[workspace]]\nname = \"w\"\nrate = \"100\"\nburst = 10\n"
        "[[workspace]]\nname = \"w\"\nrate = \"100/s\"\nburst = 10\n"
        "[[workspace]]\nname = \"v\"\nrate = \"1/s\"\nburst = 2\n"},
       {"d.toml", "service = \n"}});
  const auto has = [&](const std::string &text) {
    return std::any_of(diagnostics.begin(), diagnostics.end(),
                       [&](const auto &diagnostic) {
                         return diagnostic.find(text) != std::string::npos;
                       });
  };
  CHECK(has("a.toml:3:10: unknown key 'colour'"));
  CHECK(has("a.toml:6:8: 'path' must start with '/'"));
  CHECK(has("a.toml:7:12: 'deadline' needs a unit"));
  CHECK(has("a.toml:8:14: 'importance' must be"));
  CHECK(has("caller 'ghost' is no declared service"));
  CHECK(has("calls itself through others"));
  CHECK(has("route 'GET /' is declared twice"));
  CHECK(has("c.toml:3:8: 'rate' needs a unit"));
  CHECK(has("workspace 'w' is declared twice"));
  CHECK(has("'burst' must cover at least 250 ms"));
  CHECK(has("'burst' must be 6 or more"));
  CHECK(has("d.toml:1:"));
}

TEST_CASE("contract: documents contain all declarations") {
  Diagnostics diagnostics;
  const auto set = pollenring::ReadContracts(
      {{"a.toml",
        "service = \"a\"\ncallers = [\"public\"]\n[[route]]\nmethod = "
        "\"POST\"\npath = \"/x\"\nimportance = \"critical\"\nidempotent = "
        "false\ndeadline = \"250ms\"\nretries = 0\n[[route]]\nmethod = "
        "\"POST\"\npath = \"/\"\n[[workspace]]\nname = \"w\"\nrate = "
        "\"600/min\"\nburst = 12\n"}},
      diagnostics);
  REQUIRE(diagnostics.empty());
  pollenring::Policy policy;
  for (const auto &[name, text] : pollenring::ToDocuments(set)) {
    policy.Apply(name, text);
  }
  const auto *contract = policy.Find("a");
  REQUIRE(contract != nullptr);
  const auto *route = pollenring::Policy::Match(*contract, "POST", "/x/1");
  REQUIRE(route != nullptr);
  CHECK(route->importance == pollenring::Importance::kCritical);
  CHECK_FALSE(route->idempotent);
  CHECK(route->deadline == std::chrono::milliseconds{250});
  CHECK(pollenring::Policy::Match(*contract, "GET", "/x") == nullptr);
  REQUIRE(policy.RateLimitOf("w") != nullptr);
  CHECK(policy.RateLimitOf("w")->rate == Approx(10));
  policy.Apply("contract/a", "");
  CHECK(policy.Find("a") == nullptr);
}

TEST_CASE("contract: random bytes are reported as errors without a crash") {
  pollenring::SeededRandom random{1};
  const std::string letters = "[]=\"\n aservicroutepathwk0/.{},#'\\\t";
  for (int i = 0; i < 20'000; ++i) {
    std::string text;
    const auto length = random.Index(60);
    for (std::size_t j = 0; j < length; ++j) {
      text.push_back(letters[random.Index(letters.size())]);
    }
    Diagnostics diagnostics;
    const auto set = pollenring::ReadContracts({{"f", text}}, diagnostics);
    CHECK((diagnostics.empty() || !diagnostics.front().message.empty()));
    static_cast<void>(pollenring::ReadSettings({"f", text}, diagnostics));
  }
}

TEST_CASE("settings: all errors are reported at once with their locations") {
  Diagnostics diagnostics;
  static_cast<void>(pollenring::ReadSettings(
      {"n.toml",
       "[node]\nzone = \"a\"\ncolour = 2\nslots = 0\n[listen]\ncallers = "
       "\"here\"\n[secrets]\nnodes = \"short\"\n[extra]\n"},
      diagnostics));
  CHECK(diagnostics.size() >= 9);
}

TEST_CASE("settings: the grace period of a drain is validated") {
  const auto read = [](const std::string &grace, Diagnostics &diagnostics) {
    return pollenring::ReadSettings(
        {"n.toml", "[node]\nroutes = \"host\"\n" + grace}, diagnostics);
  };
  const auto reported = [](const Diagnostics &diagnostics) {
    return std::any_of(diagnostics.begin(), diagnostics.end(),
                       [](const auto &diagnostic) {
                         return diagnostic.message.find("'grace_s' must be") !=
                                std::string::npos;
                       });
  };
  Diagnostics diagnostics;
  CHECK(read("", diagnostics).grace == std::chrono::seconds{6});
  CHECK(read("grace_s = 10\n", diagnostics).grace == std::chrono::seconds{10});
  CHECK(read("grace_s = 2.5\n", diagnostics).grace ==
        std::chrono::milliseconds{2500});
  CHECK_FALSE(reported(diagnostics));
  for (const std::string bad : {"0", "-1", "\"6\"", "1e9", "nan"}) {
    Diagnostics wrong;
    CHECK(read("grace_s = " + bad + "\n", wrong).grace ==
          std::chrono::seconds{6});
    CHECK(reported(wrong));
  }
}

TEST_CASE("settings: the memory limits are optional and validated") {
  const auto read = [](const std::string &limits, Diagnostics &diagnostics) {
    return pollenring::ReadSettings({"n.toml", "[limits]\n" + limits},
                                    diagnostics);
  };
  const auto reported = [](const Diagnostics &diagnostics) {
    return std::any_of(
        diagnostics.begin(), diagnostics.end(), [](const auto &diagnostic) {
          return diagnostic.message.find("must be from") != std::string::npos;
        });
  };
  Diagnostics diagnostics;
  CHECK(read("", diagnostics).limits.memory_mb == 0);
  CHECK(read("", diagnostics).limits.buffer_share == 0.55);
  CHECK(read("memory_mb = 160\n", diagnostics).limits.memory_mb == 160);
  CHECK(read("memory_mb = 512.0\n", diagnostics).limits.memory_mb == 512);
  CHECK(read("buffer_share = 0.4\n", diagnostics).limits.buffer_share == 0.4);
  CHECK_FALSE(reported(diagnostics));
  for (const std::string bad :
       {"memory_mb = 0", "memory_mb = \"160\"", "memory_mb = nan",
        "memory_mb = 1e12", "buffer_share = 0.9", "buffer_share = 0"}) {
    Diagnostics wrong;
    CHECK(read(bad + "\n", wrong).limits.buffer_share == 0.55);
    CHECK(reported(wrong));
  }
}
